/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/backendpool.h"
#include "core/servers/loadreport.h"
#include "core/support/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Cloverbarrow
{

/// An attempt of this entry VM that is in flight at a server.
struct AttemptAtServer {
    std::uint64_t request = 0;
    int number = 1;
    TimePoint startedAt;

    bool operator==(const AttemptAtServer &) const = default;
};

/// Detects that the servers of a service drop requests without an answer when they are full: a server that reports fewer requests than this entry VM alone
/// has there has dropped some of them. A server that is slow reports them, and one that has crashed or cannot be reached reports nothing.
class SilentServerDetector
{
public:
    /// An attempt counts as received by its server this long after its start. Covers opening a connection, transferring the request over a slow link, and
    /// the delays of an entry VM with little CPU time.
    static constexpr Duration ArrivalTime = milliseconds(100);
    /// A dropped attempt is still without an answer this long after the report. Covers an answer that was under way when the server sent the report.
    static constexpr Duration ConfirmationTime = milliseconds(200);
    /// The service counts as dropping requests for this long after the last dropped one. Bursts come some tens of seconds apart, and forgetting the drops
    /// between two of them costs further requests.
    static constexpr Duration StateLifetime = seconds(60);
    /// A write is sent only on a report of at most this age, within which other entry VMs send few requests to the same server.
    static constexpr Duration MaxReportAgeForWrites = milliseconds(10);

    /// @param inFlight attempts of this entry VM at the server. @param askedAt when the request or probe that the report answers was started.
    /// @return those that the server has dropped. Servers execute requests in the order of arrival, so these are the oldest ones.
    static std::vector<AttemptAtServer> droppedAttempts(std::span<const AttemptAtServer> inFlight, const LoadReport &report, TimePoint askedAt);

    /// A server has certainly dropped a request.
    void dropConfirmed(TimePoint now);
    /// @return whether requests may be sent only to servers that will not drop them.
    bool isActive(TimePoint now) const;

private:
    std::optional<TimePoint> lastDrop_;
};

/// @return whether @p backend will execute a write that is sent to it now: a slot is free, and all of them while it is cold.
bool isCertainToAccept(const Backend &backend, TimePoint now);

} // namespace Cloverbarrow
