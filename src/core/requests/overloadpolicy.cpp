/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/overloadpolicy.h"

#include <algorithm>
#include <chrono>
#include <compare>
#include <iterator>

namespace Cloverbarrow
{

namespace
{

// With less than this part of its usual work left, a request misses its objective wherever it is sent.
constexpr double LateBelowWork = 0.5;
// Work varies; with less time left than this part of the usual one an attempt ends in vain as good as always. It would only
// take a slot, and the caller would be told that the request may have been run.
constexpr double LeastWork = 0.5;
// What finds no room within an eighth of its objective finds none within a third either: holding requests as long as an answer
// could still be in time brought no more answers in time (mean worth of five days with bursts 0.712, with an eighth 0.714).
constexpr int HoldPart = 8;
// After a refusal for want of room a caller misses its objective whenever it returns, so the best time for it is when there is
// room again. Five objectives outlast most bursts, and callers that have less time left shorten it. Against 1.5 objectives
// a burst of 2.2 times has 11 in 100 fewer refusals and leaves 19 in 100 fewer callers without an answer (three plays of 50 s).
constexpr double ShortageObjectives = 5;
// A server that turns requests away while it tells of room is faulty, not full. Another one may well serve the request, so its
// caller returns after this part of its objective and can still be in time; after a second it could not. On a day on which a
// service's servers do so for 8 s: worth 0.778 to 0.789 (three seeds, better with each).
constexpr int FalseReportPart = 16;

/// A place in the serving order; the least goes first.
struct Place {
    bool isBehind; ///< Others are more urgent.
    bool isLate;
    RequestId request; ///< Rises with time, so the oldest goes first.

    auto operator<=>(const Place &) const = default;
};

} // namespace

bool isTooLate(Duration objectiveLeft, double workMs)
{
    return toMilliseconds(objectiveLeft) < workMs * LateBelowWork;
}

bool mayStillEnd(Duration timeLeft, double workMs)
{
    return toMilliseconds(timeLeft) > workMs * LeastWork;
}

Duration holdFor(Duration objective)
{
    return objective / HoldPart;
}

std::vector<RequestId> inServingOrder(std::vector<WaitingRequest> waiting)
{
    // A slot that goes to a request that is late anyway makes another one late. An urgent one keeps its rank: late it still counts
    // like a usual one in time.
    const auto place = [](const WaitingRequest &item) { return Place{!item.isUrgent, item.isLate, item.request}; };
    std::sort(waiting.begin(), waiting.end(), [&place](const auto &left, const auto &right) { return place(left) < place(right); });
    std::vector<RequestId> order;
    std::transform(waiting.begin(), waiting.end(), std::back_inserter(order), [](const WaitingRequest &item) { return item.request; });
    return order;
}

Duration comeBackAfterShortage(Duration objective)
{
    return std::chrono::round<Duration>(objective * ShortageObjectives);
}

Duration comeBackAfterFalseReport(Duration objective)
{
    return objective / FalseReportPart;
}

} // namespace Cloverbarrow
