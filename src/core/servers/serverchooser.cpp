/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/serverchooser.h"

#include "core/support/stablehash.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// Probes of the first round, of which so many in the own availability zone, and of each further round.
constexpr std::size_t FirstRoundProbes = 3;
constexpr std::size_t FirstRoundNear = 2;
constexpr std::size_t NextRoundProbes = 3;
// Servers of a service that one entry VM asks first. A new connection costs users twelve times a probe; with
// some 7 requests a second an entry VM keeps connections to about so many in use.
constexpr std::size_t UsualServers = 12;
constexpr std::size_t UsualNear = 8;
// A probe comes back after some 10 ms (6 ms at users' servers and the way); waiting longer costs more
// than its news is worth.
constexpr Duration ProbePatience = milliseconds(20);
// Rounds without a choice follow each other at this distance, so that a full service is not asked without pause.
constexpr Duration RoundPause = milliseconds(30);
constexpr int QuickRounds = 2;
// Probes that quiet times save up: those of so long a time at the full rate.
constexpr double ProbeBurstSeconds = 1;
// Whether servers have ended is asked with three probes for each, and soon; at 80 requests a second, of which choices use up all probes, it was found out
// after 1.4 s in place of 0.25 s.
constexpr double MostReserve = 6;
// A report this old still tells the state of a server.
constexpr Duration FreshFor = milliseconds(30);
// Where no probe may be made, a report this old is still better than none while most servers have room. While few have, one sent
// by it takes a slot from others and is late itself, so it has to be about fresh.
constexpr Duration UsableFor = seconds(1);
constexpr Duration UsableWhenCrowdedFor = milliseconds(60);
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
            // Those in between keep their order: usual servers stay before others.
            std::rotate(indices.begin() + static_cast<std::ptrdiff_t>(placed),
                        indices.begin() + static_cast<std::ptrdiff_t>(index),
                        indices.begin() + static_cast<std::ptrdiff_t>(index) + 1);
            ++placed;
        }
    }
}

bool hasToldWithin(const Backend &backend, TimePoint now, Duration age)
{
    return backend.reportedAt && now - *backend.reportedAt <= age;
}

/// Chooses the servers that this entry VM asks first, the same ones as long as they are there. Each entry VM has others
/// (rendezvous hash), so the servers of a large service are shared out evenly.
std::set<std::string, std::less<>> usualServers(const BackendPool &pool, const std::string &self)
{
    std::vector<std::pair<std::uint64_t, const Backend *>> near;
    std::vector<std::pair<std::uint64_t, const Backend *>> far;
    for (const Backend &backend : pool.backends()) {
        // Were evacuated ones counted, entry VMs of an evacuated zone would be left with a third of their usual servers.
        if (backend.isEvacuated) {
            continue;
        }
        auto &group = backend.distance == Distance::SameZone ? near : far;
        group.emplace_back(stableHash({self, backend.server.name}), &backend);
    }
    std::sort(near.begin(), near.end());
    std::sort(far.begin(), far.end());
    std::set<std::string, std::less<>> usual;
    for (std::size_t index = 0; index < std::min(near.size(), UsualNear); ++index) {
        usual.insert(near[index].second->server.name);
    }
    for (std::size_t index = 0; index < far.size() && usual.size() < UsualServers; ++index) {
        usual.insert(far[index].second->server.name);
    }
    return usual;
}

} // namespace

void ServerChooser::configure(const Service &service, const BackendPool &pool, const std::string &self)
{
    usual_ = usualServers(pool, self);
    const double perSecond = service.choiceProbes.probesPerSecond * static_cast<double>(service.backendServers.size());
    allowance_.setRate(perSecond, perSecond * ProbeBurstSeconds);
    reserve_ = std::clamp((perSecond * ProbeBurstSeconds - 1) / 2, 0.0, MostReserve);
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
    // Of the usual ones first, since connections to them are open and others' mostly are not.
    std::stable_partition(open.begin(), open.end(), [this, &pool](std::size_t index) { return isUsual(pool.backends()[index]); });
    putNearFirst(open, pool, choice.round == 0 ? FirstRoundNear : 1);
    const std::size_t wanted = std::min(open.size(), choice.round == 0 ? FirstRoundProbes : NextRoundProbes);
    std::vector<std::size_t> probed;
    while (probed.size() < wanted && allowance_.take(now, reserve_)) {
        const std::size_t index = open[probed.size()];
        choice.asked.push_back(pool.backends()[index].server.name);
        probed.push_back(index);
    }
    ++choice.round;
    choice.pending = probed.size();
    choice.decideAt = now + (choice.round <= QuickRounds ? ProbePatience : std::max(ProbePatience, RoundPause));
    return probed;
}

bool ServerChooser::takeProbe(TimePoint now)
{
    return allowance_.take(now);
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
    const Duration usableFor = model_.isCrowded() ? UsableWhenCrowdedFor : UsableFor;
    const bool isUsable = hasToldWithin(backend, now, need.takesOldReports ? usableFor : FreshFor);
    return isUsable && fits(backend, need) && !model_.isBetterLeftFree(backend, need.objective, now);
}

bool ServerChooser::fits(const Backend &backend, const ChoiceNeed &need) const
{
    // Above the best use of a server every further request makes all that follow late, whoever sent it.
    return need.isLate && !need.isUrgent ? model_.hasRoomToSpare(backend) : model_.hasRoom(backend);
}

bool ServerChooser::knowsAny(TimePoint now, const BackendPool &pool)
{
    const auto servers = pool.backends();
    return std::any_of(servers.begin(), servers.end(), [now](const Backend &backend) { return hasToldWithin(backend, now, UsableFor); });
}

bool ServerChooser::isUsual(const Backend &backend) const
{
    return usual_.contains(backend.server.name);
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
