/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "invariants.h"

#include "names.h"
#include "net/bootclock.h"

#include <algorithm>
#include <array>
#include <functional>
#include <thread>

namespace Cloverbarrow::Soak
{

namespace
{

constexpr Duration CheckTimeout = seconds(3);
// Together 60 s, far longer than recovery takes, so that load on the machine does not change the result.
constexpr int MaxRecoveryChecks = 600;
constexpr auto RecoveryCheckInterval = std::chrono::milliseconds(100);
constexpr int ReadsForRecovery = 10;
// How many crashes and later executions of one poison request are tolerated, and how often it is sent after the last fault.
constexpr int CrashesTolerated = 3;
constexpr int ExtraExecutionsTolerated = 3;
constexpr std::size_t PoisonRounds = 3;
constexpr auto PoisonRoundInterval = std::chrono::milliseconds(150);
// Within this time all entry VMs have received earlier updates.
constexpr auto PropagationTime = std::chrono::seconds(3);
// Time within which all entry VMs must apply an evacuation, and how long the servers are observed afterwards.
constexpr auto EvacuationPropagationTime = std::chrono::seconds(5);
constexpr auto EvacuationObservationTime = std::chrono::seconds(1);
// Requests per second that all entry VMs together may send to a cold server: the configured rate of 2.5, with the default factor of 1.5 and the
// default extra of 8 from the settings.
constexpr double ColdRequestBound = 2.5 * 1.5 + 8;

// Requests that a server with a limit may get within the window: one and a half times the limit, plus 5.
constexpr double AnnouncedLimit = 1;
constexpr Duration LimitWindow = seconds(4);
constexpr int LimitBound = static_cast<int>(1.5 * 4 * AnnouncedLimit + 5);
constexpr auto LimitMargin = std::chrono::milliseconds(500);

// Time after an answer with the leaving header within which requests may still be sent to the server.
constexpr Duration DrainPeriod = seconds(2);
// Requests that arrive within this time after a rejection with Retry-After do not count.
constexpr Duration BackoffGrace = milliseconds(500);
constexpr std::ptrdiff_t RequestsToleratedInBackoff = 2;

bool declaresNotExecuted(int status)
{
    constexpr std::array Statuses = {408, 421, 429, 503};
    return std::find(Statuses.begin(), Statuses.end(), status) != Statuses.end();
}

std::string about(const Observation &observed, const std::string &what)
{
    return observed.id + " at entry-" + std::to_string(observed.process.entryVm) + "." + std::to_string(observed.process.number) + ": " + what;
}

void checkAnswer(const Observation &observed, const HttpAnswer &answer, int executions, std::vector<Violation> &violations)
{
    const bool isSuccess = answer.status == 200;
    const bool isOwnAnswer = answer.body.view().find((observed.isWrite ? "/pay/" : "/read/") + observed.id + " ") != std::string::npos;
    if (isSuccess && (!isOwnAnswer || !findHeader(answer.headers, Platform::StampHeader))) {
        violations.push_back({"each caller gets its own answer", about(observed, std::string(answer.body))});
    }
    if (declaresNotExecuted(answer.status) && executions > 0) {
        violations.push_back({"an answer that declares a request as not executed is true",
                              about(observed, "status " + std::to_string(answer.status) + ", executed " + std::to_string(executions) + " times")});
    }
    if (isSuccess && executions == 0) {
        violations.push_back({"a request answered with success was executed", about(observed, std::string(answer.body))});
    }
    if (answer.body.view().find("servers have ended under this request") != std::string::npos) {
        violations.push_back({"a harmless request is not blocked because of a poison request", about(observed, std::string(answer.body))});
    }
    if (answer.status == 404) {
        violations.push_back({"a route of every configuration version is served", about(observed, std::string(answer.body))});
    }
}

void checkFailure(const SoakSite &site, const Observation &observed, const HttpFailure &failure, int executions, std::vector<Violation> &violations)
{
    if (observed.hasShortTimeout || site.wasKilled(observed.process)) {
        return;
    }
    if (failure.isTimeout && failure.wasSent) {
        violations.push_back({"each request is answered", about(observed, failure.reason)});
    } else if (executions > 0) {
        // A request that is sent while the entry VM closes a kept connection is not read and thus not executed, which is no violation.
        violations.push_back({"a request forwarded to a server is answered", about(observed, failure.reason)});
    }
}

} // namespace

std::vector<Violation> violationsIn(const SoakSite &site, const std::vector<Observation> &observations)
{
    std::map<std::string, int> executions;
    for (const std::string &id : site.executedRequestIds()) {
        ++executions[id];
    }
    std::vector<Violation> violations;
    for (const Observation &observed : observations) {
        const auto found = executions.find(observed.id);
        const int count = found == executions.end() ? 0 : found->second;
        if (observed.isWrite && count > 1) {
            violations.push_back({"a write is executed at most once", about(observed, "executed " + std::to_string(count) + " times")});
        }
        if (const auto *answer = std::get_if<HttpAnswer>(&observed.outcome)) {
            checkAnswer(observed, *answer, count, violations);
        } else {
            checkFailure(site, observed, std::get<HttpFailure>(observed.outcome), count, violations);
        }
    }
    return violations;
}

namespace
{

/// Observations of callers by request id.
using Senders = std::map<std::string, const Observation *>;

std::string nameOf(const ProcessStart &process)
{
    return "entry-" + std::to_string(process.entryVm) + "." + std::to_string(process.number);
}

void checkLeaving(const SoakSite &site, std::size_t backend, const Senders &senders, std::vector<Violation> &violations)
{
    const auto arrivals = site.arrivalsAt(backend);
    using SenderAndServer = std::pair<ProcessStart, std::string>;
    std::map<SenderAndServer, TimePoint> announcedAt;
    for (const Standins::Arrival &arrival : arrivals) {
        const auto sender = senders.find(arrival.requestId);
        const auto *answer = sender == senders.end() ? nullptr : std::get_if<HttpAnswer>(&sender->second->outcome);
        const bool isPassedOn = answer && answer->status == 200 && answer->body.view().starts_with(arrival.server + " ");
        if (arrival.announcesLeaving && isPassedOn) {
            announcedAt.try_emplace({sender->second->process, arrival.server}, sender->second->endedAt);
        }
    }
    for (const Standins::Arrival &arrival : arrivals) {
        const auto sender = senders.find(arrival.requestId);
        if (sender == senders.end()) {
            continue;
        }
        const auto announced = announcedAt.find({sender->second->process, arrival.server});
        // A server that has been restarted under its id is not leaving any more.
        if (announced != announcedAt.end() && sender->second->sentAt > announced->second + DrainPeriod
            && !site.wasRestarted(backend, announced->second - PropagationTime, sender->second->sentAt)) {
            violations.push_back({"a server that has announced that it is leaving gets no requests",
                                  arrival.requestId + " from " + nameOf(sender->second->process) + " at " + arrival.server});
        }
    }
}

void checkBackoffs(const SoakSite &site, std::size_t backend, const Senders &senders, std::vector<Violation> &violations)
{
    const auto arrivals = site.arrivalsAt(backend);
    const auto senderOf = [&senders](const Standins::Arrival &arrival) {
        const auto sender = senders.find(arrival.requestId);
        return sender == senders.end() ? std::optional<ProcessStart>() : sender->second->process;
    };
    for (const Standins::Arrival &rejected : arrivals) {
        const auto process = rejected.backoff > BackoffGrace ? senderOf(rejected) : std::nullopt;
        // While the link has a fault or the process is paused, the rejection may not have been received.
        if (!process || site.wasDisturbed(*process, backend, rejected.at, rejected.at + BackoffGrace)) {
            continue;
        }
        // A server that has been restarted under its id has not requested a backoff. Until its new entry is received, its answers count for the former start.
        if (site.wasRestarted(backend, rejected.at - PropagationTime, rejected.at + rejected.backoff)) {
            continue;
        }
        const auto isUnwanted = [&](const Standins::Arrival &arrival) {
            return arrival.server == rejected.server && arrival.at > rejected.at + BackoffGrace && arrival.at < rejected.at + rejected.backoff
                && senderOf(arrival) == process;
        };
        if (const auto count = std::count_if(arrivals.begin(), arrivals.end(), isUnwanted); count > RequestsToleratedInBackoff) {
            violations.push_back(
                {"a server that has requested a backoff gets no requests",
                 rejected.server + " got " + std::to_string(count) + " from " + nameOf(*process) + " after it rejected " + rejected.requestId});
        }
    }
}

} // namespace

std::vector<Violation> violationsOfAnnouncements(const SoakSite &site, const std::vector<Observation> &observations)
{
    Senders senders;
    for (const Observation &observed : observations) {
        senders.emplace(observed.id, &observed);
    }
    std::vector<Violation> violations;
    for (std::size_t backend = 0; backend < site.backends(); ++backend) {
        checkLeaving(site, backend, senders, violations);
        checkBackoffs(site, backend, senders, violations);
    }
    return violations;
}

VersionMonitor::VersionMonitor(const SoakSite &site)
    : site_(site)
{
}

std::vector<Violation> VersionMonitor::checkEntryVm(std::size_t entryVm)
{
    const EntryAddress entry = site_.entryAddress(entryVm);
    int &newestServed = newestServed_[entry.start];
    for (int version = site_.newestVersion(); version > newestServed; --version) {
        if (const int status = requestStatus(entry, version); status != 0 && status != 404) {
            // Any answer other than "no route" shows that the version is active, provided that the entry VM has a configuration at all. Only
            // status 200 proves that it has one.
            newestServed = status == 200 ? version : newestServed;
            break;
        }
    }
    std::vector<Violation> violations;
    if (newestServed > 1 && requestStatus(entry, newestServed - 1) == 200) {
        violations.push_back({"the configuration version of a process never decreases",
                              "entry-" + std::to_string(entryVm) + "." + std::to_string(entry.start.number) + " served version "
                                  + std::to_string(newestServed - 1) + " after " + std::to_string(newestServed)});
    }
    return violations;
}

int VersionMonitor::requestStatus(const EntryAddress &entry, int version)
{
    const std::string id = "v-" + std::to_string(++requestCount_);
    const HttpOutcome outcome = client_.send(entry.callers, callerRequest("GET", hostOfVersion(version), "/", id), CheckTimeout);
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    return answer ? answer->status : 0;
}

namespace
{

/// @return why the entry VM has not recovered yet; empty if it has.
std::string unrecoveredFaultOf(const SoakSite &site, std::size_t entryVm, BlockingClient &client, int &requestCount)
{
    const EntryAddress entry = site.entryAddress(entryVm);
    const auto statusOf = [&](const std::string &address, const std::string &host, const std::string &target, const std::string &workspace = {}) {
        const std::string id = "r-" + std::to_string(++requestCount);
        const HttpOutcome outcome = client.send(address, callerRequest("GET", host, target, id, workspace), CheckTimeout);
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        return answer ? answer->status : 0;
    };
    if (const int status = statusOf(entry.operations, "x", "/readyz"); status != 200) {
        return "not ready: " + std::to_string(status);
    }
    const int newest = site.newestVersion();
    if (const int status = statusOf(entry.callers, hostOfVersion(newest), "/"); status != 200) {
        return "newest version: " + std::to_string(status);
    }
    if (const int status = statusOf(entry.callers, hostOfVersion(newest - 1), "/"); status != 404) {
        return "previous version: " + std::to_string(status);
    }
    for (int request = 0; request < ReadsForRecovery; ++request) {
        if (const int status = statusOf(entry.callers, "a.example", "/read/r"); status != 200) {
            return "a read: " + std::to_string(status);
        }
    }
    if (const int status = site.hasWorkspaces() ? statusOf(entry.callers, "a.example", "/read/r", AmpleWorkspace) : 200; status != 200) {
        return "a read within the quota of a workspace: " + std::to_string(status);
    }
    return {};
}

} // namespace

std::vector<Violation> violationsUnderPoisonRequests(const SoakSite &site)
{
    BlockingClient client;
    const auto sendRounds = [&site, &client](const std::function<bool(std::size_t poisonRequest)> &isSelected) {
        for (std::size_t round = 0; round < PoisonRounds * site.entryVms(); ++round) {
            for (std::size_t poisonRequest = 0; poisonRequest < PoisonRequestCallers::PoisonRequestCount; ++poisonRequest) {
                if (isSelected(poisonRequest)) {
                    PoisonRequestCallers::send(site, client, poisonRequest, round % site.entryVms());
                }
            }
            std::this_thread::sleep_for(PoisonRoundInterval);
        }
    };
    sendRounds([&site](std::size_t poisonRequest) { return PoisonRequestCallers::executionCount(site, poisonRequest) < CrashesTolerated; });
    std::this_thread::sleep_for(PropagationTime);
    std::array<int, PoisonRequestCallers::PoisonRequestCount> before{};
    for (std::size_t poisonRequest = 0; poisonRequest < before.size(); ++poisonRequest) {
        before.at(poisonRequest) = PoisonRequestCallers::executionCount(site, poisonRequest);
    }
    sendRounds([](std::size_t) { return true; });
    std::vector<Violation> violations;
    for (std::size_t poisonRequest = 0; poisonRequest < before.size(); ++poisonRequest) {
        const int added = PoisonRequestCallers::executionCount(site, poisonRequest) - before.at(poisonRequest);
        if (before.at(poisonRequest) >= CrashesTolerated && added > ExtraExecutionsTolerated) {
            violations.push_back({"a poison request is soon blocked",
                                  "poison request " + std::to_string(poisonRequest) + ": executed " + std::to_string(before.at(poisonRequest)) + " times, then "
                                      + std::to_string(added) + " times more, later than 3 s after the third"});
        }
    }
    return violations;
}

std::vector<Violation> violationsUnderEvacuation(SoakSite &site)
{
    constexpr std::size_t EvacuatedBackend = 0;
    site.setZoneEvacuated(EvacuatedBackend, true);
    std::this_thread::sleep_for(EvacuationPropagationTime);
    std::vector<std::size_t> before;
    for (std::size_t backend = 0; backend < site.backends(); ++backend) {
        before.push_back(site.executionCountAt(backend));
    }
    // The soak's callers keep sending requests meanwhile.
    std::this_thread::sleep_for(EvacuationObservationTime);
    std::vector<Violation> violations;
    for (std::size_t backend = 0; backend < site.backends(); ++backend) {
        const bool isInEvacuatedZone = SoakSite::zoneOfBackend(backend) == SoakSite::zoneOfBackend(EvacuatedBackend);
        if (const std::size_t added = site.executionCountAt(backend) - before[backend]; isInEvacuatedZone && added > 0) {
            violations.push_back({"an evacuated zone gets no requests", "backend server " + std::to_string(backend) + " executed " + std::to_string(added)});
        }
    }
    site.setZoneEvacuated(EvacuatedBackend, false);
    return violations;
}

std::vector<Violation> violationsUnderLimits(SoakSite &site)
{
    constexpr std::array<std::size_t, 2> Limited = {0, 1};
    const auto executionCounts = [&site, &Limited] {
        std::array<std::size_t, Limited.size()> counts{};
        std::transform(Limited.begin(), Limited.end(), counts.begin(), [&site](std::size_t backend) { return site.executionCountAt(backend); });
        return counts;
    };
    const auto atStart = executionCounts();
    for (const std::size_t backend : Limited) {
        site.announceLimit(backend, std::to_string(AnnouncedLimit));
    }
    std::this_thread::sleep_for(PropagationTime);
    const TimePoint limitedFrom = bootNow();
    std::this_thread::sleep_for(LimitWindow + LimitMargin);
    std::vector<Violation> violations;
    for (const std::size_t backend : Limited) {
        if (const int most = site.maxExecutionsAt(backend, LimitWindow, limitedFrom); most > LimitBound) {
            violations.push_back({"a server with a request limit gets no more than the limit allows",
                                  "backend server " + std::to_string(backend) + " executed " + std::to_string(most) + " in 4 s"});
        }
        site.announceLimit(backend, "");
    }
    // After its limit has ended, a server may get no requests for a moment while others have free capacity.
    const TimePoint unlimitedFrom = bootNow();
    const auto atEnd = executionCounts();
    std::this_thread::sleep_for(PropagationTime + LimitMargin);
    for (std::size_t index = 0; index < Limited.size(); ++index) {
        const std::size_t backend = Limited.at(index);
        if (site.maxExecutionsAt(backend, LimitMargin, unlimitedFrom) <= static_cast<int>(AnnouncedLimit)) {
            violations.push_back({"a server whose limit has ended is used again",
                                  "backend server " + std::to_string(backend) + " executed " + std::to_string(atEnd.at(index) - atStart.at(index))
                                      + " while limited and " + std::to_string(site.executionCountAt(backend) - atEnd.at(index)) + " afterwards"});
        }
    }
    return violations;
}

std::vector<Violation> violationsAtColdServers(const SoakSite &site)
{
    if (const int most = site.maxPerSecondWhileCold(); most > ColdRequestBound) {
        return {{"a cold server gets no more requests than it tolerates", std::to_string(most) + " in a second"}};
    }
    return {};
}

std::vector<Violation> awaitRecovery(SoakSite &site)
{
    BlockingClient client;
    int requestCount = 0;
    std::vector<Violation> violations;
    for (std::size_t entryVm = 0; entryVm < site.entryVms(); ++entryVm) {
        std::string fault = unrecoveredFaultOf(site, entryVm, client, requestCount);
        for (int check = 0; check < MaxRecoveryChecks && !fault.empty(); ++check) {
            std::this_thread::sleep_for(RecoveryCheckInterval);
            fault = unrecoveredFaultOf(site, entryVm, client, requestCount);
        }
        if (!fault.empty()) {
            violations.push_back({"service returns after the last fault", "entry-" + std::to_string(entryVm) + ": " + fault});
        }
    }
    return violations;
}

} // namespace Cloverbarrow::Soak
