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

/// Tells the relay's newest change beside a list, which may be a little older.
constexpr const char *LatestHeader = "Cloverbarrow-Relay-Latest";

/// @return @p news as an answer, packed when that is worth it.
HttpAnswer newsAnswer(const DirectoryNews &news);

/// Whole lists as a relay tells them. After a power cut all followers of a zone ask for one at the same time, so a list is
/// packed once for many of them, and long ones go out a few at a time. Not thread-safe.
class RelayLists
{
public:
    /// @return the last list, when it may still be told. @param since must be told on to the follower, whose next watch begins there.
    const HttpAnswer *recent(Collection collection, TimePoint now, std::int64_t &since) const;
    /// Packs a new list. @return the answer.
    const HttpAnswer &pack(Collection collection, TimePoint now, const DirectoryNews &news);

    /// @return whether another list may be sent now.
    bool hasTurn(Collection collection);
    /// Counts a list that is about to be sent on @p connection.
    void willSend(Collection collection, const std::shared_ptr<CallerConnection> &connection);
    /// It was handed to the connection, and counts until its last byte has left.
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
    std::vector<Sending> sending_; ///< Long lists that are on their way.
};

} // namespace Cloverbarrow
