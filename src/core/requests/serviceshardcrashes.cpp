/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/retryafter.h"
#include "core/requests/serviceshard.h"
#include "core/support/httpstatus.h"

#include <algorithm>
#include <iterator>
#include <set>

// The part of ServiceShard that detects servers that crash while requests are in flight, and refuses poison requests. Without it, one read that
// its caller retried through one entry VM after another crashed 30 servers within 7 s, in a service of 10.

namespace Cloverbarrow
{

void ServiceShard::on(TimePoint now, const BlocklistChanged &event, ServiceActions &actions)
{
    if (!blocklist_.take(event.order, event.blocklist)) {
        return;
    }
    // Answers that arrived before the crashes were reported exonerate a request as well. Otherwise, in a simulation of six entry VMs in which one request
    // crashed ten servers repeatedly, another request that is sent 20 times a second was in flight at three of them within a second and stayed blocked.
    for (const RequestFingerprint &fingerprint : event.blocklist->suspects()) {
        if (answeredRequests_.contains(now, fingerprint)) {
            actions.emplace_back(ReportSuspectAnswered{fingerprint});
        }
    }
    refuseBlockedRequests(now, actions);
}

bool ServiceShard::isBlocked(TimePoint now, const RequestFingerprint &fingerprint) const
{
    const RequestBlocklist &blocklist = *blocklist_.value();
    if (!blocklist.blocks(fingerprint) || answeredRequests_.contains(now, fingerprint)) {
        return false;
    }
    return blocklist.blocksCaller(fingerprint) || !answeredRequests_.containsDigest(now, fingerprint.digest);
}

void ServiceShard::watchForCrash(TimePoint now, const Attempt &attempt, const AttemptEnded &event, ServiceActions &actions)
{
    // Services whose probe budget is shared by leases have no budget for these probes.
    if (!probesBeforeChoice() || std::holds_alternative<NotSent>(event.outcome)) {
        return;
    }
    const RequestFingerprint &fingerprint = requests_.at(event.request).arrival.fingerprint;
    if (const auto *answer = std::get_if<CompleteAnswer>(&event.outcome)) {
        // An answer of a later server at the same address does not show that this server is alive; counted as its answer, it would withdraw the crash that was
        // just detected.
        recordLiveness(now, attempt.backend, answer->isFromAnotherServer ? ServerLiveness::Rejected : ServerLiveness::Answered, actions);
        const bool isGood = !answer->isNotExecuted && !answer->isMisleading && answer->status < HttpStatus::ServerError;
        if (isGood) {
            recordAnswered(now, fingerprint, actions);
        }
        return;
    }
    if (attempt.reportedDroppedAt) {
        // The server has reported since that it does not have the request, so it answered, and the request was never executed there.
        return;
    }
    requests_.at(event.request).serversOfLostAnswers.push_back(attempt.backend);
    const CrashDetector::DirectoryStatus directoryStatus = directoryStatusOf(attempt.backend);
    // A server that is no longer listed and did not answer in time has not necessarily crashed.
    const bool isTimeout = std::get<LostAnswer>(event.outcome).isTimeout;
    const bool isInconclusive = directoryStatus == CrashDetector::DirectoryStatus::Unlisted && isTimeout;
    if (isInconclusive || answeredRequests_.contains(now, fingerprint)) {
        return;
    }
    const CrashDetector::Finding found = crashDetector_.answerLost(now, attempt.backend, fingerprint, directoryStatus);
    // A crashing server closes its connections; one that is slow or cut off does not.
    if (found.isSuspected && !isTimeout) {
        actions.emplace_back(ReportServerSuspected{attempt.backend, fingerprint});
    }
    reportCrashFindings(attempt.backend, found, actions);
    probeSuspectedServers(now, actions);
}

CrashDetector::DirectoryStatus ServiceShard::directoryStatusOf(const std::string &backend) const
{
    using DirectoryStatus = CrashDetector::DirectoryStatus;
    const Backend *server = pool_.find(backend);
    return !server ? DirectoryStatus::Unlisted : server->isLeaving ? DirectoryStatus::Leaving : DirectoryStatus::Serving;
}

void ServiceShard::recordAnswered(TimePoint now, const RequestFingerprint &fingerprint, ServiceActions &actions)
{
    answeredRequests_.add(now, fingerprint);
    if (blocklist_.value()->isSuspect(fingerprint)) {
        actions.emplace_back(ReportSuspectAnswered{fingerprint});
    }
}

void ServiceShard::recordLiveness(TimePoint now, const std::string &backend, ServerLiveness liveness, ServiceActions &actions)
{
    reportCrashFindings(backend, crashDetector_.livenessObserved(now, backend, liveness), actions);
}

void ServiceShard::reportCrashFindings(const std::string &backend, const CrashDetector::Finding &found, ServiceActions &actions)
{
    if (!found.crashFingerprints.empty()) {
        actions.emplace_back(ReportServerCrash{backend, found.crashFingerprints});
    }
    if (found.hasRecovered || found.isSuspicionCleared) {
        actions.emplace_back(ReportServerRecovered{backend, found.hasRecovered});
    }
}

void ServiceShard::checkRemovedServers(TimePoint now, ServiceActions &actions)
{
    std::vector<std::string> present;
    for (const Backend &backend : pool_.backends()) {
        present.push_back(backend.server.name);
    }
    unresponsive_.keepOnly(present);
    crashDetector_.directoryUpdated(
        now, present, [&](const std::string &backend, const CrashDetector::Finding &found) { reportCrashFindings(backend, found, actions); });
}

void ServiceShard::probeSuspectedServers(TimePoint now, ServiceActions &actions)
{
    for (const std::string &name : crashDetector_.takeDueProbes(now)) {
        const Backend *backend = pool_.find(name);
        if (!backend) {
            continue;
        }
        // These probes use the probe budget like all others.
        if (!chooser_.takeProbe(now)) {
            crashDetector_.probeNotSent(name, now);
            continue;
        }
        actions.emplace_back(StartProbe{0, name, backend->server.address, service_->choiceProbes.path, std::nullopt, true});
    }
}

void ServiceShard::refuseBlockedRequests(TimePoint now, ServiceActions &actions)
{
    for (auto entry = requests_.begin(); entry != requests_.end();) {
        const Request &request = entry->second;
        const bool isWaiting =
            request.running.empty() && (request.choice || std::find(queuedRequests_.begin(), queuedRequests_.end(), entry->first) != queuedRequests_.end());
        if (!isWaiting || !isBlocked(now, request.arrival.fingerprint)) {
            ++entry;
            continue;
        }
        refuse(request,
               blockedRequestProblem(request.arrival.fingerprint, request.mayHaveExecuted ? ExecutionStatus::Unknown : ExecutionStatus::NotExecuted),
               actions);
        std::erase(queuedRequests_, entry->first);
        entry = requests_.erase(entry);
    }
}

bool ServiceShard::mayCrashTooManyServers(TimePoint now, const Request &request) const
{
    const RequestFingerprint &fingerprint = request.arrival.fingerprint;
    if (isBlocked(now, fingerprint)) {
        return true;
    }
    if (!blocklist_.value()->isSuspect(fingerprint) || answeredRequests_.contains(now, fingerprint)) {
        return false;
    }
    // A crash is detected after a quarter of a second and reported some time later, but a retry is sent at once. So lost answers and attempts in flight
    // count as crashes here.
    std::set<std::string> servers = blocklist_.value()->affectedServers(fingerprint);
    servers.insert(request.serversOfLostAnswers.begin(), request.serversOfLostAnswers.end());
    for (const Attempt &attempt : request.running) {
        servers.insert(attempt.backend);
    }
    return servers.size() >= RequestBlocklist::CrashesToBlock;
}

Problem ServiceShard::blockedRequestProblem(const RequestFingerprint &fingerprint, ExecutionStatus status) const
{
    const Duration retryAfter = blocklist_.value()->blocksTemporarily(fingerprint) ? RetryAfterWhenSuspected : RetryAfterWhenBlocked;
    return {HttpStatus::ServiceUnavailable, status, "admit", name_, "too many servers have ended under this request", retryAfter};
}

} // namespace Cloverbarrow
