/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/serverchooser.h"

#include <algorithm>
#include <limits>

namespace Cloverbarrow
{

namespace
{

// Probes of the first round, of which so many in the own availability zone, and of each further round.
constexpr std::size_t FirstRoundProbes = 3;
constexpr std::size_t FirstRoundNear = 2;
constexpr std::size_t NextRoundProbes = 4;
// A probe comes back after some 10 ms (6 ms at the server on the users' sheets and the way); waiting longer costs more
// than its news is worth.
constexpr Duration ProbePatience = milliseconds(20);
// Rounds without a choice follow each other at this distance, so that a full service is not asked without pause.
constexpr Duration RoundPause = milliseconds(20);
constexpr int QuickRounds = 2;
// A report this old still tells the state of a server.
constexpr Duration FreshFor = milliseconds(30);
// Above this multiple of the work, another round finds a better server more often than not.
constexpr double PoorFactor = 2.0;

bool isIn(std::span<const std::string> names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

void shuffle(std::vector<std::size_t> &indices, Random &random)
{
    for (std::size_t left = indices.size(); left > 1; --left) {
        std::swap(indices[left - 1], indices[random.below(left)]);
    }
}

/// Moves up to @p count servers of the own availability zone to the front.
void putNearFirst(std::vector<std::size_t> &indices, const BackendPool &pool, std::size_t count)
{
    std::size_t placed = 0;
    for (std::size_t index = 0; index < indices.size() && placed < count; ++index) {
        if (pool.backends()[indices[index]].distance == Distance::SameZone) {
            std::swap(indices[placed++], indices[index]);
        }
    }
}

bool isFresh(const Backend &backend, TimePoint now)
{
    return backend.reportedAt && now - *backend.reportedAt <= FreshFor;
}

} // namespace

void ServerChooser::configure(const Service &service)
{
    allowance_.setRate(static_cast<double>(service.choiceProbes.probesPerSecond) * static_cast<double>(service.backendServers.size()));
}

std::vector<std::size_t> ServerChooser::nextRound(TimePoint now, const BackendPool &pool, std::span<const std::string> tried, Choice &choice, Random &random)
{
    std::vector<std::size_t> open = pool.openServers(now, tried);
    std::erase_if(open, [&pool, &choice](std::size_t index) { return isIn(choice.asked, pool.backends()[index].server.name); });
    if (open.empty()) {
        // All were asked: begin again with all.
        choice.asked.clear();
        open = pool.openServers(now, tried);
    }
    shuffle(open, random);
    putNearFirst(open, pool, choice.round == 0 ? FirstRoundNear : 1);
    const std::size_t wanted = std::min(open.size(), choice.round == 0 ? FirstRoundProbes : NextRoundProbes);
    std::vector<std::size_t> probed;
    while (probed.size() < wanted && allowance_.take(now)) {
        const std::size_t index = open[probed.size()];
        choice.asked.push_back(pool.backends()[index].server.name);
        probed.push_back(index);
    }
    ++choice.round;
    choice.pending = probed.size();
    choice.decideAt = now + (choice.round <= QuickRounds ? ProbePatience : std::max(ProbePatience, RoundPause));
    return probed;
}

ChoiceStep ServerChooser::look(
    TimePoint now, const BackendPool &pool, std::span<const std::string> tried, Duration objective, Duration timeLeft, const Choice &choice) const
{
    const Backend *best = nullptr;
    double bestMs = std::numeric_limits<double>::max();
    for (const std::size_t index : pool.openServers(now, tried)) {
        const Backend &backend = pool.backends()[index];
        if (!isFresh(backend, now)) {
            continue;
        }
        if (const double time = model_.expectedMs(backend, objective, now); time < bestMs) {
            best = &backend;
            bestMs = time;
        }
    }
    if (best && model_.isAsGoodAsAny(*best, now)) {
        return {ChoiceState::Chosen, best->server.name};
    }
    if (choice.pending > 0 && now < choice.decideAt) {
        return {ChoiceState::Wait, {}};
    }
    const bool isPoor = isBestPoor(bestMs, objective);
    if (isPoor && choice.round < QuickRounds) {
        return {ChoiceState::NeedsProbes, {}};
    }
    if (best && bestMs <= toMilliseconds(timeLeft)) {
        return {ChoiceState::Chosen, best->server.name};
    }
    // Later rounds keep their distance even when all probes came back at once.
    return {now < choice.decideAt ? ChoiceState::Wait : ChoiceState::NeedsProbes, {}};
}

bool ServerChooser::isBestPoor(double bestMs, Duration objective) const
{
    return bestMs > PoorFactor * model_.workMs(objective);
}

AnswerTimeModel &ServerChooser::model()
{
    return model_;
}

const AnswerTimeModel &ServerChooser::model() const
{
    return model_;
}

} // namespace Cloverbarrow
