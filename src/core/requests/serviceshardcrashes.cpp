/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/comeback.h"
#include "core/requests/serviceshard.h"
#include "core/support/httpstatus.h"

#include <algorithm>
#include <iterator>
#include <set>

// The part of ServiceShard that detects servers that crash while requests are in flight, and refuses poison requests. Without it, one read that
// its caller retried through one entry VM after another crashed 30 servers within 7 s, in a service of 10.

namespace Cloverbarrow
{

void ServiceShard::on(TimePoint now, const CrashVerdictsChanged &event, ServiceActions &actions)
{
    if (!crashVerdicts_.take(event.order, event.verdicts)) {
        return;
    }
    // Answers that arrived before the crashes were reported exonerate a request as well. Otherwise, in a simulation of six entry VMs in which one request
    // crashed ten servers repeatedly, another request that is sent 20 times a second was in flight at three of them within a second and stayed blocked.
    for (const RequestContent &fingerprint : event.verdicts->suspects()) {
        if (answered_.has(now, fingerprint)) {
            actions.emplace_back(TellSuspectAnswered{fingerprint});
        }
    }
    refuseWaitingSuspects(now, actions);
}

bool ServiceShard::isRefusedForEnds(TimePoint now, const RequestContent &fingerprint) const
{
    return crashVerdicts_.value()->refuses(fingerprint) && !answered_.has(now, fingerprint);
}

void ServiceShard::watchForEnd(TimePoint now, const Attempt &attempt, const AttemptEnded &event, ServiceActions &actions)
{
    // Services whose probe budget is shared by leases have no budget for these probes.
    if (!probesFirst() || std::holds_alternative<NeverLeft>(event.outcome)) {
        return;
    }
    const RequestContent &fingerprint = requests_.at(event.request).arrival.content;
    if (const auto *answer = std::get_if<AnsweredWhole>(&event.outcome)) {
        // An answer of a later server at the same address is no sign of life; otherwise it would withdraw the crash that was just detected.
        noteLifeSign(now, attempt.backend, answer->isByAnother ? LifeSign::TurnedAway : LifeSign::Answered, actions);
        const bool isGood = !answer->isNotRun && !answer->isMisleading && answer->status < HttpStatus::ServerError;
        if (isGood) {
            noteAnswered(now, fingerprint, actions);
        }
        return;
    }
    requests_.at(event.request).lostAt.push_back(attempt.backend);
    const ServerEndWatch::Standing standing = standingOf(attempt.backend);
    // A server that is no longer listed and slow has not necessarily crashed.
    const bool isTimeout = std::get<LostAnswer>(event.outcome).isTimeout;
    const bool isInconclusive = standing == ServerEndWatch::Standing::Unlisted && isTimeout;
    if (isInconclusive || answered_.has(now, fingerprint)) {
        return;
    }
    const ServerEndWatch::Found found = endWatch_.lost(now, attempt.backend, fingerprint, standing);
    // A crashing server closes its connections; one that is slow or cut off does not.
    if (found.isSuspected && !isTimeout) {
        actions.emplace_back(TellServerSuspected{attempt.backend, fingerprint});
    }
    tellFound(attempt.backend, found, actions);
    probeWatched(now, actions);
}

ServerEndWatch::Standing ServiceShard::standingOf(const std::string &backend) const
{
    using Standing = ServerEndWatch::Standing;
    const Backend *server = pool_.find(backend);
    return !server ? Standing::Unlisted : server->isLeaving ? Standing::Leaving : Standing::Serving;
}

void ServiceShard::noteAnswered(TimePoint now, const RequestContent &fingerprint, ServiceActions &actions)
{
    answered_.add(now, fingerprint);
    if (crashVerdicts_.value()->isSuspect(fingerprint)) {
        actions.emplace_back(TellSuspectAnswered{fingerprint});
    }
}

void ServiceShard::noteLifeSign(TimePoint now, const std::string &backend, LifeSign sign, ServiceActions &actions)
{
    tellFound(backend, endWatch_.seen(now, backend, sign), actions);
}

void ServiceShard::tellFound(const std::string &backend, const ServerEndWatch::Found &found, ServiceActions &actions)
{
    if (!found.endedUnder.empty()) {
        actions.emplace_back(TellServerEnded{backend, found.endedUnder});
    }
    if (found.isHeardAgain || found.isCleared) {
        actions.emplace_back(TellServerHeardAgain{backend, found.isHeardAgain});
    }
}

void ServiceShard::watchEntries(TimePoint now, ServiceActions &actions)
{
    std::vector<std::string> present;
    for (const BackendServer &server : service_.backendServers) {
        present.push_back(server.name);
    }
    endWatch_.configured(now, present, [&](const std::string &backend, const ServerEndWatch::Found &found) { tellFound(backend, found, actions); });
}

void ServiceShard::probeWatched(TimePoint now, ServiceActions &actions)
{
    for (const std::string &name : endWatch_.due(now)) {
        const Backend *backend = pool_.find(name);
        if (!backend) {
            continue;
        }
        // These probes use the probe budget like all others.
        if (!chooser_.takeProbe(now)) {
            endWatch_.notProbed(name, now);
            continue;
        }
        actions.emplace_back(StartProbe{0, name, backend->server.address, service_.choiceProbes.path, std::nullopt, true});
    }
}

void ServiceShard::refuseWaitingSuspects(TimePoint now, ServiceActions &actions)
{
    for (auto entry = requests_.begin(); entry != requests_.end();) {
        const Request &request = entry->second;
        const bool isWaiting = request.running.empty() && (request.choice || std::find(waiting_.begin(), waiting_.end(), entry->first) != waiting_.end());
        if (!isWaiting || !isRefusedForEnds(now, request.arrival.content)) {
            ++entry;
            continue;
        }
        refuse(request, crashProblem(request.arrival.content, request.mayHaveRun ? Fate::Unknown : Fate::NotRun), actions);
        std::erase(waiting_, entry->first);
        entry = requests_.erase(entry);
    }
}

bool ServiceShard::mayEndTooMany(TimePoint now, const Request &request) const
{
    const RequestContent &fingerprint = request.arrival.content;
    if (isRefusedForEnds(now, fingerprint)) {
        return true;
    }
    if (!crashVerdicts_.value()->isSuspect(fingerprint) || answered_.has(now, fingerprint)) {
        return false;
    }
    // A crash is detected after a quarter of a second and reported some time later, but a retry is sent at once. So lost answers and attempts in flight
    // count as crashes here.
    std::set<std::string> servers = crashVerdicts_.value()->serversUnder(fingerprint);
    servers.insert(request.lostAt.begin(), request.lostAt.end());
    for (const Attempt &attempt : request.running) {
        servers.insert(attempt.backend);
    }
    return servers.size() >= CrashVerdicts::EndsBorne;
}

Problem ServiceShard::crashProblem(const RequestContent &fingerprint, Fate fate) const
{
    const Duration retryAfter = crashVerdicts_.value()->refusesForNow(fingerprint) ? ComeBackAfterSuspicion : ComeBackAfterCrashes;
    return {HttpStatus::Unavailable, fate, "admit", name_, "too many servers have ended under this request", retryAfter};
}

} // namespace Cloverbarrow
