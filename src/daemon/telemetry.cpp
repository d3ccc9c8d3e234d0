/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/telemetry.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

std::string nameOf(CallerOutcome outcome)
{
    switch (outcome) {
    case CallerOutcome::Answered:
        return "answered";
    case CallerOutcome::ServerError:
        return "server_error";
    case CallerOutcome::NotExecuted:
        return "not_run";
    case CallerOutcome::Unknown:
        break;
    }
    return "unknown";
}

std::string nameOf(RefusalCause cause)
{
    switch (cause) {
    case RefusalCause::Capacity:
        return "capacity";
    case RefusalCause::Late:
        return "late";
    case RefusalCause::QuotaUse:
        return "quota_use";
    case RefusalCause::NoTime:
        return "no_time";
    case RefusalCause::Other:
        break;
    }
    return "other";
}

const prometheus::Histogram::BucketBoundaries &latencyBuckets()
{
    static const prometheus::Histogram::BucketBoundaries seconds = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};
    return seconds;
}

std::string nameOf(UnansweredEnd end)
{
    switch (end) {
    case UnansweredEnd::Timeout:
        return "timeout";
    case UnansweredEnd::Closed:
        return "closed";
    case UnansweredEnd::Cancelled:
        break;
    }
    return "cancelled";
}

std::string nameOf(SlowServerHintChange change)
{
    switch (change) {
    case SlowServerHintChange::Observed:
        return "observed";
    case SlowServerHintChange::Received:
        return "received";
    case SlowServerHintChange::Overridden:
        break;
    }
    return "overridden";
}

} // namespace

struct Telemetry::Families {
    explicit Families(prometheus::Registry &registry)
        : latency(prometheus::BuildHistogram().Name("cloverbarrow_request_seconds").Help("Time from a caller's whole request to its answer").Register(registry))
        , attempts(prometheus::BuildCounter().Name("cloverbarrow_attempts_total").Help("Attempts sent to backend servers").Register(registry))
        , forwards(prometheus::BuildCounter().Name("cloverbarrow_forwards_total").Help("Requests forwarded to other entry VMs").Register(registry))
        , unanswered(prometheus::BuildCounter()
                         .Name("cloverbarrow_unanswered_requests_total")
                         .Help("Requests sent to backend servers that never got a response")
                         .Register(registry))
        , dropped(prometheus::BuildCounter()
                      .Name("cloverbarrow_dropped_requests_total")
                      .Help("Requests that backend servers dropped, by their load reports")
                      .Register(registry))
        , probes(prometheus::BuildCounter().Name("cloverbarrow_probes_total").Help("Measurements sent to backend servers").Register(registry))
        , limits(prometheus::BuildCounter()
                     .Name("cloverbarrow_server_limit_changes_total")
                     .Help("Changes of request limits that backend servers name")
                     .Register(registry))
        , limited(prometheus::BuildGauge().Name("cloverbarrow_limited_servers").Help("Backend servers that name a request limit").Register(registry))
        , backoffs(
              prometheus::BuildCounter().Name("cloverbarrow_server_backoffs_total").Help("Backoffs that backend servers have requested").Register(registry))
        , scarcityRefusals(
              prometheus::BuildCounter().Name("cloverbarrow_scarcity_refusals_total").Help("Requests refused because capacity is scarce").Register(registry))
        , startup(prometheus::BuildCounter()
                      .Name("cloverbarrow_startup_requests_total")
                      .Help("Requests that arrived before this entry VM served requests: held, and what became of them")
                      .Register(registry))
        , afterStall(prometheus::BuildCounter()
                         .Name("cloverbarrow_stall_requests_total")
                         .Help("Requests that arrived before the directory was confirmed after a stall: held, and what became of them")
                         .Register(registry))
        , stalls(
              prometheus::BuildCounter().Name("cloverbarrow_stalls_total").Help("Times at which this process had not run for 0.5 s or more").Register(registry))
        , stalledSeconds(prometheus::BuildCounter().Name("cloverbarrow_stalled_seconds_total").Help("Length of all stalls").Register(registry))
        , slowServerHints(prometheus::BuildCounter()
                              .Name("cloverbarrow_slow_server_hints_total")
                              .Help("Hints that backend servers are slow, observed here, received or overridden")
                              .Register(registry))
        , slowServers(
              prometheus::BuildGauge().Name("cloverbarrow_slow_servers").Help("Backend servers named as slow, after the last change").Register(registry))
        , slowServerAttempts(prometheus::BuildCounter()
                                 .Name("cloverbarrow_slow_server_attempts_total")
                                 .Help("Attempts sent to backend servers that were named as slow")
                                 .Register(registry))
        , connectionRequests(prometheus::BuildGauge()
                                 .Name("cloverbarrow_connection_requests")
                                 .Help("Requests that were read, and what became of them; dropped_input counts bytes that were read after a connection's end")
                                 .Register(registry))
        , connectionEnds(prometheus::BuildGauge().Name("cloverbarrow_connection_ends").Help("Connections that ended, by reason").Register(registry))
        , state(prometheus::BuildGauge().Name("cloverbarrow_state").Help("State of this entry VM").Register(registry))
    {
    }

    prometheus::Family<prometheus::Histogram> &latency;
    prometheus::Family<prometheus::Counter> &attempts;
    prometheus::Family<prometheus::Counter> &forwards;
    prometheus::Family<prometheus::Counter> &unanswered;
    prometheus::Family<prometheus::Counter> &dropped;
    prometheus::Family<prometheus::Counter> &probes;
    prometheus::Family<prometheus::Counter> &limits;
    prometheus::Family<prometheus::Gauge> &limited;
    prometheus::Family<prometheus::Counter> &backoffs;
    prometheus::Family<prometheus::Counter> &scarcityRefusals;
    prometheus::Family<prometheus::Counter> &startup;
    prometheus::Family<prometheus::Counter> &afterStall;
    prometheus::Family<prometheus::Counter> &stalls;
    prometheus::Family<prometheus::Counter> &stalledSeconds;
    prometheus::Family<prometheus::Counter> &slowServerHints;
    prometheus::Family<prometheus::Gauge> &slowServers;
    prometheus::Family<prometheus::Counter> &slowServerAttempts;
    prometheus::Family<prometheus::Gauge> &connectionRequests;
    prometheus::Family<prometheus::Gauge> &connectionEnds;
    prometheus::Family<prometheus::Gauge> &state;
};

Telemetry::Telemetry()
    : registry_(std::make_shared<prometheus::Registry>())
    , families_(std::make_unique<Families>(*registry_))
{
}

Telemetry::~Telemetry() = default;

void Telemetry::requestFinished(TimePoint now, const Service &service, const RequestKind &kind, CallerOutcome outcome, Duration latency)
{
    families_->latency.Add({{"service", service.name}, {"kind", kind.name}, {"outcome", nameOf(outcome)}}, latencyBuckets())
        .Observe(std::chrono::duration<double>(latency).count());
    const auto &objectives = service.objectives;
    const auto objective = std::find_if(objectives.begin(), objectives.end(), [&kind](const Objective &item) { return item.kind == kind.name; });
    if (objective == objectives.end()) {
        return;
    }
    const std::lock_guard lock(burnMutex_);
    burnCounters_[{service.name, kind.name}].add(now, outcome == CallerOutcome::Answered, latency > objective->latency);
}

void Telemetry::attemptStarted(const std::string &service, bool isRetry)
{
    families_->attempts.Add({{"service", service}, {"retry", isRetry ? "yes" : "no"}}).Increment();
}

void Telemetry::requestForwarded(const std::string &service)
{
    families_->forwards.Add({{"service", service}}).Increment();
}

void Telemetry::requestUnanswered(const std::string &service, UnansweredEnd end)
{
    families_->unanswered.Add({{"service", service}, {"end", nameOf(end)}}).Increment();
}

void Telemetry::requestDropped(const std::string &service)
{
    families_->dropped.Add({{"service", service}}).Increment();
}

void Telemetry::probeStarted(const std::string &service)
{
    families_->probes.Add({{"service", service}}).Increment();
}

void Telemetry::startupRequest(const char *outcome)
{
    families_->startup.Add({{"outcome", outcome}}).Increment();
}

void Telemetry::requestAfterStall(const char *outcome)
{
    families_->afterStall.Add({{"outcome", outcome}}).Increment();
}

void Telemetry::stalled(Duration duration)
{
    families_->stalls.Add({}).Increment();
    families_->stalledSeconds.Add({}).Increment(std::chrono::duration<double>(duration).count());
}

void Telemetry::limitChanged(const std::string &service, const std::string &server, const std::optional<double> &perSecond)
{
    families_->limits.Add({{"service", service}, {"change", perSecond ? "named" : "ended"}}).Increment();
    const std::lock_guard lock(limitMutex_);
    auto &servers = limitedServers_[service];
    if (perSecond) {
        servers.insert(server);
    } else {
        servers.erase(server);
    }
    families_->limited.Add({{"service", service}}).Set(static_cast<double>(servers.size()));
}

void Telemetry::limitUnreadable(const std::string &service)
{
    families_->limits.Add({{"service", service}, {"change", "unreadable"}}).Increment();
}

void Telemetry::backoffStarted(const std::string &service)
{
    families_->backoffs.Add({{"service", service}, {"request", "valid"}}).Increment();
}

void Telemetry::backoffUnreadable(const std::string &service)
{
    families_->backoffs.Add({{"service", service}, {"request", "unreadable"}}).Increment();
}

void Telemetry::scarcityRefusal(const std::string &service, RefusalCause cause)
{
    families_->scarcityRefusals.Add({{"service", service}, {"cause", nameOf(cause)}}).Increment();
}

void Telemetry::slowServerHint(const std::string &service, SlowServerHintChange change, std::size_t hints)
{
    families_->slowServerHints.Add({{"service", service}, {"change", nameOf(change)}}).Increment();
    families_->slowServers.Add({{"service", service}}).Set(static_cast<double>(hints));
}

void Telemetry::slowServerHintsExpired(const std::string &service, std::size_t expired, std::size_t hints)
{
    families_->slowServerHints.Add({{"service", service}, {"change", "expired"}}).Increment(static_cast<double>(expired));
    families_->slowServers.Add({{"service", service}}).Set(static_cast<double>(hints));
}

void Telemetry::attemptAtSlowServer(const std::string &service)
{
    families_->slowServerAttempts.Add({{"service", service}}).Increment();
}

void Telemetry::setGauges(const NodeGauges &gauges)
{
    const auto set = [this](const char *name, double value) { families_->state.Add({{"of", name}}).Set(value); };
    set("live_entry_vms", static_cast<double>(gauges.liveEntryVms));
    set("cleared_suspicions", static_cast<double>(gauges.clearedSuspicions));
    set("configuration_version", static_cast<double>(gauges.configurationVersion));
    set("ready", gauges.isReady ? 1 : 0);
    set("platform_calls", static_cast<double>(gauges.platformCalls));
    set("crash_updates_received", static_cast<double>(gauges.crashUpdates.received));
    set("crash_update_forwards", static_cast<double>(gauges.crashUpdates.forwards));
    set("crash_messages_admitted", static_cast<double>(gauges.crashMessages.admitted));
    set("crash_messages_refused", static_cast<double>(gauges.crashMessages.refused));
    set("blocklist_rebuilds", static_cast<double>(gauges.crashUpdates.blocklistRebuilds));
    set("held_at_start", static_cast<double>(gauges.heldAtStart));
    set("quota_granted", static_cast<double>(gauges.quotas.granter.granted));
    set("quota_refused", static_cast<double>(gauges.quotas.granter.refused));
    set("quota_refused_unconfirmed", static_cast<double>(gauges.quotas.granter.refusedUnconfirmed));
    set("quota_admitted_without_grant", static_cast<double>(gauges.quotas.admittedWithoutGrant));
    set("slow_server_reports_sent", static_cast<double>(gauges.slowServers.sent));
    set("slow_server_reports_received", static_cast<double>(gauges.slowServers.received));
    set("slow_server_messages_rejected", static_cast<double>(gauges.slowServers.rejected));
    set("message_bytes_max", static_cast<double>(gauges.memory.maxBytes));
    set("message_bytes", static_cast<double>(gauges.memory.usedBytes));
    set("message_bytes_peak", static_cast<double>(gauges.memory.peakBytes));
    set("memory_refusals", static_cast<double>(gauges.memory.refusedRequests));
    set("memory_lost_answers", static_cast<double>(gauges.memory.refusedAnswers));
    setConnectionGauges("caller", gauges.callers);
    setConnectionGauges("peer", gauges.peers);
}

void Telemetry::setConnectionGauges(const std::string &side, const ConnectionCounts &counts)
{
    const auto setRequests = [&](const char *state, std::uint64_t value) {
        families_->connectionRequests.Add({{"side", side}, {"state", state}}).Set(static_cast<double>(value));
    };
    setRequests("read", counts.read);
    setRequests("answered", counts.answered);
    setRequests("left_by_caller", counts.leftByCaller);
    setRequests("unanswered", counts.unanswered);
    setRequests("in_flight", counts.inFlight);
    setRequests("dropped_input", counts.droppedInputs);
    for (std::size_t end = 0; end < ConnectionEndCount; ++end) {
        const std::string reason(nameOf(static_cast<ConnectionEnd>(end)));
        families_->connectionEnds.Add({{"side", side}, {"reason", reason}}).Set(static_cast<double>(counts.ends.at(end)));
    }
}

std::vector<Telemetry::Burn> Telemetry::burn(TimePoint now) const
{
    const std::lock_guard lock(burnMutex_);
    std::vector<Burn> all;
    for (const auto &[key, counter] : burnCounters_) {
        for (const Duration window : BurnWindows) {
            all.push_back({key.first, key.second, window, counter.counts(now, window)});
        }
    }
    return all;
}

std::string Telemetry::exposition() const
{
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace Cloverbarrow
