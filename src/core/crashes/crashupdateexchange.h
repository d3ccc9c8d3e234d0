/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashupdate.h"
#include "core/support/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Cloverbarrow
{

/// @return names of @p updates.
std::vector<CrashUpdateVersion> versionsOf(const std::vector<CrashUpdate> &updates);
/// @return those of @p updates that the sender of @p request neither holds nor has sent with it.
std::vector<CrashUpdate> updatesMissingIn(const CrashUpdateMessage &request, std::vector<CrashUpdate> updates);

/// Remembers which updates were sent to which peers. While no relay is followed, all entry VMs of a zone exchange all updates with the same few peers several
/// times a second, so each update is sent in full only when it is new.
class SentCrashUpdates
{
public:
    /// After this time everything is sent again, since a message may have been lost and the peer may have been restarted.
    static constexpr Duration FullResendInterval = seconds(2);

    /// @return those of @p updates that are to be sent to @p peer now; they count as sent.
    std::vector<CrashUpdate> takeUnsent(TimePoint now, const std::string &peer, std::vector<CrashUpdate> updates);

private:
    using Process = std::pair<std::string, std::string>; ///< Names of entry VM and process.

    struct Peer {
        TimePoint allSentAt; ///< When everything was last sent.
        std::map<Process, std::uint64_t> sent; ///< Sequence numbers.
    };

    std::map<std::string, Peer> peers_; ///< By address.
};

} // namespace Cloverbarrow
