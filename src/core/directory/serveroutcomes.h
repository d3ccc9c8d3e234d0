/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Cloverbarrow
{

/// How requests of one entry VM have ended at one backend server since it last told.
struct ServerOutcome {
    std::string server;
    int failed = 0;
    int good = 0;

    bool operator==(const ServerOutcome &) const = default;
};

/// What one entry VM tells its relay of requests that have ended.
struct OutcomeReport {
    std::vector<ServerOutcome> servers; ///< Those at which requests failed, or that are suspected.
    int good = 0; ///< Good answers of all servers.

    bool operator==(const OutcomeReport &) const = default;
};

/// Counts what this entry VM is to tell its relay.
class OutcomeTally
{
public:
    /// What is kept of more servers than this says nothing of one of them.
    static constexpr std::size_t MostServers = 64;

    /// @param isTold whether the server is to be named; otherwise only the sum counts.
    void note(std::string_view server, bool isGood, bool isTold);
    /// @return what was counted since the last call.
    OutcomeReport take();

private:
    std::map<std::string, ServerOutcome, std::less<>> servers_;
    int good_ = 0;
};

/// Backend servers by what the requests of a zone's entry VMs have shown.
struct ZoneFindings {
    std::vector<std::string> failing; ///< They answer probes and fail requests; in order.
    std::vector<std::string> suspected; ///< Requests failed there lately, so good answers are to be told as well; in order.

    bool operator==(const ZoneFindings &) const = default;
};

} // namespace Cloverbarrow
