/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/membership/member.h"
#include "core/support/time.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace Cloverbarrow
{

/// Tracks which backend servers are leaving, from all sources: their own answers, the VM list, peers, and
/// operators. One source is enough. Signs that are not renewed expire, since a server may return under
/// the same name; drains remain until operators remove them.
class LeavingRegistry
{
public:
    /// Replaces the drains by those of an accepted configuration, each written `service/backend`.
    void setDrains(std::span<const std::string> drains);
    /// Records a sign. @return whether the server was not known to be leaving.
    bool addSign(TimePoint now, const std::string &service, const std::string &backend);
    /// Records signs that a peer sent. @return whether any server was not known to be leaving.
    bool merge(TimePoint now, std::span<const LeavingSign> signs);
    /// Drops expired signs. @return whether any was dropped.
    bool expireSigns(TimePoint now);

    /// @return signs to send to peers.
    std::vector<LeavingSign> signs(TimePoint now) const;
    /// @return names of leaving servers of @p service.
    std::vector<std::string> leavingServers(const std::string &service) const;

private:
    using Key = std::pair<std::string, std::string>;

    std::map<Key, TimePoint> signTimes_;
    std::set<Key> drains_;
};

} // namespace Cloverbarrow
