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
constexpr std::size_t NextRoundProbes = 3;
// A probe comes back after some 10 ms (6 ms at the server on the users' sheets and the way); waiting longer costs more
// than its news is worth.
constexpr Duration ProbePatience = milliseconds(20);
// Rounds without a choice follow each other at this distance, so that a full service is not asked without pause.
constexpr Duration RoundPause = milliseconds(30);
constexpr int QuickRounds = 2;
// A report this old still tells the state of a server.
constexpr Duration FreshFor = milliseconds(30);
// Where no probe may be made, a report this old is still better than none.
constexpr Duration UsableFor = seconds(1);
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

bool hasToldWithin(const Backend &backend, TimePoint now, Duration age)
{
    return backend.reportedAt && now - *backend.reportedAt <= age;
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

ChoiceStep ServerChooser::look(TimePoint now, const BackendPool &pool, std::span<const std::string> tried, const ChoiceNeed &need, const Choice &choice) const
{
    const Backend *best = nullptr;
    double bestMs = std::numeric_limits<double>::max();
    for (const std::size_t index : pool.openServers(now, tried)) {
        const Backend &backend = pool.backends()[index];
        if (!mayUse(backend, need, now)) {
            continue;
        }
        if (const double time = model_.expectedMs(backend, need.objective, now); time < bestMs) {
            best = &backend;
            bestMs = time;
        }
    }
    if (best && (need.isLastCall || model_.isAsGoodAsAny(*best, now))) {
        return {ChoiceState::Chosen, best->server.name};
    }
    if (choice.pending > 0 && now < choice.decideAt) {
        return {ChoiceState::Wait, {}};
    }
    const bool isPoor = bestMs > PoorFactor * model_.workMs(need.objective);
    if (isPoor && choice.round < QuickRounds) {
        return {ChoiceState::NeedsProbes, {}};
    }
    if (best && bestMs <= toMilliseconds(need.timeLeft)) {
        return {ChoiceState::Chosen, best->server.name};
    }
    // Later rounds keep their distance even when all probes came back at once.
    return {now < choice.decideAt ? ChoiceState::Wait : ChoiceState::NeedsProbes, {}};
}

bool ServerChooser::mayUse(const Backend &backend, const ChoiceNeed &need, TimePoint now) const
{
    // More requests than a server runs at once only make all of them late.
    const bool fits = need.isUrgent ? crowdingOf(backend) != Crowding::HadToWait : model_.hasRoom(backend);
    return fits && hasToldWithin(backend, now, need.takesOldReports ? UsableFor : FreshFor);
}

bool ServerChooser::knowsAny(TimePoint now, const BackendPool &pool)
{
    const auto servers = pool.backends();
    return std::any_of(servers.begin(), servers.end(), [now](const Backend &backend) { return hasToldWithin(backend, now, UsableFor); });
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
