/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/configuration.h"
#include "core/support/time.h"

#include <string_view>
#include <vector>

namespace Cloverbarrow
{

/// Latest requests that this entry VM sent to one server.
class RecentSends
{
public:
    /// @param most latest ones that are kept.
    void add(TimePoint now, int most);
    /// @return whether fewer than @p most were sent in the @p window before @p now.
    bool allows(TimePoint now, int most, Duration window) const;

private:
    std::vector<TimePoint> times_; ///< In order.
};

/// @return whether the entry VM at the rules' place is one of those that send to the cold server called @p server. Rendezvous hash over
/// places: as a zone's entry VMs come and go, few servers change their senders.
bool isColdSender(const ColdStartRules &rules, std::string_view server);

} // namespace Cloverbarrow
