/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/backendpool.h"
#include "core/support/time.h"

#include <map>

namespace Cloverbarrow
{

/// How full a backend server was when a request was sent to it.
enum class Crowding {
    HadRoom,
    TookLastSlot,
    HadToWait,
};

/// Estimates how long a backend server would take to answer. It learns the usual work of a request, the
/// mean slowness of the servers' VMs and what the use of a server's last slot costs from answers and reports.
class AnswerTimeModel
{
public:
    /// Takes a good answer. @param objective of the request; requests with the same one are taken as alike.
    void answered(Duration objective, Duration latency, Crowding crowding);
    /// Takes the slowness that a server told.
    void toldSlowness(double slowness);

    /// @return the work of a request on a VM at its usual speed, in milliseconds.
    double workMs(Duration objective) const;
    /// @return the time until @p backend would answer a request sent to it now, in milliseconds.
    double expectedMs(const Backend &backend, Duration objective, TimePoint now) const;
    /// @return whether a request sent now would begin to run at once, on a slot that is worth using.
    bool hasRoom(const Backend &backend) const;
    /// @return whether there would still be room for another request after this one, or the server is idle.
    bool hasRoomToSpare(const Backend &backend) const;
    /// @return whether no other server could do much better than @p backend.
    bool isAsGoodAsAny(const Backend &backend, TimePoint now) const;

private:
    bool hasRoomAt(int held, int slots) const;
    double slownessNow(const Backend &backend, TimePoint now) const;
    /// @return how much longer work takes when all slots are used.
    double lastSlotFactor() const;

    double meanSlowness_ = 1;
    std::map<Duration, double> meanLatencyMs_; ///< By latency objective.
    double relativeWithRoom_ = 1; ///< Mean of latencies over the mean of their kind, by crowding.
    double relativeOnLastSlot_ = 1;
};

/// @return slots of @p backend, as it or its registration last said.
int slotsOf(const Backend &backend);
/// @return requests that @p backend works on or holds, with those sent to it since its last report.
int heldBy(const Backend &backend);
/// @return how a request finds a server with @p slots that holds @p held others.
Crowding crowdingAt(int held, int slots);
/// @return how a request sent now would find @p backend.
Crowding crowdingOf(const Backend &backend);

} // namespace Cloverbarrow
