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
    std::string address; ///< Its peer address, which only one living process can have.

    bool isNone() const
    {
        return id.isNone();
    }
    bool operator==(const ShareHolder &) const = default;
};

/// One share of a service's measuring budget.
struct Share {
    ShareHolder holder;
    /// A holder from which the share was taken while it was silent. Until it is known to have ended it may wake
    /// with one measurement in hand, which the share's reserve covers; so there is room for only one.
    ShareHolder unconfirmed;

    bool operator==(const Share &) const = default;
};

/// Who holds the shares of one service's measuring budget; one object at the platform.
struct ShareTable {
    std::vector<Share> shares;

    bool operator==(const ShareTable &) const = default;
};

/// Measurements that one share may cause in a window: one of its holder, one kept in reserve for a
/// holder that was paused between its check and its sending.
constexpr int ProbesPerShare = 2;

/// @return how many shares a budget of @p probes a window is divided into.
std::size_t shareCount(int probes);

StoreObject shareTableObject(const std::string &service);
std::string encodeShares(const ShareTable &table);
std::optional<ShareTable> decodeShares(std::string_view value);

} // namespace Cloverbarrow
