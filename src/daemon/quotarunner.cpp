/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/quotarunner.h"

#include "core/support/httpstatus.h"
#include "net/bootclock.h"
#include "net/quotamessages.h"

#include <utility>

namespace Cloverbarrow
{

namespace
{

// A granter that has not answered by then is replaced by another one; callers wait meanwhile.
constexpr Duration ClaimTimeout = milliseconds(90);
// Messages that are due once a second are delayed by at most this time.
constexpr Duration IdleTickInterval = milliseconds(100);
// A separate range, so that ids do not collide with those of other users of the client.
constexpr HttpCallId FirstCallId = HttpCallId(5) << 60U;

} // namespace

QuotaRunner::QuotaRunner(HttpClient &http, const QuotaTolerance &tolerance, std::uint64_t incarnation, std::function<QuotaPeers()> peers)
    : http_(http)
    , peers_(std::move(peers))
    , log_("quota")
    , nextCall_(FirstCallId)
    , tolerance_(tolerance)
    , granter_(tolerance, incarnation)
{
}

void QuotaRunner::admit(RequestId request, const Workspace &workspace, std::int64_t version, Callback done)
{
    const QuotaPeers peers = peers_();
    {
        const std::lock_guard lock(mutex_);
        if (!gate_) {
            gate_.emplace(peers.localAddress, tolerance_.window);
        }
        callbacks_.emplace(request, std::move(done));
        gate_->admit(bootNow(), request, workspace, version);
    }
    proceed(peers);
}

void QuotaRunner::tick()
{
    const TimePoint now = bootNow();
    bool hasWaiting = false;
    {
        const std::lock_guard lock(mutex_);
        hasWaiting = gate_ && gate_->hasWaiting();
        if (now < nextIdleTick_ && !hasWaiting) {
            return;
        }
        nextIdleTick_ = now + IdleTickInterval;
    }
    const QuotaPeers peers = peers_();
    // Requests may wait that arrived under a configuration with quotas.
    if (!peers.hasQuotas && !hasWaiting) {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        if (!gate_) {
            gate_.emplace(peers.localAddress, tolerance_.window);
        }
        gate_->tick(now, peers.entryVms);
    }
    proceed(peers);
}

std::optional<std::string> QuotaRunner::acceptClaims(std::string_view text)
{
    try {
        const QuotaRequest request = decodeQuotaRequest(text);
        const int entryVms = peers_().entryVms;
        const std::lock_guard lock(mutex_);
        return encodeQuotaAnswer(grant(request, entryVms));
    } catch (const std::exception &exception) {
        log_.warn("claims rejected", {{"reason", exception.what()}});
        return std::nullopt;
    }
}

QuotaCounts QuotaRunner::counts()
{
    const std::lock_guard lock(mutex_);
    return {granter_.counts(), gate_ ? gate_->admittedWithoutGrant() : 0};
}

QuotaAnswer QuotaRunner::grant(const QuotaRequest &request, int entryVms)
{
    QuotaAnswer answer = granter_.onRequest(bootNow(), request, entryVms);
    if (const auto refusal = granter_.takeUnconfirmedRefusal()) {
        const auto &coverage = refusal->coverage;
        const auto milliseconds = [](Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); };
        log_.info("granting from incomplete reports",
                  {{"workspace", refusal->workspace},
                   {"peer", refusal->entryVm},
                   {"granted", std::int64_t(refusal->granted)},
                   {"claimed", std::int64_t(refusal->claimed)},
                   {"heard", std::int64_t(coverage.heard)},
                   {"counted", std::int64_t(coverage.counted)},
                   {"established", std::int64_t(coverage.established)},
                   {"expected", std::int64_t(coverage.expected)},
                   {"oldest_ms", milliseconds(coverage.oldest)},
                   {"learning_ms", milliseconds(refusal->knowledgeAge)}});
    }
    return answer;
}

void QuotaRunner::proceed(const QuotaPeers &peers)
{
    std::vector<QuotaGate::Message> remote;
    std::vector<QuotaDecision> decisions;
    {
        const std::lock_guard lock(mutex_);
        const TimePoint now = bootNow();
        for (QuotaGate::Message &message : gate_->takeDueMessages(now, peers.relays)) {
            if (message.granter == peers.localAddress) {
                gate_->onAnswer(now, message, grant(message.request, peers.entryVms));
            } else {
                remote.push_back(std::move(message));
            }
        }
        decisions = gate_->takeDecisions();
    }
    for (const QuotaGate::Message &message : remote) {
        send(message);
    }
    deliver(decisions);
}

void QuotaRunner::send(const QuotaGate::Message &message)
{
    HttpCall call;
    call.address = message.granter;
    call.request.method = "POST";
    call.request.target = std::string(QuotaTarget);
    call.request.headers = {{"Host", message.granter}, {"Content-Type", "application/json"}};
    call.request.body = encodeQuotaRequest(message.request);
    call.timeout = ClaimTimeout;
    call.mayReuseConnection = true;
    http_.start(nextCall_++, std::move(call), [this, message](const HttpOutcome &outcome) { handleOutcome(message, outcome); });
}

void QuotaRunner::handleOutcome(const QuotaGate::Message &sent, const HttpOutcome &outcome)
{
    std::optional<QuotaAnswer> grants;
    std::string failure;
    if (const auto *answer = std::get_if<HttpAnswer>(&outcome); answer && answer->status == HttpStatus::Ok) {
        try {
            grants = decodeQuotaAnswer(answer->body);
        } catch (const std::exception &exception) {
            failure = exception.what();
        }
    } else {
        failure = answer ? "status " + std::to_string(answer->status) : std::get<HttpFailure>(outcome).reason;
    }
    {
        const std::lock_guard lock(mutex_);
        if (grants) {
            gate_->onAnswer(bootNow(), sent, *grants);
        } else {
            gate_->onFailure(bootNow(), sent);
        }
    }
    if (!grants) {
        log_.info("granter failed", {{"peer", sent.granter}, {"reason", failure}});
    }
    proceed(peers_());
}

void QuotaRunner::deliver(const std::vector<QuotaDecision> &decisions)
{
    for (const QuotaDecision &decision : decisions) {
        Callback done;
        {
            const std::lock_guard lock(mutex_);
            if (auto found = callbacks_.extract(decision.request)) {
                done = std::move(found.mapped());
            }
        }
        if (done) {
            done(decision.verdict);
        }
    }
}

} // namespace Cloverbarrow
