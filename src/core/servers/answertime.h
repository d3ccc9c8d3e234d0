/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/backendpool.h"
#include "core/servers/learntmean.h"
#include "core/servers/sharingcost.h"
#include "core/support/time.h"

#include <map>
#include <optional>

namespace Cloverbarrow
{

/// What was known of a server when a request was sent to it.
struct StartState {
    int others = 0; ///< Requests that it held.
    int slots = 1;
    double slowness = 1;
    std::optional<Duration> reportAge; ///< Nothing when it had not told of itself.

    /// @return whether all slots were taken, so that the request had to wait there.
    bool hadToWait() const
    {
        return others >= slots;
    }
};

/// Estimates how long a backend server would take to answer. It learns the usual work of a request, how far told
/// slowness holds and what sharing a server costs from answers of servers that told their state right before. So
/// none of it moves with the load: it is the same whether few or all requests meet full or slow servers.
class AnswerTimeModel
{
public:
    AnswerTimeModel();

    /// Takes a good answer. @param objective of the request; requests with the same one are taken as alike.
    void answered(Duration objective, Duration latency, const StartState &start);
    /// Takes what a server told.
    void told(const LoadReport &report);

    /// @return the work of a request on a VM at its usual speed, in milliseconds.
    double workMs(Duration objective) const;
    /// @return the time until @p backend would answer a request sent to it now, in milliseconds.
    double expectedMs(const Backend &backend, Duration objective, TimePoint now) const;
    /// @return whether a request sent now would begin to run at once, on a slot that is worth using.
    bool hasRoom(const Backend &backend) const;
    /// @return whether there would still be room for another request after this one, or the server is idle.
    bool hasRoomToSpare(const Backend &backend) const;
    /// @return whether @p backend is so slow now that its slots are better left free until its speed changes.
    bool isBetterLeftFree(const Backend &backend, Duration objective, TimePoint now) const;
    /// @return whether most servers have little room, so that only what was told right now says where there is some.
    bool isCrowded() const;
    /// @return whether no other server could do much better than @p backend.
    bool isAsGoodAsAny(const Backend &backend, TimePoint now) const;

private:
    bool hasRoomAt(int held, int slots) const;
    /// @return the slowness that a request sent now is expected to meet.
    double slownessNow(const Backend &backend, TimePoint now) const;

    LearntMean meanSlowness_;
    LearntMean meanUse_; ///< Part of the slots worth using that is in use.
    LearntMean slownessHolds_; ///< Part of told slowness that shows in a request's time: 1 when it lasts as long as the request.
    std::map<Duration, LearntMean> workMs_; ///< By latency objective.
    SharingCost sharing_;
};

/// @return slots of @p backend, as it or its registration last said.
int slotsOf(const Backend &backend);
/// @return requests that @p backend works on or holds, with those sent to it since its last report.
int heldBy(const Backend &backend);
/// @return what a request that was just counted at @p backend found there.
StartState startStateOf(const Backend &backend, TimePoint now);

} // namespace Cloverbarrow
