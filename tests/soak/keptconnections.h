/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "invariants.h"
#include "soaksite.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Cloverbarrow::Soak
{

/// Callers that keep a connection each and send their next request at about the time at which the entry VM ends it by its idle limit. Each request must be
/// answered, or be left unread, so that its caller sees a reset.
class KeptConnectionCallers
{
public:
    KeptConnectionCallers(const SoakSite &site, int count, std::uint64_t seed);
    ~KeptConnectionCallers();
    KeptConnectionCallers(const KeptConnectionCallers &) = delete;
    KeptConnectionCallers &operator=(const KeptConnectionCallers &) = delete;

    void stop();
    /// @return the violations that the callers have seen. Call after stop().
    std::vector<Violation> violations() const;
    /// @return how many requests were sent, answered and reset.
    std::string figures() const;

private:
    void run(int number, std::uint64_t seed);
    /// Sends one request. @return whether the connection can be used for the next one.
    bool send(class KeptConnection &connection, const std::string &id, bool isWrite);
    void addViolation(const ProcessStart &process, const std::string &id, const std::string &what, Duration after);

    const SoakSite &site_;
    std::atomic<bool> isStopping_{false};
    std::atomic<int> sent_{0};
    std::atomic<int> answered_{0};
    std::atomic<int> reset_{0};
    std::mutex mutex_;
    std::vector<Violation> violations_;
    std::vector<std::thread> threads_;
};

/// Checks, without callers, that each running entry VM accounts for every request that it has read. @return a violation for each that does not.
std::vector<Violation> violationsOfConnectionCounts(const SoakSite &site);

} // namespace Cloverbarrow::Soak
