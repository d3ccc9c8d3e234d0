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

/// Which backend servers are leaving, from every sign there is: their own answers, the VM list, peers, and
/// operators. Any one sign counts. Signs that are not renewed fade, since a server may come back under
/// the same name; operators' drains stand until they take them back.
class LeavingRegistry
{
public:
    /// Takes the drains of an accepted configuration, each written `service/backend`.
    void setDrains(std::span<const std::string> drains);
    /// @return whether the sign is news.
    bool sign(TimePoint now, const std::string &service, const std::string &backend);
    /// Takes what a peer told. @return whether any of it is news.
    bool merge(TimePoint now, std::span<const LeavingSign> signs);
    /// Drops faded signs. @return whether any was dropped.
    bool fade(TimePoint now);

    /// @return signs to tell peers.
    std::vector<LeavingSign> signs(TimePoint now) const;
    /// @return names of leaving servers of @p service.
    std::vector<std::string> leaving(const std::string &service) const;

private:
    using Key = std::pair<std::string, std::string>;

    std::map<Key, TimePoint> signedAt_;
    std::set<Key> drains_;
};

} // namespace Cloverbarrow
