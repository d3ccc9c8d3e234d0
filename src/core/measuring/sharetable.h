/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/membership/incarnation.h"
#include "core/storecall.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Cloverbarrow
{

/// A process that holds, or held, a share.
struct ShareHolder {
    Incarnation id;
    std::string address; ///< Peer address, which only one running process can listen on.

    bool isNone() const
    {
        return id.isNone();
    }
    bool operator==(const ShareHolder &) const = default;
};

/// One share of a service's probe budget.
struct Share {
    ShareHolder holder;
    /// Former holder that was unresponsive when the share was taken over. Until its process is known to have ended, it may resume and send one more
    /// probe. The reserve of the share covers one such probe, hence only one such holder.
    ShareHolder unconfirmed;

    bool operator==(const Share &) const = default;
};

/// The holders of the shares of one service's probe budget, stored as one object.
struct ShareTable {
    std::vector<Share> shares;

    bool operator==(const ShareTable &) const = default;
};

/// Maximum number of probes per share in a window: one by its holder, and one reserved for a former holder that was paused between checking the lease
/// and sending.
constexpr int ProbesPerShare = 2;

/// @return the number of shares into which a budget of @p probes per window is divided.
std::size_t shareCount(int probes);

StoreObject shareTableObject(const std::string &service);
std::string encodeShares(const ShareTable &table);
std::optional<ShareTable> decodeShares(std::string_view value);

} // namespace Cloverbarrow
