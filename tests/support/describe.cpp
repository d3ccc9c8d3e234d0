/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "describe.h"

#include <type_traits>

namespace Cloverbarrow::Tests
{

namespace
{

std::string text(const Problem &problem)
{
    std::string line = std::to_string(problem.status) + (problem.executionStatus == ExecutionStatus::NotExecuted ? " not-run" : " unknown");
    line += " step='" + problem.step + "' peer='" + problem.peer + "' detail='" + problem.detail + "'";
    if (problem.retryAfter) {
        line += " retry after " + std::to_string(problem.retryAfter->count() / 1000) + " ms";
    }
    return line;
}

std::string text(const StoreCall &call)
{
    const std::string object = call.object.kind + "/" + call.object.name;
    if (std::holds_alternative<StoreRead>(call.operation)) {
        return "read " + object;
    }
    if (const auto *write = std::get_if<StoreWrite>(&call.operation)) {
        return "write " + object + " over " + std::to_string(write->expectedVersion) + ": " + write->value;
    }
    return "delete " + object + " over " + std::to_string(std::get<StoreDelete>(call.operation).expectedVersion);
}

std::string request(RequestId id)
{
    return " request " + std::to_string(id);
}

/// Visitor that formats each kind of action as one line.
struct Line {
    std::string operator()(const StartAttempt &action) const
    {
        return "start" + request(action.request) + " attempt " + std::to_string(action.attempt) + " at " + action.backend + " " + action.address
            + (action.mayReuseConnection ? " reuse" : " fresh");
    }
    std::string operator()(const StartForward &action) const
    {
        return "forward " + std::to_string(action.request) + "/" + std::to_string(action.attempt) + " to " + action.peer;
    }
    std::string operator()(const ServerReachabilityChanged &action) const
    {
        return std::string("servers ") + (action.isPartitioned ? "unreachable" : action.rejectsNewConnections ? "reject new connections" : "reachable");
    }
    std::string operator()(const ServerDroppedRequest &action) const
    {
        return "dropped" + request(action.request) + " attempt " + std::to_string(action.attempt) + " at " + action.backend;
    }
    std::string operator()(const SilentServersChanged &action) const
    {
        return std::string("servers ") + (action.isActive ? "drop requests" : "drop no requests");
    }
    std::string operator()(const CancelAttempt &action) const
    {
        return "cancel" + request(action.request) + " attempt " + std::to_string(action.attempt);
    }
    std::string operator()(const DropRequest &action) const
    {
        return "drop" + request(action.request);
    }
    std::string operator()(const ReturnAnswer &action) const
    {
        return "pass" + request(action.request) + " attempt " + std::to_string(action.attempt);
    }
    std::string operator()(const ReplayAnswer &action) const
    {
        return "replay" + request(action.request) + " " + std::to_string(action.status) + " '" + action.body + "'";
    }
    std::string operator()(const Refuse &action) const
    {
        return "refuse" + request(action.request) + " " + text(action.problem);
    }
    std::string operator()(const CallPayoutStore &action) const
    {
        return "payout store" + request(action.request) + " " + text(action.call);
    }
    std::string operator()(const StartProbe &action) const
    {
        return "probe " + action.backend + " with share " + std::to_string(action.share);
    }
    std::string operator()(const ReturnPermit &) const
    {
        return "return permit";
    }
    std::string operator()(const ReportServerLeaving &action) const
    {
        return "tell leaving " + action.backend;
    }
    std::string operator()(const ReportServerCrash &action) const
    {
        return "tell ended " + action.backend + " under " + std::to_string(action.fingerprints.size());
    }
    std::string operator()(const ReportServerSuspected &action) const
    {
        return "tell suspected " + action.backend;
    }
    std::string operator()(const ReportServerRecovered &action) const
    {
        return (action.wasCrashed ? "tell heard again " : "tell cleared ") + action.backend;
    }
    std::string operator()(const ReportSuspectAnswered &action) const
    {
        return "tell answered " + action.fingerprint.digest;
    }
    std::string operator()(const ServerEjected &action) const
    {
        return "eject " + action.backend + " for " + std::to_string(std::chrono::floor<milliseconds>(action.duration).count()) + " ms after " + action.reason;
    }
    std::string operator()(const ServerLimitObserved &action) const
    {
        return "limit of " + action.backend + (action.perSecond ? " is " + std::to_string(*action.perSecond) : " has ended");
    }
    std::string operator()(const ServerLimitUnreadable &action) const
    {
        return "limit of " + action.backend + " cannot be read: " + action.text;
    }
    std::string operator()(const ServerBackoffStarted &action) const
    {
        return "backoff of " + action.backend + " for " + std::to_string(std::chrono::floor<milliseconds>(action.duration).count()) + " ms";
    }
    std::string operator()(const ServerBackoffUnreadable &action) const
    {
        return "backoff of " + action.backend + " cannot be read: " + action.text;
    }
    std::string operator()(const SlowServerObserved &action) const
    {
        return "slow server " + action.report.server + " observed";
    }
    std::string operator()(const SlowServerHintAdded &action) const
    {
        return "slow server hint on " + action.report.server;
    }
    std::string operator()(const SlowServerHintOverridden &action) const
    {
        return "slow server hint on " + action.backend + " overridden";
    }
    std::string operator()(const SlowServerHintsUpdated &action) const
    {
        return "slow server hints: " + std::to_string(action.hints);
    }
    std::string operator()(const VersionOutcomeObserved &action) const
    {
        return std::string("answer of ") + (action.outcome.isTargetVersion ? "the target version" : "another version");
    }
    std::string operator()(const SendHeartbeat &action) const
    {
        const Heartbeat &heartbeat = action.heartbeat;
        std::string line = "heartbeat to " + action.address + " number " + std::to_string(heartbeat.sender.sequenceNumber) + " version "
            + std::to_string(heartbeat.sender.configurationVersion) + (heartbeat.sender.claim == MemberClaim::Leaving ? " leaving" : "");
        for (const Member &member : heartbeat.members) {
            line += " +" + member.id.name;
        }
        for (const LeavingSign &sign : heartbeat.leavingSigns) {
            line += " leaving:" + sign.service + "/" + sign.backend;
        }
        return line;
    }
    std::string operator()(const RequestIndirectContact &action) const
    {
        return "ask " + action.address + " about " + action.subject.name;
    }
    std::string operator()(const CallStore &action) const
    {
        return "store " + text(action.call);
    }
    std::string operator()(const ListVms &) const
    {
        return "list VMs";
    }
    std::string operator()(const InstallIntent &action) const
    {
        return "install version " + std::to_string(action.intent->version);
    }
    std::string operator()(const FetchIntent &action) const
    {
        return "fetch intent from " + action.address;
    }
    std::string operator()(const WatchIntent &action) const
    {
        return "watch intent after " + std::to_string(action.afterVersion) + " for " + std::to_string(action.wait.count() / 1000) + " ms";
    }
    std::string operator()(const ReportInvalidIntent &action) const
    {
        return "bad intent " + std::to_string(action.version) + " from " + action.source;
    }
    std::string operator()(const ProbePermit &action) const
    {
        return "permit probe of " + action.service;
    }
    std::string operator()(const UpdateLeavingServers &) const
    {
        return "leaving updated";
    }
    std::string operator()(const UpdateFleetSize &action) const
    {
        return "fleet of " + std::to_string(action.entryVms);
    }
    std::string operator()(const SetReady &action) const
    {
        return action.isReady ? "ready" : "not ready: " + action.reason;
    }
    std::string operator()(const PublishCrashReport &action) const
    {
        return "tell crashes " + std::to_string(action.report.crashes.size()) + " excused " + std::to_string(action.report.exonerated.size());
    }
    std::string operator()(const BroadcastCrashUpdates &action) const
    {
        return "spread crash news" + std::string(action.broadcast.local ? " own" : "") + " passed on " + std::to_string(action.broadcast.forwarded.size());
    }
    std::string operator()(const SendAllCrashUpdates &action) const
    {
        return "send crash news " + std::to_string(action.updates.size()) + " to " + action.relay;
    }
    std::string operator()(const UpdateBlocklist &) const
    {
        return "crash verdicts";
    }
    std::string operator()(const AnnounceClose &) const
    {
        return "announce close";
    }
    std::string operator()(const ScheduleExit &) const
    {
        return "schedule exit";
    }
    std::string operator()(const StopAccepting &) const
    {
        return "stop accepting";
    }
    std::string operator()(const RefuseUnsent &) const
    {
        return "refuse unsent";
    }
    std::string operator()(const Exit &action) const
    {
        return "exit with " + std::to_string(action.remaining.requests) + " requests and " + std::to_string(action.remaining.payouts) + " payouts left";
    }
};

} // namespace

std::string describe(const NodeAction &action)
{
    if (const auto *service = std::get_if<ActionOfService>(&action)) {
        return service->service + ": " + std::visit(Line{}, service->action);
    }
    return std::visit(Line{}, std::get<ControlAction>(action));
}

} // namespace Cloverbarrow::Tests
