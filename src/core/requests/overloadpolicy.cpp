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

// A request with less than this fraction of its unloaded latency left misses its objective whichever server it is sent to.
constexpr double LateLatencyFraction = 0.5;
// Latencies vary, but an attempt with less time left than this fraction of the unloaded latency almost never finishes in time. It would only
// occupy a slot, and the caller would learn merely that the request may have been executed.
constexpr double MinLatencyFraction = 0.5;
// A request that finds no free capacity within an eighth of its objective finds none within a third either. Queueing requests for as long as an
// answer could still be in time gave no more answers in time: mean score of five days with bursts 0.712, with an eighth 0.714.
constexpr int QueueTimeDivisor = 8;
// A caller that is refused for lack of free capacity misses its objective whenever it retries, so it should retry when there is
// capacity again. Five objectives outlast most bursts, and callers with less time left retry sooner. Compared with 1.5 objectives, a burst of
// 2.2 times the usual load has 11 % fewer refusals and leaves 19 % fewer callers without an answer (three simulations of 50 s).
constexpr double ShortageObjectives = 5;
// A server that rejects requests while it reports free capacity is faulty, not full. Another server can probably serve the request, so the
// caller retries after this fraction of its objective and can still be in time; after a second it could not. On a day on which the servers of
// a service do so for 8 s, this raises the score from 0.778 to 0.789 (three seeds, better with each).
constexpr int FalseReportDivisor = 16;

// Callers wait for at most a third of the time that they have left, whatever they are told. A longer delay would return all of them after just a third,
// without jitter.
constexpr int HonouredTimeDivisor = 3;
// Callers return spread over at most this last fraction of the longest useful delay. Returning within the objective was worse under the loads of
// docs/design/scarce-capacity.md, since returned callers only take slots from new ones: of a burst, 0.70 to 0.72 were in time instead of 0.73.
constexpr double MaxSpread = 0.5;
// Shorter waits are differences in transmission time between callers, not an earlier refusal.
constexpr Duration MinReturnDelay = milliseconds(30);

/// Sort key of the serving order; the least is served first.
struct ServingKey {
    bool isNotUrgent;
    bool isLate;
    RequestId request; ///< Request ids increase, so the oldest request is served first.

    auto operator<=>(const ServingKey &) const = default;
};

} // namespace

bool isTooLate(Duration objectiveLeft, double unloadedLatencyMs)
{
    return toMilliseconds(objectiveLeft) < unloadedLatencyMs * LateLatencyFraction;
}

bool canFinishInTime(Duration timeLeft, double unloadedLatencyMs)
{
    return toMilliseconds(timeLeft) > unloadedLatencyMs * MinLatencyFraction;
}

Duration maxQueueTime(Duration objective)
{
    return objective / QueueTimeDivisor;
}

std::vector<RequestId> inServingOrder(std::vector<WaitingRequest> waiting)
{
    // A slot given to a request that is late anyway makes another one late. A late urgent request stays in front, since it is still worth
    // as much as an ordinary one in time.
    const auto servingKey = [](const WaitingRequest &item) { return ServingKey{!item.isUrgent, item.isLate, item.request}; };
    std::sort(waiting.begin(), waiting.end(), [&servingKey](const auto &left, const auto &right) { return servingKey(left) < servingKey(right); });
    std::vector<RequestId> order;
    std::transform(waiting.begin(), waiting.end(), std::back_inserter(order), [](const WaitingRequest &item) { return item.request; });
    return order;
}

Duration retryAfterShortage(Duration objective)
{
    return std::chrono::round<Duration>(objective * ShortageObjectives);
}

std::optional<Duration> retryAfterScarcity(const ReturnInputs &inputs, double uniform)
{
    const Duration latest = std::min(retryAfterShortage(inputs.objective), inputs.timeLeft / HonouredTimeDivisor);
    // The less capacity, the later the callers return.
    const double earliest = 1 - MaxSpread * inputs.admittedFraction;
    const Duration delay = std::chrono::round<Duration>(latest * (earliest + (1 - earliest) * uniform));
    if (delay <= Duration(0) || !canFinishInTime(inputs.timeLeft - delay, inputs.unloadedLatencyMs)) {
        return std::nullopt;
    }
    return delay;
}

bool hasReturned(Duration priorWait)
{
    return priorWait >= MinReturnDelay;
}

Duration retryAfterFalseReport(Duration objective)
{
    return objective / FalseReportDivisor;
}

} // namespace Cloverbarrow
