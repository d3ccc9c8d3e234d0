/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/serveroutcomes.h"
#include "core/support/time.h"

#include <map>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Finds backend servers that fail requests, by what the entry VMs of an availability zone tell their relay. A server may answer probes well
/// all the while, and each entry VM alone needs three lost requests to see it.
class FailingServers
{
public:
    /// @param reporter entry VM that tells. @param report since it last told.
    void take(TimePoint now, const std::string &reporter, const OutcomeReport &report);
    /// The relay of another zone has found that @p servers fail requests there.
    void heardFromZone(TimePoint now, const std::string &relay, const std::vector<std::string> &servers);
    /// @return servers that were found to fail requests here since the last call, to be told to other zones.
    std::vector<std::string> takeNewVerdicts();
    /// @return servers that get no requests now, and those of which good answers are to be told too.
    ZoneFindings findings(TimePoint now);

private:
    /// What one entry VM has told of a server.
    struct Note {
        TimePoint at;
        std::string reporter;
        int failed = 0;
        int good = 0;
    };

    struct Server {
        std::vector<Note> notes; ///< In order.
        TimePoint failingUntil;
        int verdicts = 0; ///< In a row; each lasts twice as long as the one before.
    };

    void judge(TimePoint now, const std::string &name, Server &server);
    /// @return whether most requests of the entry VM fail, wherever they go, so that its own link is to blame.
    bool isReporterIll(const std::string &reporter) const;
    void forget(TimePoint now);

    struct Sums {
        double failed = 0;
        double good = 0;
        TimePoint at;
    };

    std::map<std::string, Server> servers_;
    std::vector<std::string> newVerdicts_;
    std::map<std::string, Sums> reporters_; ///< Decaying sums over all servers.
};

} // namespace Cloverbarrow
