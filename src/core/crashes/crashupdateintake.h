/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashupdate.h"
#include "core/support/time.h"
#include "core/support/tokenbucket.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Admits messages with crash updates at a rate that does not depend on the number of senders, and keeps them until they are handled together. A refused
/// message is never decoded; its sender sends it again later (CrashUpdateOutbox).
class CrashUpdateIntake
{
public:
    /// Messages per second that are not urgent. Decoding and applying an update takes 13 us, and a message of BytesPerToken has about five.
    static constexpr double MessagesPerSecond = 30;
    static constexpr double MessageBurst = 20;
    /// Urgent messages per second, admitted in addition: an ordinary wave must not delay the update that links a second server to a request.
    static constexpr double UrgentPerSecond = 20;
    static constexpr double UrgentBurst = 20;
    /// Bytes of a message that one token admits, as decoding time grows with the size. All tokens of a second admit some 500 updates, or 7 ms of work.
    static constexpr std::size_t BytesPerToken = 2048;
    /// Messages kept between two calls of takeBatch(), which may be far apart on a VM without processor time.
    static constexpr std::size_t MaxQueued = 64;

    /// @param text encoded message. @return whether it was admitted.
    bool offer(TimePoint now, std::string text, bool isUrgent);
    /// @return the admitted messages since the last call, in order.
    std::vector<std::string> takeBatch();
    /// @return whether messages were refused since the last call.
    bool takeHasRefused();

    std::uint64_t admitted() const;
    std::uint64_t refused() const;

private:
    TokenBucket tokens_{MessagesPerSecond, MessageBurst};
    TokenBucket urgentTokens_{UrgentPerSecond, UrgentBurst};
    std::vector<std::string> queue_;
    std::uint64_t admitted_ = 0;
    std::uint64_t refused_ = 0;
    bool hasRefused_ = false;
};

/// @return messages with the same effect as @p messages: one with the newest update of each process, and one for each entry VM that requests a reply.
std::vector<CrashUpdateMessage> mergedMessages(std::span<const CrashUpdateMessage> messages);

} // namespace Cloverbarrow
