/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/serveroutcomes.h"

#include <utility>

namespace Cloverbarrow
{

void OutcomeTally::note(std::string_view server, bool isGood, bool isTold)
{
    good_ += isGood ? 1 : 0;
    auto found = servers_.find(server);
    if (found == servers_.end()) {
        if (!isTold || servers_.size() >= MostServers) {
            return;
        }
        found = servers_.emplace(std::string(server), ServerOutcome{std::string(server)}).first;
    }
    ++(isGood ? found->second.good : found->second.failed);
}

OutcomeReport OutcomeTally::take()
{
    OutcomeReport report;
    report.good = std::exchange(good_, 0);
    for (auto &[server, outcome] : servers_) {
        report.servers.push_back(std::move(outcome));
    }
    servers_.clear();
    return report;
}

} // namespace Cloverbarrow
