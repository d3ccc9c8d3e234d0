/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "faultinjector.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace Cloverbarrow::Soak
{

namespace
{

using std::chrono::milliseconds;

// The longest interval between faults and the range of their duration: some faults overlap, others follow one another.
constexpr std::size_t MaxIntervalMs = 250;
constexpr std::size_t MinDurationMs = 100;
constexpr std::size_t MaxDurationMs = 2500;
// Combined with the seed, these select an independent random stream for each later group of faults.
constexpr std::uint64_t CrashStream = 0x63726173;
constexpr std::uint64_t EvacuationStream = 0x706c6163;
constexpr std::uint64_t LimitStream = 0x6c696d69;
constexpr std::uint64_t LeavingStream = 0x6c656176;
constexpr std::uint64_t BackoffStream = 0x6261636b;
constexpr std::uint64_t PartitionStream = 0x70617274;
constexpr std::uint64_t LoadStream = 0x6c6f6164;
constexpr std::uint64_t IdleStream = 0x69646c65;

using Standins::AnswerMode;

struct NamedAnswerMode {
    AnswerMode mode;
    const char *name;
};

constexpr std::array AnswerModes = {NamedAnswerMode{AnswerMode::Shed, "sheds requests"},
                                    NamedAnswerMode{AnswerMode::Hang, "hangs"},
                                    NamedAnswerMode{AnswerMode::Reset, "resets connections after executing requests"},
                                    NamedAnswerMode{AnswerMode::Unsigned, "answers without a signature"},
                                    NamedAnswerMode{AnswerMode::Unframed, "answers without a length"}};

/// An invalid value that another writer stores in a field of a server's entry, as JSON.
struct CorruptedField {
    const char *name;
    const char *value;
};

constexpr std::array CorruptedFields = {CorruptedField{"address", "7"},
                                        CorruptedField{"state", "\"resting\""},
                                        CorruptedField{"slots", "\"three\""},
                                        CorruptedField{"service", "null"},
                                        CorruptedField{"born", "-1"}};

} // namespace

FaultInjector::FaultInjector(SoakSite &site, std::uint64_t seed)
    : site_(site)
    , random_(seed)
    , entryRandom_(~seed)
    , crashRandom_(seed ^ CrashStream)
    , evacuationRandom_(seed ^ EvacuationStream)
    , limitRandom_(seed ^ LimitStream)
    , leavingRandom_(seed ^ LeavingStream)
    , backoffRandom_(seed ^ BackoffStream)
    , partitionRandom_(seed ^ PartitionStream)
    , loadRandom_(seed ^ LoadStream)
    , idleRandom_(seed ^ IdleStream)
{
}

void FaultInjector::addHeavyLoad(const std::vector<HeavyLoadFault> &faults, WorkspaceCallers &callers)
{
    heavyLoadFaults_ = faults;
    workspaceCallers_ = &callers;
}

void FaultInjector::addIdleLimits()
{
    hasIdleLimits_ = true;
}

milliseconds FaultInjector::injectNext()
{
    while (!pendingEnds_.empty() && pendingEnds_.begin()->first <= Clock::now()) {
        const auto node = pendingEnds_.extract(pendingEnds_.begin());
        node.mapped()();
    }
    injectCommonFault();
    injectEntryFault();
    injectCrash();
    injectColdServerOrEvacuation();
    injectRequestLimit();
    injectLeaving();
    injectBackoff();
    injectPartition();
    injectIdleLimit();
    injectHeavyLoad();
    return milliseconds(random_.below(MaxIntervalMs));
}

void FaultInjector::endAllFaults()
{
    for (const auto &[due, end] : pendingEnds_) {
        end();
    }
    pendingEnds_.clear();
    for (std::future<int> &stopped : pendingExits_) {
        if (const int code = stopped.get(); code != 0) {
            failedExits_.push_back("a process exited after SIGTERM with code " + std::to_string(code));
        }
    }
    pendingExits_.clear();
    recordEvent("all faults ended");
}

const std::vector<std::string> &FaultInjector::journal() const
{
    return journal_;
}

const std::vector<std::string> &FaultInjector::failedExits() const
{
    return failedExits_;
}

void FaultInjector::injectCommonFault()
{
    constexpr std::array Injectors = {
        &FaultInjector::injectSignal, &FaultInjector::injectStoreFault, &FaultInjector::injectServerFault, &FaultInjector::applyChange};
    (this->*Injectors.at(random_.below(Injectors.size())))();
}

void FaultInjector::injectPartition()
{
    constexpr std::size_t StepsPerPartition = 8;
    constexpr std::array Modes = {Standins::PartitionMode::Hang, Standins::PartitionMode::Reset, Standins::PartitionMode::RejectNew};
    if (partitionRandom_.below(StepsPerPartition) > 0 || isPartitioned_) {
        return;
    }
    const std::size_t entryVm = partitionRandom_.below(site_.entryVms());
    const std::vector<std::size_t> entryVms = partitionRandom_.below(2) == 0 ? std::vector<std::size_t>{entryVm} : site_.zoneMembers(entryVm);
    const Standins::PartitionMode mode = Modes.at(partitionRandom_.below(Modes.size()));
    recordEvent((entryVms.size() == 1 ? "entry-" : "zone of entry-") + std::to_string(entryVm) + " is partitioned from all backend servers: " + nameOf(mode));
    isPartitioned_ = true;
    site_.partition(entryVms, mode);
    endLater(partitionRandom_, [this] {
        site_.endPartition();
        isPartitioned_ = false;
    });
}

void FaultInjector::injectSignal()
{
    const std::size_t entryVm = randomEntryVm();
    const std::string name = "entry-" + std::to_string(entryVm);
    switch (random_.below(4)) {
    case 0:
        recordEvent(name + " pauses");
        site_.signal(entryVm, SIGSTOP);
        endLater([this, entryVm] { site_.signal(entryVm, SIGCONT); });
        break;
    case 1:
        recordEvent(name + " is killed");
        site_.killAndRestart(entryVm);
        break;
    case 2:
        recordEvent(name + " is asked to stop");
        pendingExits_.push_back(std::async(std::launch::async, [this, entryVm] { return site_.stopAndRestart(entryVm); }));
        break;
    default:
        recordEvent(name + " reloads its settings");
        site_.signal(entryVm, SIGHUP);
        break;
    }
}

void FaultInjector::injectStoreFault()
{
    switch (random_.below(4)) {
    case 0:
        recordEvent("the store refuses all calls");
        site_.store().setBusy(true);
        endLater([this] { site_.store().setBusy(false); });
        break;
    case 1:
        recordEvent("the store discards its change history");
        site_.store().discardHistory();
        break;
    default:
        const std::size_t entryVm = randomEntryVm();
        injectLinkFault(site_.storeLink(entryVm), "link of entry-" + std::to_string(entryVm) + " to the store");
        break;
    }
}

void FaultInjector::injectServerFault()
{
    const std::size_t backend = randomBackend();
    const std::string name = "backend server " + std::to_string(backend);
    if (random_.below(2) == 0) {
        injectLinkFault(site_.backendLink(backend), "link to " + name);
        return;
    }
    const NamedAnswerMode &drawn = AnswerModes.at(random_.below(AnswerModes.size()));
    recordEvent(name + " " + drawn.name);
    site_.setAnswerMode(backend, drawn.mode);
    endLater([this, backend] { site_.setAnswerMode(backend, AnswerMode::Serve); });
}

void FaultInjector::applyChange()
{
    const std::size_t backend = randomBackend();
    switch (random_.below(3)) {
    case 0:
        recordEvent("configuration " + std::to_string(site_.applyNextConfiguration()));
        break;
    case 1:
        recordEvent("backend server " + std::to_string(backend) + " is replaced");
        site_.replaceBackend(backend);
        break;
    default:
        recordEvent("backend server " + std::to_string(backend) + " drains");
        site_.setDraining(backend, true);
        endLater([this, backend] { site_.setDraining(backend, false); });
        break;
    }
}

void FaultInjector::injectEntryFault()
{
    constexpr std::size_t StepsPerFault = 6;
    if (entryRandom_.below(StepsPerFault) > 0) {
        return;
    }
    const std::size_t backend = entryRandom_.below(site_.backends());
    const std::string name = "backend server " + std::to_string(backend);
    if (entryRandom_.below(2) == 0) {
        recordEvent(name + " restarts under the same id");
        site_.backendLink(backend).setFault(LinkFault::Reset);
        endLater(entryRandom_, [this, backend] {
            site_.backendLink(backend).setFault(LinkFault::None);
            site_.restartBackend(backend);
        });
        return;
    }
    const CorruptedField &drawn = CorruptedFields.at(entryRandom_.below(CorruptedFields.size()));
    recordEvent("another writer corrupts field '" + std::string(drawn.name) + "' of " + name);
    site_.corruptEntry(backend, drawn.name, nlohmann::json::parse(drawn.value));
    endLater(entryRandom_, [this, backend] { site_.restoreEntry(backend); });
}

void FaultInjector::injectCrash()
{
    constexpr std::size_t StepsPerCrash = 10;
    if (crashRandom_.below(StepsPerCrash) > 0) {
        return;
    }
    const std::size_t backend = crashRandom_.below(site_.backends());
    recordEvent("backend server " + std::to_string(backend) + " crashes without a request");
    site_.crashBackend(backend);
}

void FaultInjector::injectColdServerOrEvacuation()
{
    constexpr std::size_t StepsPerFault = 8;
    if (evacuationRandom_.below(StepsPerFault) > 0) {
        return;
    }
    const std::size_t backend = evacuationRandom_.below(site_.backends());
    if (isEvacuated_ || evacuationRandom_.below(2) == 0) {
        recordEvent("backend server " + std::to_string(backend) + " becomes cold");
        site_.makeCold(backend);
        return;
    }
    // Only one zone at a time: with all zones evacuated no request can be served.
    isEvacuated_ = true;
    recordEvent("zone " + SoakSite::zoneOfBackend(backend) + " is evacuated");
    site_.setZoneEvacuated(backend, true);
    endLater(evacuationRandom_, [this, backend] {
        recordEvent("zone " + SoakSite::zoneOfBackend(backend) + " is taken back");
        site_.setZoneEvacuated(backend, false);
        isEvacuated_ = false;
    });
}

void FaultInjector::injectRequestLimit()
{
    constexpr std::size_t StepsPerFault = 8;
    constexpr std::array Limits = {"0", "0.5", "2.7", "20", "nan", "2,7"};
    if (limitRandom_.below(StepsPerFault) > 0) {
        return;
    }
    const std::size_t backend = limitRandom_.below(site_.backends());
    const char *limit = Limits.at(limitRandom_.below(Limits.size()));
    recordEvent("backend server " + std::to_string(backend) + " announces a request limit of " + limit);
    site_.announceLimit(backend, limit);
    endLater(limitRandom_, [this, backend] { site_.announceLimit(backend, ""); });
}

void FaultInjector::injectLeaving()
{
    constexpr std::size_t StepsPerFault = 8;
    constexpr std::size_t MaxLeavingServers = 2;
    // Longer than a drain period, so that requests sent after it are noticed.
    constexpr std::size_t MinLeavingMs = 2500;
    constexpr std::size_t MaxLeavingMs = 5000;
    if (leavingRandom_.below(StepsPerFault) > 0) {
        return;
    }
    const std::size_t backend = leavingRandom_.below(site_.backends());
    const milliseconds duration(MinLeavingMs + leavingRandom_.below(MaxLeavingMs - MinLeavingMs));
    if (leavingServers_ >= MaxLeavingServers) {
        return;
    }
    ++leavingServers_;
    recordEvent("backend server " + std::to_string(backend) + " announces that it is leaving");
    site_.announceLeaving(backend);
    pendingEnds_.emplace(Clock::now() + duration, [this, backend] {
        --leavingServers_;
        site_.replaceBackend(backend);
    });
}

void FaultInjector::injectBackoff()
{
    constexpr std::size_t StepsPerFault = 4;
    constexpr std::array RetryAfters = {"0.7", "1", "2.5", "3", "0", "nan", "-1", "Wed, 21 Oct 2026 07:28:00 GMT"};
    if (backoffRandom_.below(StepsPerFault) > 0) {
        return;
    }
    const std::size_t backend = backoffRandom_.below(site_.backends());
    const char *retryAfter = RetryAfters.at(backoffRandom_.below(RetryAfters.size()));
    recordEvent("backend server " + std::to_string(backend) + " rejects requests with Retry-After: " + retryAfter);
    site_.rejectWithRetryAfter(backend, retryAfter);
    endLater(backoffRandom_, [this, backend] { site_.stopRejecting(backend); });
}

void FaultInjector::injectIdleLimit()
{
    constexpr std::size_t StepsPerFault = 4;
    constexpr std::array Limits = {milliseconds(300), milliseconds(600), milliseconds(1000)};
    if (!hasIdleLimits_ || idleRandom_.below(StepsPerFault) > 0) {
        return;
    }
    if (idleRandom_.below(2) == 0) {
        const milliseconds limit = Limits.at(idleRandom_.below(Limits.size()));
        recordEvent("connections end after " + std::to_string(limit.count()) + " ms without a request");
        site_.setIdleTimeout(limit);
        return;
    }
    const std::size_t entryVm = idleRandom_.below(site_.entryVms());
    recordEvent("entry-" + std::to_string(entryVm) + " pauses");
    site_.signal(entryVm, SIGSTOP);
    endLater(idleRandom_, [this, entryVm] { site_.signal(entryVm, SIGCONT); });
}

void FaultInjector::injectHeavyLoad()
{
    constexpr std::size_t StepsPerFault = 6;
    constexpr std::size_t MaxRestartPauseMs = 800;
    // Long enough for entry VMs to serve between two restarts.
    constexpr milliseconds MinServiceTime(2000);
    // Long enough for a surge to use up a quota, and shorter than a window of quotas.
    constexpr std::size_t MinLoadMs = 1000;
    constexpr std::size_t MaxLoadMs = 4000;
    if (heavyLoadFaults_.empty() || loadRandom_.below(StepsPerFault) > 0) {
        return;
    }
    std::function<void()> end = [] {};
    recordEvent("workspaces send a surge");
    workspaceCallers_->startSurge();
    switch (heavyLoadFaults_.at(loadRandom_.below(heavyLoadFaults_.size()))) {
    case HeavyLoadFault::Surge:
    case HeavyLoadFault::QuotaUse:
        break;
    case HeavyLoadFault::SilentServers:
        end = injectSilentServers();
        break;
    case HeavyLoadFault::FleetRestart:
        if (Clock::now() >= nextFleetRestart_) {
            recordEvent("all entry VMs are killed and started at once");
            site_.killAndRestartAll(milliseconds(loadRandom_.below(MaxRestartPauseMs)));
            nextFleetRestart_ = Clock::now() + MinServiceTime;
        }
        break;
    case HeavyLoadFault::LoweredQuota:
        end = injectLoweredQuota();
        break;
    }
    const milliseconds duration(MinLoadMs + loadRandom_.below(MaxLoadMs - MinLoadMs));
    pendingEnds_.emplace(Clock::now() + duration, [this, end = std::move(end)] {
        end();
        workspaceCallers_->endSurge();
    });
}

std::function<void()> FaultInjector::injectSilentServers()
{
    constexpr std::size_t MinWorkMs = 100;
    constexpr std::size_t MaxWorkMs = 600;
    const Duration work = milliseconds(MinWorkMs + loadRandom_.below(MaxWorkMs - MinWorkMs));
    std::vector<std::size_t> backends;
    for (std::size_t backend = 0; backend < site_.backends(); ++backend) {
        if (loadRandom_.below(4) > 0) {
            backends.push_back(backend);
            recordEvent("backend server " + std::to_string(backend) + " never answers when full, work takes "
                        + std::to_string(std::chrono::duration_cast<milliseconds>(work).count()) + " ms");
            site_.setSilentWhenFull(backend, work);
        }
    }
    return [this, backends] {
        for (const std::size_t backend : backends) {
            site_.setSilentWhenFull(backend, std::nullopt);
        }
    };
}

std::function<void()> FaultInjector::injectLoweredQuota()
{
    constexpr std::array<WorkspaceQuota, 3> Quotas = {{{4, 2}, {10, 5}, {40, 20}}};
    const auto granters = site_.granters();
    for (const std::size_t granter : granters) {
        recordEvent("granter entry-" + std::to_string(granter) + " pauses");
        site_.signal(granter, SIGSTOP);
    }
    const WorkspaceQuota &quota = Quotas.at(loadRandom_.below(Quotas.size()));
    recordEvent("quota of " + std::to_string(static_cast<int>(quota.perSecond)) + " a second");
    site_.setQuota(quota);
    return [this, granters] {
        for (const std::size_t granter : granters) {
            site_.signal(granter, SIGCONT);
        }
    };
}

void FaultInjector::recordEvent(const std::string &what)
{
    const auto since = std::chrono::duration_cast<milliseconds>(Clock::now() - start_);
    journal_.push_back(std::to_string(since.count()) + " ms: " + what);
}

void FaultInjector::endLater(std::function<void()> end)
{
    endLater(random_, std::move(end));
}

void FaultInjector::endLater(Random &random, std::function<void()> end)
{
    const milliseconds duration(MinDurationMs + random.below(MaxDurationMs - MinDurationMs));
    pendingEnds_.emplace(Clock::now() + duration, std::move(end));
}

void FaultInjector::injectLinkFault(FaultProxy &link, const std::string &name)
{
    constexpr std::array Faults = {LinkFault::Slow, LinkFault::CutToTarget, LinkFault::CutFromTarget, LinkFault::Cut, LinkFault::Reset};
    const std::size_t drawn = random_.below(Faults.size() + 1);
    if (drawn == Faults.size()) {
        recordEvent(name + ": open connections carry no more data");
        link.stallOpenConnections();
        return;
    }
    recordEvent(name + ": " + nameOf(Faults.at(drawn)));
    link.setFault(Faults.at(drawn));
    endLater([&link] { link.setFault(LinkFault::None); });
}

std::size_t FaultInjector::randomEntryVm()
{
    return random_.below(site_.entryVms());
}

std::size_t FaultInjector::randomBackend()
{
    return random_.below(site_.backends());
}

} // namespace Cloverbarrow::Soak
