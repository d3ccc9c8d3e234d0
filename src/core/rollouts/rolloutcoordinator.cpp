/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/rollouts/rolloutcoordinator.h"

#include "core/support/stablehash.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Cloverbarrow
{

namespace
{

constexpr Duration MessageInterval = milliseconds(300);
// A relay has written and its write has reached the other relays by then.
constexpr Duration WriteDelayPerRank = milliseconds(700);
constexpr Duration RollBackDelayPerRank = milliseconds(250);
constexpr Duration WriteRetryInterval = milliseconds(600);

/// @return the answers in @p later that are not in @p earlier.
VersionEvidence difference(const VersionEvidence &later, const VersionEvidence &earlier)
{
    const auto minus = [](const AnswerCounts &left, const AnswerCounts &right) {
        // A restarted entry VM counts from 0 again.
        return AnswerCounts{std::max<std::int64_t>(0, left.answers - right.answers),
                            std::max<std::int64_t>(0, left.failures - right.failures),
                            std::max<std::int64_t>(0, left.slow - right.slow)};
    };
    VersionEvidence result;
    for (const auto &[objective, comparison] : later.byObjective()) {
        const auto found = earlier.byObjective().find(objective);
        const VersionEvidence::Comparison before = found == earlier.byObjective().end() ? VersionEvidence::Comparison{} : found->second;
        result.set(objective, {minus(comparison.target, before.target), minus(comparison.others, before.others)});
    }
    return result;
}

} // namespace

RolloutCoordinator::RolloutCoordinator(std::string localAddress, std::string zone, const RolloutLimits &limits)
    : localAddress_(std::move(localAddress))
    , zone_(std::move(zone))
    , limits_(limits)
{
}

bool RolloutCoordinator::apply(TimePoint now, const std::vector<StoredRollout> &orders)
{
    bool hasChanged = false;
    std::erase_if(orders_, [&orders, &hasChanged](const auto &entry) {
        const bool exists = std::any_of(orders.begin(), orders.end(), [&entry](const StoredRollout &stored) { return stored.rollout.service == entry.first; });
        hasChanged = hasChanged || !exists;
        return !exists;
    });
    for (const StoredRollout &stored : orders) {
        applyOrder(now, stored, hasChanged);
    }
    return hasChanged;
}

void RolloutCoordinator::applyOrder(TimePoint now, const StoredRollout &stored, bool &hasChanged)
{
    const auto [found, isNew] = orders_.try_emplace(stored.rollout.service);
    Order &order = found->second;
    if (!isNew && order.stored.rollout == stored.rollout) {
        order.stored.revision = stored.revision;
        return;
    }
    hasChanged = true;
    if (isNew || order.stored.rollout.targetVersion != stored.rollout.targetVersion) {
        order = Order{};
        order.knownSince = now;
    }
    order.stored = stored;
    order.decisionDueSince.reset();
    const auto &status = stored.rollout.status;
    const double share = status ? status->share : initialShare(limits_);
    if (share != order.share) {
        order.share = share;
        order.shareChangedAt = now;
        order.atShareChange = allEvidence(order);
    }
}

std::optional<VersionShift> RolloutCoordinator::shiftFor(std::string_view service) const
{
    const auto found = orders_.find(service);
    if (found == orders_.end()) {
        return std::nullopt;
    }
    const Order &order = found->second;
    const auto &status = order.stored.rollout.status;
    if (!isRunning(order)) {
        return VersionShift{order.stored.rollout.targetVersion, status->state == RolloutState::Completed ? 1.0 : 0.0};
    }
    return VersionShift{order.stored.rollout.targetVersion, order.share};
}

void RolloutCoordinator::record(const std::string &service, const VersionOutcome &outcome)
{
    const auto found = orders_.find(service);
    if (found != orders_.end() && isRunning(found->second)) {
        found->second.local.record(outcome);
    }
}

void RolloutCoordinator::onReports(TimePoint now, const RolloutReports &reports)
{
    for (const RolloutReport &report : reports.reports) {
        const auto found = orders_.find(report.service);
        if (found == orders_.end() || found->second.stored.rollout.targetVersion != report.targetVersion || !isRunning(found->second)) {
            continue;
        }
        Order &order = found->second;
        order.knownSince = std::min(order.knownSince, now - report.age);
        auto &origins = reports.isZoneTotal ? order.otherZones : order.followers;
        origins.insert_or_assign(reports.origin, report.evidence);
    }
}

std::vector<RolloutCoordinator::Message> RolloutCoordinator::takeDueMessages(TimePoint now, const RolloutPeers &peers)
{
    if (now < nextMessages_) {
        return {};
    }
    nextMessages_ = now + MessageInterval;
    std::vector<std::string> receivers = peers.isRelay ? peers.otherRelays : std::vector<std::string>{};
    if (!peers.isRelay && !peers.relay.empty()) {
        receivers.push_back(peers.relay);
    }
    RolloutReports reports{peers.isRelay ? zone_ : localAddress_, peers.isRelay, {}};
    for (auto &[service, order] : orders_) {
        VersionEvidence evidence = peers.isRelay ? zoneTotal(order) : order.local;
        if (!isRunning(order) || evidence == order.sent) {
            continue;
        }
        reports.reports.push_back({service, order.stored.rollout.targetVersion, now - order.knownSince, evidence});
        order.sent = std::move(evidence);
    }
    std::vector<Message> messages;
    if (!reports.reports.empty()) {
        for (std::string &receiver : receivers) {
            messages.push_back({std::move(receiver), reports});
        }
    }
    return messages;
}

std::vector<WriteRolloutStatus> RolloutCoordinator::takeDueWrites(TimePoint now, const RolloutPeers &peers)
{
    std::vector<WriteRolloutStatus> writes;
    for (auto &[service, order] : orders_) {
        const auto status = peers.isRelay && isRunning(order) ? nextStatus(now, order) : std::nullopt;
        if (!status) {
            order.decisionDueSince.reset();
            continue;
        }
        order.decisionDueSince = order.decisionDueSince.value_or(now);
        const Duration delayPerRank = status->state == RolloutState::RolledBack ? RollBackDelayPerRank : WriteDelayPerRank;
        if (now - *order.decisionDueSince < delayPerRank * rankAmongRelays(peers, service) || now < order.nextWrite) {
            continue;
        }
        order.nextWrite = now + WriteRetryInterval;
        writes.push_back({service, order.stored.revision, *status});
    }
    return writes;
}

std::optional<RolloutStatus> RolloutCoordinator::nextStatus(TimePoint now, const Order &order) const
{
    const Rollout &rollout = order.stored.rollout;
    const VersionEvidence evidence = allEvidence(order);
    const RolloutProgress progress{now - order.knownSince, rollout.duration, order.share, now - order.shareChangedAt};
    struct StatusBuilder {
        const Rollout &rollout;
        double share;

        std::optional<RolloutStatus> operator()(const KeepShare &) const
        {
            // Operators see from the first status that the order was received.
            return rollout.status ? std::nullopt : std::optional(RolloutStatus{RolloutState::Running, rollout.targetVersion, share});
        }
        std::optional<RolloutStatus> operator()(const RaiseShare &raise) const
        {
            return RolloutStatus{RolloutState::Running, rollout.targetVersion, raise.share};
        }
        std::optional<RolloutStatus> operator()(const CompleteRollout &) const
        {
            return RolloutStatus{RolloutState::Completed, rollout.targetVersion, 1};
        }
        std::optional<RolloutStatus> operator()(const RollBack &) const
        {
            return RolloutStatus{RolloutState::RolledBack, rollout.targetVersion, 0};
        }
    };
    const RolloutDecision decision = decideRollout(limits_, progress, evidence, difference(evidence, order.atShareChange));
    return std::visit(StatusBuilder{rollout, order.share}, decision);
}

bool RolloutCoordinator::isRunning(const Order &order)
{
    const auto &status = order.stored.rollout.status;
    return !status || status->state == RolloutState::Running;
}

VersionEvidence RolloutCoordinator::zoneTotal(const Order &order)
{
    VersionEvidence total = order.local;
    for (const auto &[follower, evidence] : order.followers) {
        total.add(evidence);
    }
    return total;
}

VersionEvidence RolloutCoordinator::allEvidence(const Order &order)
{
    VersionEvidence total = zoneTotal(order);
    for (const auto &[zone, evidence] : order.otherZones) {
        total.add(evidence);
    }
    return total;
}

std::ptrdiff_t RolloutCoordinator::rankAmongRelays(const RolloutPeers &peers, const std::string &service) const
{
    const std::uint64_t local = stableHash({localAddress_, service});
    const auto precedes = [&service, local](const std::string &relay) { return stableHash({relay, service}) < local; };
    return std::count_if(peers.otherRelays.begin(), peers.otherRelays.end(), precedes);
}

} // namespace Cloverbarrow
