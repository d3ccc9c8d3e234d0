/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "soakcallers.h"

#include "core/support/random.h"
#include "names.h"
#include "net/bootclock.h"
#include "startcall.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow::Soak
{

namespace
{

// One request in this many is a write, has the short timeout, or is followed by a move to a random entry VM.
constexpr std::size_t RequestsPerWrite = 3;
constexpr std::size_t RequestsPerShortTimeout = 12;
constexpr std::size_t RequestsPerMove = 20;
constexpr std::size_t MaxPoisonPauseMs = 600;
constexpr Duration PoisonTimeout = seconds(3);
constexpr Duration ShortTimeout = milliseconds(20);
constexpr Duration WorkspaceTimeout = seconds(1);
// Far longer than the route's timeout and any pause of a process together: a request without an answer by then never gets one.
constexpr Duration LongTimeout = seconds(25);

} // namespace

void ObservationLog::add(Observation observation)
{
    const std::lock_guard lock(mutex_);
    observations_.push_back(std::move(observation));
}

std::vector<Observation> ObservationLog::all() const
{
    const std::lock_guard lock(mutex_);
    return observations_;
}

HttpOutcome BlockingClient::send(const std::string &address, HttpRequest request, Duration timeout)
{
    HttpCall call;
    call.address = address;
    call.request = std::move(request);
    call.timeout = timeout;
    call.mayReuseConnection = true;
    return Tests::startCall(client_, ++lastCallId_, std::move(call)).get();
}

HttpRequest callerRequest(const std::string &method, const std::string &host, const std::string &target, const std::string &id, const std::string &workspace)
{
    Headers headers = {{"Host", host}, {Platform::RequestIdHeader, id}, {Platform::DeadlineMsHeader, "4000"}};
    if (!workspace.empty()) {
        headers.push_back({Platform::AuthorizationHeader, "Bearer " + workspace});
    }
    return {method, target, std::move(headers), method == "POST" ? "monto=1" : "", true};
}

SoakCallers::SoakCallers(const SoakSite &site, ObservationLog &observations, int count, std::uint64_t seed, std::string workspace)
    : site_(site)
    , observations_(observations)
    , workspace_(std::move(workspace))
{
    for (int number = 0; number < count; ++number) {
        threads_.emplace_back([this, number, seed] { run(number, seed); });
    }
}

SoakCallers::~SoakCallers()
{
    stop();
}

void SoakCallers::stop()
{
    isStopping_ = true;
    for (std::thread &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

void SoakCallers::setMaxPause(std::chrono::milliseconds pause)
{
    maxPauseMs_ = static_cast<std::size_t>(pause.count());
}

void SoakCallers::run(int number, std::uint64_t seed)
{
    Random random(seed + static_cast<std::uint64_t>(number));
    BlockingClient client;
    EntryAddress entry = site_.entryAddress(random.below(site_.entryVms()));
    for (int sent = 0; !isStopping_; ++sent) {
        Observation observed;
        observed.workspace = workspace_;
        observed.id = (workspace_.empty() ? "c" : workspace_ + "-") + std::to_string(number) + "-" + std::to_string(sent);
        observed.isWrite = random.below(RequestsPerWrite) == 0;
        observed.hasShortTimeout = random.below(RequestsPerShortTimeout) == 0;
        observed.process = entry.start;
        const std::string target = (observed.isWrite ? "/pay/" : "/read/") + observed.id;
        HttpRequest request = callerRequest(observed.isWrite ? "POST" : "GET", "a.example", target, observed.id, workspace_);
        Duration timeout = observed.hasShortTimeout ? ShortTimeout : LongTimeout;
        if (!workspace_.empty()) {
            timeout = WorkspaceTimeout;
            observed.hasShortTimeout = true;
        }
        observed.sentAt = bootNow();
        observed.outcome = client.send(entry.callers, std::move(request), timeout);
        observed.endedAt = bootNow();
        const bool hasFailed = std::holds_alternative<HttpFailure>(observed.outcome);
        observations_.add(std::move(observed));
        if (hasFailed || random.below(RequestsPerMove) == 0) {
            entry = site_.entryAddress(random.below(site_.entryVms()));
        }
        std::this_thread::sleep_for(milliseconds(random.below(maxPauseMs_)));
    }
}

PoisonRequestCallers::PoisonRequestCallers(const SoakSite &site, std::uint64_t seed)
    : site_(site)
{
    for (std::size_t poisonRequest = 0; poisonRequest < PoisonRequestCount; ++poisonRequest) {
        threads_.emplace_back([this, poisonRequest, seed] {
            Random random(~seed + poisonRequest);
            BlockingClient client;
            while (!isStopping_) {
                send(site_, client, poisonRequest, random.below(site_.entryVms()));
                std::this_thread::sleep_for(milliseconds(random.below(MaxPoisonPauseMs)));
            }
        });
    }
}

PoisonRequestCallers::~PoisonRequestCallers()
{
    isStopping_ = true;
    for (std::thread &thread : threads_) {
        thread.join();
    }
}

void PoisonRequestCallers::send(const SoakSite &site, BlockingClient &client, std::size_t poisonRequest, std::size_t entryVm)
{
    static std::atomic<int> sent{0};
    const std::string name = "fatal-" + std::to_string(poisonRequest);
    const bool isWrite = poisonRequest % 2 == 1;
    const std::string target = (isWrite ? "/pay/" : "/read/") + name;
    HttpRequest request = callerRequest(isWrite ? "POST" : "GET", "a.example", target, name + "." + std::to_string(++sent));
    client.send(site.entryAddress(entryVm).callers, std::move(request), PoisonTimeout);
}

int PoisonRequestCallers::executionCount(const SoakSite &site, std::size_t poisonRequest)
{
    const std::string prefix = "fatal-" + std::to_string(poisonRequest) + ".";
    const auto all = site.executedRequestIds();
    return static_cast<int>(std::count_if(all.begin(), all.end(), [&prefix](const std::string &id) { return id.starts_with(prefix); }));
}

} // namespace Cloverbarrow::Soak
