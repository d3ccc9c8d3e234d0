/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/slowserverexchange.h"
#include "daemon/eventhandler.h"
#include "net/log.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// Counts of reports on slow servers that entry VMs have exchanged.
struct SlowServerCounts {
    std::uint64_t sent = 0; ///< Reports in messages to other entry VMs.
    std::uint64_t received = 0; ///< Reports in accepted messages.
    std::uint64_t rejected = 0; ///< Messages that were not accepted.
};

/// Exchanges reports on slow servers with other entry VMs, in requests for a relay's proof and their responses. Does nothing unless enabled.
/// Thread-safe.
class SlowServerRunner
{
public:
    /// A message to a relay, and what it contains.
    struct Request {
        SlowServerMessage message;
        std::string text; ///< Empty if the exchange is disabled.
    };

    /// @param process unique number of this process. @param events receives the reports of other entry VMs.
    /// @param isOpen whether @p events accepts events.
    SlowServerRunner(std::uint64_t process, EventHandler &events, std::function<bool()> isOpen);

    void setEnabled(bool isEnabled);
    /// This entry VM has observed a slow server.
    void observed(const SlowServerReport &report);
    /// @return what to send with a request for the proof of @p relay.
    Request requestTo(const std::string &relay);
    /// @param text what @p relay has sent with its proof; empty if nothing.
    void onAnswer(const std::string &relay, const Request &request, std::string_view text);
    /// @param follower that asks for a proof. @param text what it has sent with the request; empty if nothing.
    /// @return a function that returns what to send with the proof; null if nothing.
    std::function<std::string()> accept(const std::string &follower, std::string_view text);
    SlowServerCounts counts() const;

private:
    /// @return the decoded message; nothing if it is invalid, which is logged.
    std::optional<SlowServerMessage> decode(const std::string &peer, std::string_view text);
    std::string answerTo(const std::string &follower, const SlowServerMessage &request);
    /// Passes the reports of other entry VMs to the core. The mutex must not be held.
    void forwardLearned();

    EventHandler &events_;
    std::function<bool()> isOpen_;
    Log log_;
    std::atomic<bool> isEnabled_{false};
    mutable std::mutex mutex_;
    SlowServerExchange exchange_; ///< Guarded by mutex_.
    SlowServerCounts counts_; ///< Guarded by mutex_.
};

} // namespace Cloverbarrow
