/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "simulatedzone.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow::Tests
{

namespace
{

constexpr Duration Step = milliseconds(20);
constexpr Duration RelayCallInterval = milliseconds(400);
// Interval between two requests of one entry VM while the server has no limit.
constexpr Duration SendInterval = milliseconds(250);
constexpr Duration ProbeInterval = milliseconds(500);
// Followers use the former relay of their zone no longer than this.
constexpr Duration MaxRelayChangeDelay = seconds(1);
constexpr Duration LimitGracePeriod = milliseconds(500);

LimitNotice noticeOf(const std::optional<double> &limit)
{
    return limit ? LimitNotice(RequestLimit{*limit}) : LimitNotice(NoRequestLimit{});
}

} // namespace

SimulatedZone::EntryVm::EntryVm(std::string entryVmName, const FleetBudgets &budgets, std::uint64_t processNumber)
    : name(std::move(entryVmName))
    , estimate(budgets.zones)
    , limits(processNumber)
    , process(processNumber)
{
}

SimulatedZone::SimulatedZone(int entryVms, const FleetBudgets &budgets, const SimulatedServer &server, std::uint64_t seed)
    : budgets_(budgets)
    , server_(server)
    , random_(seed)
{
    for (int number = 0; number < entryVms; ++number) {
        entryVms_.emplace_back("vm-" + std::to_string(number), budgets, ++processCount_);
        configure(entryVms_.back());
    }
}

void SimulatedZone::advance(Duration duration)
{
    for (const TimePoint until = now_ + duration; now_ < until;) {
        now_ += Step;
        deliverAnswers();
        for (std::size_t index = 0; index < entryVms_.size(); ++index) {
            stepEntryVm(index);
        }
    }
}

void SimulatedZone::announceLimit(const std::optional<double> &perSecond)
{
    const bool isDecrease = perSecond && limit_ && *perSecond < *limit_;
    if (isDecrease || perSecond.has_value() != limit_.has_value()) {
        for (EntryVm &entryVm : entryVms_) {
            entryVm.limitReceivedAt.reset();
        }
    }
    limit_ = perSecond;
}

void SimulatedZone::restart(std::size_t index)
{
    EntryVm &entryVm = entryVms_[index % entryVms_.size()];
    entryVm = EntryVm(entryVm.name, budgets_, ++processCount_);
    configure(entryVm);
}

void SimulatedZone::replace(std::size_t index)
{
    EntryVm &entryVm = entryVms_[index % entryVms_.size()];
    entryVm = EntryVm(entryVm.name + "-replaced", budgets_, ++processCount_);
    configure(entryVm);
}

void SimulatedZone::changeRelay(std::size_t next)
{
    relay_ = next % entryVms_.size();
}

void SimulatedZone::replaceSenders()
{
    for (std::size_t index = 0; index < entryVms_.size(); ++index) {
        if (index != relay_ && entryVms_[index].pool.limitShare(*entryVms_[index].pool.find("server"), now_).value_or(0) > 0) {
            replace(index);
        }
    }
}

void SimulatedZone::stopSenders()
{
    for (EntryVm &entryVm : entryVms_) {
        entryVm.hasRequests = entryVm.pool.limitShare(*entryVm.pool.find("server"), now_).value_or(0) == 0;
    }
}

void SimulatedZone::setDisconnected(std::size_t index, bool isDisconnected)
{
    entryVms_[index % entryVms_.size()].isDisconnected = isDisconnected;
}

TimePoint SimulatedZone::now() const
{
    return now_;
}

const std::vector<Arrival> &SimulatedZone::arrivals() const
{
    return arrivals_;
}

int SimulatedZone::maxArrivalsIn(Duration window) const
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals_.size(); ++last) {
        while (arrivals_[last].at - arrivals_[first].at >= window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return static_cast<int>(most);
}

int SimulatedZone::entryVmsWithLimit() const
{
    const auto hasLimit = [](const EntryVm &entryVm) { return entryVm.pool.find("server")->limit.perSecond().has_value(); };
    return static_cast<int>(std::count_if(entryVms_.begin(), entryVms_.end(), hasLimit));
}

void SimulatedZone::stepEntryVm(std::size_t index)
{
    EntryVm &entryVm = entryVms_[index];
    updateFollowedRelay(entryVm);
    const bool isRelay = index == relay_;
    if (isRelay) {
        setRank(entryVm, entryVm.estimate.localRank(now_));
    } else {
        entryVm.estimate.stopCounting();
    }
    if (!isRelay && now_ >= entryVm.nextRelayCall) {
        callRelay(index);
    }
    exchangeLimits(index);
    if (now_ - entryVm.rankReceivedAt > FleetEstimate::RankLifetime) {
        entryVm.rank.reset();
    }
    if (entryVm.rank != entryVm.configuredRank) {
        configure(entryVm);
    }
    probe(index);
    send(index);
}

void SimulatedZone::send(std::size_t index)
{
    EntryVm &entryVm = entryVms_[index];
    const bool isBounded = server_.coldRequestsPerSecond > 0 || entryVm.pool.find("server")->limit.perSecond();
    // A process accepts requests only after a relay has answered it.
    const bool isServing = entryVm.hasRequests && (entryVm.hasReachedRelay || index == relay_);
    if (!isServing || (!isBounded && now_ < entryVm.nextSend)) {
        return;
    }
    entryVm.nextSend = now_ + SendInterval;
    while (entryVm.pool.takeNamed(now_, "server")) {
        arrivals_.push_back({now_, entryVm.limitReceivedAt && now_ - *entryVm.limitReceivedAt >= LimitGracePeriod});
        if (server_.responseTime == Duration(0)) {
            entryVm.pool.release("server", AttemptQuality::Neutral, Duration(0), now_);
            applyNotice(entryVm, now_, NoticeSource::Executed, limit_);
        } else {
            answers_.push_back({now_ + server_.responseTime, now_, index, entryVm.process});
        }
        if (!isBounded) {
            return;
        }
    }
}

void SimulatedZone::probe(std::size_t index)
{
    EntryVm &entryVm = entryVms_[index];
    if (server_.probesAnnounceLimit && now_ >= entryVm.nextProbe) {
        entryVm.nextProbe = now_ + ProbeInterval;
        applyNotice(entryVm, now_, NoticeSource::Probe, limit_);
    }
}

void SimulatedZone::deliverAnswers()
{
    while (!answers_.empty() && answers_.front().at <= now_) {
        const Answer answer = answers_.front();
        answers_.pop_front();
        EntryVm &entryVm = entryVms_[answer.entryVm];
        if (entryVm.process != answer.process) {
            continue;
        }
        entryVm.pool.release("server", AttemptQuality::Neutral, now_ - answer.sentAt, now_);
        // The notice contains the limit at the time of the answer, not of the request.
        applyNotice(entryVm, answer.sentAt, NoticeSource::Executed, limit_);
    }
}

void SimulatedZone::applyNotice(EntryVm &entryVm, TimePoint sentAt, NoticeSource source, const std::optional<double> &limit)
{
    if (limit) {
        entryVm.limitReceivedAt = entryVm.limitReceivedAt.value_or(now_);
    }
    const bool isChanged = entryVm.pool.applyLimitNotice(now_, sentAt, "server", source, noticeOf(limit));
    if (isChanged || entryVm.pool.claimLimitConfirmation("server")) {
        const TrackedLimit &tracked = entryVm.pool.find("server")->limit;
        entryVm.limits.serverReported({"server", tracked.perSecond(), tracked.lastObservedAt()});
    }
}

void SimulatedZone::updateFollowedRelay(EntryVm &entryVm)
{
    if (entryVm.followedRelay == relay_) {
        entryVm.relayChangeAt = TimePoint();
    } else if (entryVm.relayChangeAt == TimePoint()) {
        entryVm.relayChangeAt = now_ + Duration(random_.below(static_cast<std::size_t>(MaxRelayChangeDelay.count())));
    } else if (now_ >= entryVm.relayChangeAt) {
        entryVm.followedRelay = relay_;
        entryVm.relayChangeAt = TimePoint();
    }
}

bool SimulatedZone::reachesRelay(std::size_t index) const
{
    const EntryVm &entryVm = entryVms_[index];
    return index != relay_ && !entryVm.isDisconnected && entryVm.followedRelay == relay_ && !entryVms_[relay_].isDisconnected;
}

void SimulatedZone::callRelay(std::size_t index)
{
    EntryVm &entryVm = entryVms_[index];
    entryVm.nextRelayCall = now_ + RelayCallInterval * 3 / 4 + Duration(random_.below(static_cast<std::size_t>((RelayCallInterval / 2).count())));
    if (reachesRelay(index)) {
        entryVm.hasReachedRelay = true;
        setRank(entryVm, entryVms_[relay_].estimate.onFollowerRequest(now_, entryVm.name));
        entryVm.limits.versionAnnounced(entryVms_[relay_].name, entryVms_[relay_].limits.version());
    }
}

void SimulatedZone::exchangeLimits(std::size_t index)
{
    EntryVm &entryVm = entryVms_[index];
    const LimitPeers peers = {{entryVms_[entryVm.followedRelay].name}, {}};
    for (const LimitExchange::Message &message : entryVm.limits.takeDueMessages(now_, index == relay_ ? LimitPeers{} : peers)) {
        entryVm.limits.onAnswer(message, reachesRelay(index) ? std::optional(entryVms_[relay_].limits.onUpdate(message.update)) : std::nullopt);
    }
    for (const LimitReport &report : entryVm.limits.takeLearned()) {
        entryVm.pool.applyLimitReport(now_, report);
    }
}

void SimulatedZone::setRank(EntryVm &entryVm, const std::optional<FleetRank> &rank)
{
    if (rank) {
        entryVm.rank = rank;
        entryVm.rankReceivedAt = now_;
    }
}

void SimulatedZone::configure(EntryVm &entryVm)
{
    entryVm.configuredRank = entryVm.rank;
    Service service;
    service.name = "polizas";
    service.coldStartQuota = coldStartQuota(budgets_, server_.coldRequestsPerSecond);
    service.entryVmRank = entryVm.rank;
    const Duration warmUp = server_.coldRequestsPerSecond > 0 ? Duration(seconds(86'400)) : Duration(0);
    service.backendServers.push_back({"server", "127.0.0.1:9001", "bog-a", {}, 2, warmUp});
    entryVm.pool.configure(service, now_);
}

} // namespace Cloverbarrow::Tests
