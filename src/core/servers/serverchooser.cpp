/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/serverchooser.h"

#include "core/servers/silentserverdetector.h"
#include "core/support/stablehash.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <tuple>
#include <utility>

namespace Cloverbarrow
{

namespace
{

constexpr std::size_t FirstRoundProbes = 3;
constexpr std::size_t FirstRoundLocalProbes = 2; // in the availability zone of this entry VM
constexpr std::size_t NextRoundProbes = 3;
// Servers of a service that one entry VM probes first. A new connection costs twelve times as much as a probe; at about 7 requests per second an
// entry VM keeps connections to about this many servers in use.
constexpr std::size_t PreferredServers = 12;
constexpr std::size_t PreferredLocalServers = 8; // in the availability zone of this entry VM
// A probe takes about 10 ms (6 ms at the server, plus the network); waiting longer costs more latency than its result saves.
constexpr Duration ProbeTimeout = milliseconds(20);
// Minimum interval of later rounds, so that a full service is not probed continuously.
constexpr Duration RoundInterval = milliseconds(30);
constexpr int QuickRounds = 2; // rounds without that interval
// Unused probes accumulate up to the number that the full rate allows in this time.
constexpr double ProbeBurstSeconds = 1;
// Checking whether a server has crashed takes three probes per server. Without a reserve, choices use up all probes at 80 requests per second and the
// crash is detected after 1.4 s instead of 0.25 s.
constexpr double MaxReserve = 6; // probes
// Up to this age a report describes the current state of a server.
constexpr Duration FreshReportAge = milliseconds(30);
// If no probe may be made, a report up to this age is better than none while most servers have free capacity. While few have, a request sent on an
// old report is likely to be late and to take a slot from others, so a nearly fresh report is required.
constexpr Duration UsableReportAge = seconds(1);
constexpr Duration UsableReportAgeNearSaturation = milliseconds(60);
// Above this multiple of the unloaded latency, another round is more likely than not to find a better server.
constexpr double PoorLatencyFactor = 2.0;

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

/// Moves up to @p count servers of the local availability zone to the front.
void moveLocalToFront(std::vector<std::size_t> &indices, const BackendPool &pool, std::size_t count)
{
    std::size_t placed = 0;
    for (std::size_t index = 0; index < indices.size() && placed < count; ++index) {
        if (pool.backends()[indices[index]].distance == Distance::SameZone) {
            // Rotating keeps the order of the servers in between, so preferred servers stay before others.
            std::rotate(indices.begin() + static_cast<std::ptrdiff_t>(placed),
                        indices.begin() + static_cast<std::ptrdiff_t>(index),
                        indices.begin() + static_cast<std::ptrdiff_t>(index) + 1);
            ++placed;
        }
    }
}

bool hasReportedWithin(const Backend &backend, TimePoint now, Duration age)
{
    return backend.reportedAt && now - *backend.reportedAt <= age;
}

/// Selects the servers that this entry VM probes first. A rendezvous hash keeps the selection stable while these servers exist, and gives each entry VM
/// a different one, so that the servers of a large service get even load.
std::set<std::string, std::less<>> preferredServers(const BackendPool &pool, const std::string &self)
{
    std::vector<std::pair<std::uint64_t, const Backend *>> local;
    std::vector<std::pair<std::uint64_t, const Backend *>> remote;
    for (const Backend &backend : pool.backends()) {
        // If evacuated servers were counted, entry VMs of an evacuated zone would be left with a third of their preferred servers.
        if (backend.isEvacuated) {
            continue;
        }
        auto &group = backend.distance == Distance::SameZone ? local : remote;
        group.emplace_back(stableHash({self, backend.server.name}), &backend);
    }
    std::sort(local.begin(), local.end());
    std::sort(remote.begin(), remote.end());
    std::set<std::string, std::less<>> preferred;
    for (std::size_t index = 0; index < std::min(local.size(), PreferredLocalServers); ++index) {
        preferred.insert(local[index].second->server.name);
    }
    for (std::size_t index = 0; index < remote.size() && preferred.size() < PreferredServers; ++index) {
        preferred.insert(remote[index].second->server.name);
    }
    return preferred;
}

} // namespace

ServerChooser::ServerChooser(std::string self)
    : hints_(std::move(self))
{
}

void ServerChooser::configure(const Service &service, const BackendPool &pool, const std::string &self)
{
    preferred_ = preferredServers(pool, self);
    const double perSecond = service.choiceProbes.probesPerSecond * static_cast<double>(service.backendServers.size());
    probeTokens_.setRate(perSecond, perSecond * ProbeBurstSeconds);
    reservedProbes_ = std::clamp((perSecond * ProbeBurstSeconds - 1) / 2, 0.0, MaxReserve);
}

std::vector<std::size_t> ServerChooser::nextRound(TimePoint now, const BackendPool &pool, const ServerFilter &filter, Choice &choice, Random &random)
{
    std::vector<std::size_t> available = pool.availableServers(now, filter);
    std::erase_if(available, [&pool, &choice](std::size_t index) { return isIn(choice.probedServers, pool.backends()[index].server.name); });
    const auto isAvoided = [this, &pool, now](std::size_t index) { return hints_.isAvoided(now, pool.backends()[index].server.name); };
    if (std::all_of(available.begin(), available.end(), isAvoided)) {
        // All available servers have been probed, except for those that are the last resort; start again with all of them.
        choice.probedServers.clear();
        available = pool.availableServers(now, filter);
    }
    shuffle(available, random);
    // Preferred servers first, because connections to them are usually open already.
    std::stable_partition(available.begin(), available.end(), [this, &pool](std::size_t index) { return isPreferred(pool.backends()[index]); });
    moveLocalToFront(available, pool, choice.round == 0 ? FirstRoundLocalProbes : 1);
    const std::size_t wanted = std::min(available.size(), choice.round == 0 ? FirstRoundProbes : NextRoundProbes);
    moveAvoidedToBack(now, pool, available, wanted, choice.round >= QuickRounds);
    std::vector<std::size_t> targets;
    while (targets.size() < wanted && probeTokens_.take(now, reservedProbes_)) {
        const std::size_t index = available[targets.size()];
        if (!isAvoided(index)) {
            choice.probedServers.push_back(pool.backends()[index].server.name);
        }
        targets.push_back(index);
    }
    ++choice.round;
    choice.pendingProbes = targets.size();
    choice.probeDeadline = now + (choice.round <= QuickRounds ? ProbeTimeout : std::max(ProbeTimeout, RoundInterval));
    return targets;
}

void ServerChooser::moveAvoidedToBack(
    TimePoint now, const BackendPool &pool, std::vector<std::size_t> &available, std::size_t wanted, bool includesAvoided) const
{
    if (hints_.count() == 0) {
        return;
    }
    const auto isAvoided = [this, &pool, now](std::size_t index) { return hints_.isAvoided(now, pool.backends()[index].server.name); };
    const auto avoided = std::stable_partition(available.begin(), available.end(), std::not_fn(isAvoided));
    const auto others = static_cast<std::size_t>(avoided - available.begin());
    // A server is used only by a fresh report. If all others are full, one with a hint must have been probed to be the last resort.
    if (includesAvoided && avoided != available.end() && others >= wanted && wanted > 0) {
        std::iter_swap(available.begin() + static_cast<std::ptrdiff_t>(wanted - 1), avoided);
    }
}

bool ServerChooser::takeProbe(TimePoint now)
{
    return probeTokens_.take(now);
}

ChoiceStep ServerChooser::evaluate(
    TimePoint now, const BackendPool &pool, const ServerFilter &filter, const ChoiceRequirements &requirements, const Choice &choice) const
{
    const auto available = pool.availableServers(now, filter);
    const auto isAvoided = [this, &pool, now](std::size_t index) { return hints_.isAvoided(now, pool.backends()[index].server.name); };
    auto [best, bestMs] = fastest(now, pool, available, requirements, false);
    if (!best && (requirements.acceptsAny || std::all_of(available.begin(), available.end(), isAvoided))) {
        std::tie(best, bestMs) = fastest(now, pool, available, requirements, true);
    }
    if (best && (requirements.acceptsAny || model_.isNearOptimal(*best, now))) {
        return {ChoiceState::Chosen, best->server.name};
    }
    if (choice.pendingProbes > 0 && now < choice.probeDeadline) {
        return {ChoiceState::Wait, {}};
    }
    const bool isPoor = bestMs > PoorLatencyFactor * model_.unloadedLatencyMs(requirements.objective);
    if (isPoor && choice.round < QuickRounds) {
        return {ChoiceState::NeedsProbes, {}};
    }
    if (best && bestMs <= toMilliseconds(requirements.timeLeft)) {
        return {ChoiceState::Chosen, best->server.name};
    }
    // Later rounds keep their interval even if all probes were answered early.
    return {now < choice.probeDeadline ? ChoiceState::Wait : ChoiceState::NeedsProbes, {}};
}

std::pair<const Backend *, double> ServerChooser::fastest(
    TimePoint now, const BackendPool &pool, std::span<const std::size_t> indices, const ChoiceRequirements &requirements, bool isAvoided) const
{
    std::pair<const Backend *, double> best{nullptr, std::numeric_limits<double>::max()};
    for (const std::size_t index : indices) {
        const Backend &backend = pool.backends()[index];
        if (hints_.isAvoided(now, backend.server.name) != isAvoided || !isUsable(backend, requirements, now)) {
            continue;
        }
        if (const double time = model_.expectedMs(backend, requirements.objective, now); time < best.second) {
            best = {&backend, time};
        }
    }
    return best;
}

bool ServerChooser::isUsable(const Backend &backend, const ChoiceRequirements &requirements, TimePoint now) const
{
    const Duration usableAge = model_.isNearSaturation() ? UsableReportAgeNearSaturation : UsableReportAge;
    const bool isRecent = hasReportedWithin(backend, now, requirements.acceptsOldReports && !requirements.serversDropRequests ? usableAge : FreshReportAge);
    const bool isAccepted = !requirements.mustBeAccepted || isCertainToAccept(backend, now);
    return isRecent && isAccepted && hasRequiredCapacity(backend, requirements) && !model_.isTemporarilyTooSlow(backend, requirements.objective, now);
}

bool ServerChooser::hasRequiredCapacity(const Backend &backend, const ChoiceRequirements &requirements) const
{
    // Above a server's optimal concurrency every further request, from any entry VM, delays all that follow.
    return requirements.missesObjective && !requirements.hasPriority ? model_.hasCapacityToSpare(backend) : model_.hasFreeCapacity(backend);
}

bool ServerChooser::hasRecentReport(TimePoint now, const BackendPool &pool, const ServerFilter &filter)
{
    const auto servers = pool.backends();
    return std::any_of(servers.begin(), servers.end(), [now, &filter](const Backend &backend) {
        return hasReportedWithin(backend, now, UsableReportAge) && !std::ranges::binary_search(filter.unusable, backend.server.name);
    });
}

bool ServerChooser::isPreferred(const Backend &backend) const
{
    return preferred_.contains(backend.server.name);
}

ResponseTimeModel &ServerChooser::model()
{
    return model_;
}

const ResponseTimeModel &ServerChooser::model() const
{
    return model_;
}

ServerHints &ServerChooser::hints()
{
    return hints_;
}

const ServerHints &ServerChooser::hints() const
{
    return hints_;
}

} // namespace Cloverbarrow
