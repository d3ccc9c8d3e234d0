/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/directoryevents.h"
#include "net/callerconnection.h"
#include "net/httpmessage.h"

#include <array>
#include <memory>
#include <optional>
#include <vector>

namespace Cloverbarrow
{

/// Header with the relay's newest revision; the list in the answer may be slightly older.
constexpr const char *LatestHeader = "Cloverbarrow-Relay-Latest";

/// @return the answer with @p update, compressed if it is large.
HttpAnswer newsAnswer(const DirectoryNews &update);

/// Caches the full lists that a relay sends and limits how many large ones it sends at a time. After a power cut all followers of a
/// zone ask for a list at the same time, so one compressed list is reused for many of them. Not thread-safe.
class RelayLists
{
public:
    /// @return the cached list if it is recent enough. @param since receives its revision, at which the next watch of the follower starts.
    const HttpAnswer *recent(Collection collection, TimePoint now, std::int64_t &since) const;
    /// Serializes and caches a new list. @return the answer with it.
    const HttpAnswer &pack(Collection collection, TimePoint now, const DirectoryNews &update);

    /// @return whether another list may be sent now without exceeding the number of large lists in flight.
    bool hasTurn(Collection collection);
    /// Counts a list that is about to be sent on @p connection, if it is large.
    void willSend(Collection collection, const std::shared_ptr<CallerConnection> &connection);
    /// Notes that the list was passed to the connection. It counts until its last byte has been sent.
    void handedOver(const std::shared_ptr<CallerConnection> &connection);

private:
    struct Packed {
        std::int64_t revision = -1;
        TimePoint at;
        HttpAnswer answer;
    };

    struct Sending {
        std::shared_ptr<CallerConnection> connection;
        bool isHandedOver = false;
    };

    bool isLong(Collection collection) const;

    std::array<Packed, Collections> packed_; ///< By collection.
    std::vector<Sending> sending_; ///< Large lists in flight.
};

} // namespace Cloverbarrow
