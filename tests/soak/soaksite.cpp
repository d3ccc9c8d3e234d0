/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "soaksite.h"

#include "core/support/address.h"
#include "names.h"
#include "net/bootclock.h"
#include "sampleplan.h"
#include "socketowner.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <future>

namespace Cloverbarrow::Soak
{

namespace
{

using Standins::routeSpecification;

// Longer than any request may take, so that a graceful shutdown completes even if the process is paused meanwhile.
constexpr int ShutdownLimitMs = 20'000;
constexpr int ShutdownNoticeMs = 300;
constexpr double RouteTimeoutSeconds = 2;
constexpr std::size_t Zones = 2;
constexpr auto CrashCheckInterval = std::chrono::milliseconds(5);
constexpr auto CrashDowntime = std::chrono::milliseconds(1200);
constexpr Duration ColdDuration = seconds(2);

std::string zoneOf(std::size_t number)
{
    return number % Zones == 0 ? "bog-a" : "bog-b";
}

nlohmann::json tenantSpecification(const char *name, const WorkspaceQuota &quota)
{
    return {{"name", name}, {"api_keys", nlohmann::json::array({name})}, {"rate_per_s", quota.perSecond}, {"burst", quota.burst}};
}

} // namespace

std::string hostOfVersion(int version)
{
    return "v" + std::to_string(version) + ".example";
}

SoakSite::SoakSite(const SiteSize &size, std::string program, std::string folder)
    : program_(std::move(program))
    , folder_(std::move(folder))
    , entryVms_(static_cast<std::size_t>(size.entryVms))
    , backends_(static_cast<std::size_t>(size.backends))
    , hasWorkspaces_(size.hasWorkspaces)
{
    for (std::size_t number = 0; number < backends_.size(); ++number) {
        BackendServer &backend = backends_[number];
        backend.id = "i-" + std::to_string(number) + "-1";
        backend.server = std::make_unique<Standins::RegisteredBackend>(backend.id);
        backend.link = std::make_unique<FaultProxy>(backend.server->address());
        registerBackend(backend, "ready");
    }
    applyNextConfiguration();
    for (std::size_t number = 0; number < entryVms_.size(); ++number) {
        entryVms_[number].start.entryVm = number;
        entryVms_[number].storeLink = std::make_unique<FaultProxy>(store_.address());
        startLocked(entryVms_[number]);
    }
    crashThread_ = std::thread([this] {
        while (!isStopping_) {
            handleCrashes();
            std::this_thread::sleep_for(CrashCheckInterval);
        }
    });
}

SoakSite::~SoakSite()
{
    isStopping_ = true;
    crashThread_.join();
}

std::size_t SoakSite::entryVms() const
{
    return entryVms_.size();
}

std::size_t SoakSite::backends() const
{
    return backends_.size();
}

EntryAddress SoakSite::entryAddress(std::size_t entryVm) const
{
    const std::lock_guard lock(mutex_);
    const EntryVm &entry = entryVms_[entryVm];
    const auto addresses = nlohmann::json::parse(entry.listenAddresses);
    return {entry.start, addresses.at("callers").get<std::string>(), addresses.at("operations").get<std::string>()};
}

bool SoakSite::wasKilled(const ProcessStart &start) const
{
    const std::lock_guard lock(mutex_);
    return killedProcesses_.contains(start);
}

void SoakSite::signal(std::size_t entryVm, int number)
{
    const std::lock_guard lock(mutex_);
    const EntryVm &entry = entryVms_[entryVm];
    if (number == SIGSTOP) {
        pauses_.push_back({entry.start, bootNow()});
    } else if (number == SIGCONT) {
        endPausesLocked(entry.start);
    }
    entry.process->signal(number);
}

void SoakSite::endPausesLocked(const ProcessStart &process)
{
    for (Pause &pause : pauses_) {
        if (pause.process == process && pause.to == TimePoint::max()) {
            pause.to = bootNow();
        }
    }
}

void SoakSite::killAndRestart(std::size_t entryVm)
{
    const std::lock_guard lock(mutex_);
    EntryVm &entry = entryVms_[entryVm];
    killedProcesses_.insert(entry.start);
    entry.process.reset();
    startLocked(entry);
}

void SoakSite::killAndRestartAll(std::chrono::milliseconds pause)
{
    const std::lock_guard lock(mutex_);
    for (EntryVm &entry : entryVms_) {
        killedProcesses_.insert(entry.start);
        entry.process->signal(SIGKILL);
    }
    for (EntryVm &entry : entryVms_) {
        entry.process.reset();
    }
    std::this_thread::sleep_for(pause);
    std::vector<std::future<void>> starts;
    for (EntryVm &entry : entryVms_) {
        starts.push_back(std::async(std::launch::async, [this, &entry] { startLocked(entry); }));
    }
    for (std::future<void> &start : starts) {
        start.get();
    }
}

int SoakSite::stopAndRestart(std::size_t entryVm)
{
    std::unique_ptr<Tests::Process> stopping;
    {
        // Callers keep using the former address meanwhile, as they do before they notice that a process is leaving.
        const std::lock_guard lock(mutex_);
        stopping = std::move(entryVms_[entryVm].process);
        endPausesLocked(entryVms_[entryVm].start);
        startLocked(entryVms_[entryVm]);
    }
    stopping->signal(SIGCONT);
    stopping->signal(SIGTERM);
    return stopping->wait();
}

std::vector<int> SoakSite::stopAll()
{
    const std::lock_guard lock(mutex_);
    std::vector<int> codes;
    for (const EntryVm &entry : entryVms_) {
        entry.process->signal(SIGTERM);
    }
    for (const EntryVm &entry : entryVms_) {
        codes.push_back(entry.process->wait());
    }
    return codes;
}

void SoakSite::partition(const std::vector<std::size_t> &entryVms, Standins::PartitionMode mode)
{
    const std::lock_guard lock(mutex_);
    std::vector<pid_t> processes;
    for (const std::size_t entryVm : entryVms) {
        if (entryVms_[entryVm].process) {
            processes.push_back(entryVms_[entryVm].process->pid());
        }
    }
    for (const BackendServer &backend : backends_) {
        backend.link->setPartition(processes, mode);
    }
}

void SoakSite::endPartition()
{
    partition({}, Standins::PartitionMode::Hang);
}

std::vector<std::size_t> SoakSite::zoneMembers(std::size_t entryVm) const
{
    std::vector<std::size_t> members;
    for (std::size_t other = 0; other < entryVms_.size(); ++other) {
        if (zoneOf(other) == zoneOf(entryVm)) {
            members.push_back(other);
        }
    }
    return members;
}

FaultProxy &SoakSite::storeLink(std::size_t entryVm)
{
    return *entryVms_[entryVm].storeLink;
}

FaultProxy &SoakSite::backendLink(std::size_t backend)
{
    return *backends_[backend].link;
}

Standins::DirectoryStore &SoakSite::store()
{
    return store_;
}

void SoakSite::setAnswerMode(std::size_t backend, Standins::AnswerMode mode)
{
    backends_[backend].server->setAnswerMode(mode);
}

void SoakSite::replaceBackend(std::size_t backend)
{
    const std::lock_guard lock(mutex_);
    BackendServer &server = backends_[backend];
    store_.remove("servers", server.id);
    ++server.incarnation;
    server.id = "i-" + std::to_string(backend) + "-" + std::to_string(server.incarnation);
    server.server->replaceInstance(server.id);
    registerBackend(server, "ready");
}

void SoakSite::crashBackend(std::size_t backend)
{
    const std::lock_guard lock(mutex_);
    BackendServer &server = backends_[backend];
    if (!server.crashedAt) {
        server.crashedAt = std::chrono::steady_clock::now();
        server.server->stopAfterCrash();
    }
}

void SoakSite::handleCrashes()
{
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    for (std::size_t number = 0; number < backends_.size(); ++number) {
        BackendServer &server = backends_[number];
        if (!server.crashedAt && server.server->hasCrashed()) {
            server.crashedAt = now;
            server.server->stopAfterCrash();
        }
        if (server.crashedAt && now - *server.crashedAt >= CrashDowntime) {
            server.crashedAt.reset();
            store_.remove("servers", server.id);
            ++server.incarnation;
            server.id = "i-" + std::to_string(number) + "-" + std::to_string(server.incarnation);
            server.server->restartAfterCrash(server.id);
            server.link->setTarget(server.server->address());
            registerBackend(server, "ready");
        }
    }
}

void SoakSite::announceLeaving(std::size_t backend)
{
    backends_[backend].server->announceLeaving();
}

void SoakSite::rejectWithRetryAfter(std::size_t backend, const std::string &retryAfter)
{
    backends_[backend].server->setRetryAfter(retryAfter);
    backends_[backend].server->setAnswerMode(Standins::AnswerMode::Shed);
}

void SoakSite::stopRejecting(std::size_t backend)
{
    backends_[backend].server->setAnswerMode(Standins::AnswerMode::Serve);
    backends_[backend].server->setRetryAfter("");
}

std::vector<Standins::Arrival> SoakSite::arrivalsAt(std::size_t backend) const
{
    return backends_[backend].server->arrivals();
}

bool SoakSite::wasDisturbed(const ProcessStart &start, std::size_t backend, TimePoint from, TimePoint to) const
{
    const std::lock_guard lock(mutex_);
    const auto isIn = [&](const Pause &pause) { return pause.process == start && pause.from <= to && pause.to >= from; };
    return std::any_of(pauses_.begin(), pauses_.end(), isIn) || backends_[backend].link->hadFault(from, to);
}

bool SoakSite::hadLinkFault(std::size_t backend, TimePoint from, TimePoint to) const
{
    return backends_[backend].link->hadFault(from, to);
}

bool SoakSite::wasRestarted(std::size_t backend, TimePoint from, TimePoint to) const
{
    const std::lock_guard lock(mutex_);
    const auto &restarts = backends_[backend].restarts;
    return std::any_of(restarts.begin(), restarts.end(), [from, to](TimePoint at) { return at >= from && at <= to; });
}

void SoakSite::setDraining(std::size_t backend, bool isDraining)
{
    const std::lock_guard lock(mutex_);
    registerBackend(backends_[backend], isDraining ? "draining" : "ready");
}

void SoakSite::restartBackend(std::size_t backend)
{
    const std::lock_guard lock(mutex_);
    BackendServer &server = backends_[backend];
    ++server.startTime;
    server.restarts.push_back(bootNow());
    server.server->replaceInstance(server.id);
    registerBackend(server, "ready");
}

void SoakSite::corruptEntry(std::size_t backend, const std::string &field, const nlohmann::json &value)
{
    const std::lock_guard lock(mutex_);
    const BackendServer &server = backends_[backend];
    nlohmann::json entry = store_.specification("servers", server.id);
    entry[field] = value;
    store_.put("servers", server.id, entry);
}

void SoakSite::restoreEntry(std::size_t backend)
{
    const std::lock_guard lock(mutex_);
    registerBackend(backends_[backend], "ready");
}

void SoakSite::setZoneEvacuated(std::size_t backend, bool isEvacuated)
{
    if (isEvacuated) {
        store_.put("evacuations", zoneOfBackend(backend), nlohmann::json::object());
    } else {
        store_.remove("evacuations", zoneOfBackend(backend));
    }
}

std::string SoakSite::zoneOfBackend(std::size_t backend)
{
    return zoneOf(backend);
}

void SoakSite::makeCold(std::size_t backend)
{
    backends_[backend].server->makeCold(ColdDuration);
}

int SoakSite::maxPerSecondWhileCold() const
{
    int highest = 0;
    for (const BackendServer &backend : backends_) {
        highest = std::max(highest, backend.server->maxColdRequestsPerSecond());
    }
    return highest;
}

void SoakSite::announceLimit(std::size_t backend, const std::string &text)
{
    // Only in answers to requests, so that entry VMs have to forward the limit to each other.
    backends_[backend].server->announceLimit(text, Standins::LimitScope::Requests);
}

int SoakSite::maxExecutionsAt(std::size_t backend, Duration window, TimePoint from) const
{
    return backends_[backend].server->maxExecutions(window, from);
}

int SoakSite::applyNextConfiguration()
{
    const std::lock_guard lock(mutex_);
    ++version_;
    nlohmann::json routes = {routeSpecification("a.example", "safe", "/read/", RouteTimeoutSeconds),
                             routeSpecification("a.example", "unsafe", "/pay/", RouteTimeoutSeconds),
                             routeSpecification(hostOfVersion(version_), "safe", "/", RouteTimeoutSeconds)};
    for (nlohmann::json &route : routes) {
        if (hasWorkspaces_) {
            route["allow_anonymous"] = true;
        }
    }
    nlohmann::json plan = Standins::planSpecification(version_, routes);
    plan["limits"]["idle_timeout_s"] = std::chrono::duration<double>(idleTimeout_).count();
    if (hasWorkspaces_) {
        plan["tenants"] = {tenantSpecification(LimitedWorkspace, quotas_.back().second), tenantSpecification(AmpleWorkspace, AmpleQuota)};
    }
    store_.put("config", "main", plan);
    return version_;
}

bool SoakSite::hasWorkspaces() const
{
    return hasWorkspaces_;
}

void SoakSite::setQuota(const WorkspaceQuota &quota)
{
    {
        const std::lock_guard lock(mutex_);
        quotas_.emplace_back(bootNow(), quota);
    }
    applyNextConfiguration();
}

WorkspaceQuota SoakSite::quota() const
{
    const std::lock_guard lock(mutex_);
    return quotas_.back().second;
}

WorkspaceQuota SoakSite::largestQuota(TimePoint end) const
{
    const std::lock_guard lock(mutex_);
    WorkspaceQuota largest;
    for (const auto &[from, quota] : quotas_) {
        largest = from <= end && quota.perSecond > largest.perSecond ? quota : largest;
    }
    return largest;
}

std::vector<std::size_t> SoakSite::granters() const
{
    const std::lock_guard lock(mutex_);
    std::vector<pid_t> processes;
    for (const EntryVm &entry : entryVms_) {
        processes.push_back(entry.process->pid());
    }
    std::vector<std::size_t> found;
    for (std::size_t zone = 0; zone < Zones; ++zone) {
        const nlohmann::json record = store_.specification(Platform::RelaysKind, zoneOf(zone));
        const auto relay = record.is_object() ? parseSocketAddress(record.value("address", "")) : std::nullopt;
        if (const auto owner = relay ? Standins::ownerOfListener(relay->port, processes) : std::nullopt) {
            found.push_back(static_cast<std::size_t>(std::find(processes.begin(), processes.end(), *owner) - processes.begin()));
        }
    }
    return found;
}

void SoakSite::setSilentWhenFull(std::size_t backend, std::optional<Duration> work)
{
    backends_[backend].server->setCapacity(work ? std::optional(Standins::SilentCapacity{.work = *work}) : std::nullopt);
}

int SoakSite::droppedRequests() const
{
    int dropped = 0;
    for (const BackendServer &backend : backends_) {
        dropped += backend.server->droppedRequests();
    }
    return dropped;
}

void SoakSite::setIdleTimeout(std::chrono::milliseconds timeout)
{
    {
        const std::lock_guard lock(mutex_);
        idleTimeout_ = timeout;
    }
    applyNextConfiguration();
}

std::chrono::milliseconds SoakSite::idleTimeout() const
{
    const std::lock_guard lock(mutex_);
    return idleTimeout_;
}

int SoakSite::newestVersion() const
{
    const std::lock_guard lock(mutex_);
    return version_;
}

std::vector<std::string> SoakSite::executedRequestIds() const
{
    std::vector<std::string> ids;
    for (const BackendServer &backend : backends_) {
        const auto executed = backend.server->executedRequestIds();
        ids.insert(ids.end(), executed.begin(), executed.end());
    }
    return ids;
}

std::size_t SoakSite::executionCountAt(std::size_t backend) const
{
    return backends_[backend].server->executedRequestIds().size();
}

void SoakSite::startLocked(EntryVm &entry)
{
    ++entry.start.number;
    const std::string name = "entry-" + std::to_string(entry.start.entryVm);
    const std::string path = folder_ + "/" + name + ".yaml";
    std::ofstream(path) << "name: " << name << "\nzone: " << zoneOf(entry.start.entryVm)
                        << "\nregion: bogota\nlisten: {callers: 127.0.0.1:0, operations: 127.0.0.1:0}\n"
                        << "directory: {address: " << entry.storeLink->address()
                        << ", relay: 127.0.0.1:0, repeat_ratio: 0.2, repeat_slack: 64, probes_per_server: 60"
                        << (hasWorkspaces_
                                ? ", zones: [bog-a, bog-b], share_scarce_capacity: true}\nstartup: {max_requests: 64, max_wait_ms: 1000, expected_ms: 400}\n"
                                : "}\n")
                        << "shutdown: {notice_ms: " << ShutdownNoticeMs << ", limit_ms: " << ShutdownLimitMs << "}\n";
    const std::string log = folder_ + "/" + name + "." + std::to_string(entry.start.number) + ".log";
    const std::vector<std::string> command = {program_, "--settings=" + path};
    entry.process = std::make_unique<Tests::Process>(command, log);
    entry.listenAddresses = entry.process->firstLine();
}

void SoakSite::registerBackend(BackendServer &backend, const std::string &state)
{
    auto registration = backend.server->registration("reclamos", state);
    registration["zone"] = zoneOfBackend(static_cast<std::size_t>(&backend - backends_.data()));
    registration["address"] = backend.link->address();
    registration["born"] = backend.startTime;
    store_.put("servers", backend.id, registration);
}

} // namespace Cloverbarrow::Soak
