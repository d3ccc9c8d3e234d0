/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/adaptivemean.h"
#include "core/servers/backendpool.h"
#include "core/servers/contentionmodel.h"
#include "core/support/time.h"

#include <map>
#include <optional>

namespace Cloverbarrow
{

/// The state of a server, as last reported, when a request was sent to it.
struct ServerSnapshot {
    int otherRequests = 0; ///< Other requests that were running or waiting there.
    int slots = 1;
    double slowness = 1;
    std::optional<Duration> reportAge; ///< Empty if the server had not reported its load yet.

    /// @return whether all slots were taken, so that the request was queued at the server.
    bool wasQueued() const
    {
        return otherRequests >= slots;
    }
};

/// Estimates how long a backend server would take to answer a request. The unloaded latency of a request, the effect of reported slowness
/// and the cost of contention are learned only from answers of servers whose load report was fresh when the request was sent. The estimates
/// therefore do not depend on how many requests currently meet full or slow servers.
class ResponseTimeModel
{
public:
    ResponseTimeModel();

    /// Learns from a good answer. @param objective latency objective of the request; requests with the same objective are assumed to cost the same.
    void recordResponse(Duration objective, Duration latency, const ServerSnapshot &start);
    /// Adds a load report to the means over all servers.
    void recordReport(const LoadReport &report);

    /// @return the latency of a request that runs alone on a server of usual speed, in milliseconds.
    double unloadedLatencyMs(Duration objective) const;
    /// @return the time until @p backend would answer a request sent to it now, in milliseconds.
    double expectedMs(const Backend &backend, Duration objective, TimePoint now) const;
    /// @return whether a request sent now would start at once without exceeding the server's optimal concurrency.
    bool hasFreeCapacity(const Backend &backend) const;
    /// @return whether the server would have free capacity for one more request after this one, or is idle.
    bool hasCapacityToSpare(const Backend &backend) const;
    /// @return whether @p backend is so much slower than the mean that waiting for its speed to change costs less than sending a request to it.
    bool isTemporarilyTooSlow(const Backend &backend, Duration objective, TimePoint now) const;
    /// @return whether servers are so full on average that only a fresh report shows whether one has free capacity.
    bool isNearSaturation() const;
    /// @return whether no other server is expected to be much faster than @p backend.
    bool isNearOptimal(const Backend &backend, TimePoint now) const;

private:
    bool hasFreeCapacityAt(int outstanding, int slots) const;
    /// @return the slowness expected for a request sent now: the last report, decaying to the mean of all servers with its age.
    double estimatedSlowness(const Backend &backend, TimePoint now) const;

    AdaptiveMean meanSlowness_;
    AdaptiveMean meanUtilization_; ///< Requests at a server as a fraction of its optimal concurrency, at most 1.
    AdaptiveMean slownessPersistence_; ///< Fraction of the reported slowness that affects a request's latency; 1 if it lasts as long as the request.
    std::map<Duration, AdaptiveMean> unloadedLatencyMs_; ///< Keyed by latency objective.
    ContentionModel contention_;
};

/// @return slots of @p backend from its last report, else from its registration, else a default.
int slotsOf(const Backend &backend);
/// @return estimated requests running or waiting at @p backend, including those sent to it since its last report.
int outstandingRequests(const Backend &backend);
/// @return the state of @p backend for a request that has just been counted as sent to it; that request is not among the others.
ServerSnapshot snapshotOf(const Backend &backend, TimePoint now);

} // namespace Cloverbarrow
