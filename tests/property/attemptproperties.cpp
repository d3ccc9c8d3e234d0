/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/serviceshard.h"
#include "generate.h"
#include "sampleservice.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr int Steps = 250;
constexpr int MaxHedgePercent = 30;

/// Simulates the reads and writes of one entry VM. Attempts end in all possible ways, the configuration and the set of servers change, and callers disconnect.
class AttemptModel
{
public:
    AttemptModel()
        : shard_({"entry-1", "n"}, {"bog-a", {}}, "liquidacion", LoadReportPick{}, 7)
        , hedgePercent_(*rc::gen::element(0, MaxHedgePercent))
    {
        configure();
    }

    void step()
    {
        now_ += microseconds(pick(0, 400'000));
        switch (*rc::gen::weightedElement<int>({{6, 0}, {8, 1}, {1, 2}, {1, 3}, {2, 4}, {1, 5}})) {
        case 0:
            arrive();
            break;
        case 1:
            endRandomAttempt();
            break;
        case 2:
            configure();
            break;
        case 3:
            changeLeavingServers();
            break;
        case 4:
            handle(Tick{});
            break;
        default:
            if (lastRequest_ > 0) {
                handle(CallerGone{1 + pick<RequestId>(0, lastRequest_)});
            }
        }
    }

    /// Ends all attempts and lets all deadlines pass. @return the number of requests without a final answer.
    std::size_t finish()
    {
        while (!running_.empty()) {
            endAttempt(running_.begin(), 0);
        }
        now_ += seconds(10);
        handle(Tick{});
        while (!running_.empty()) {
            endAttempt(running_.begin(), 0);
        }
        return shard_.openRequests();
    }

    /// Checks that extra attempts stay within the retry and the hedge budget: each allows a fraction of the requests plus a few tokens at the start.
    void checkExtraAttempts() const
    {
        constexpr int StartTokens = 3;
        const int requests = static_cast<int>(lastRequest_);
        const int maxRetries = StartTokens + requests / 10 + 1;
        const int maxHedges = hedgePercent_ == 0 ? 0 : StartTokens + requests * hedgePercent_ / 100 + 1;
        RC_ASSERT(extraAttempts_ <= maxRetries + maxHedges);
    }

private:
    using Running = std::map<std::pair<RequestId, int>, StartAttempt>;

    void configure()
    {
        service_ = sampleService();
        service_.retry.maxAttempts = pick(1, 5);
        service_.retry.hedgePercent = hedgePercent_;
        service_.limits.connectionsPerServer = pick(1, 6);
        // The servers of a zone that is no longer allowed are removed together with it.
        if (*rc::gen::arbitrary<bool>()) {
            service_.allowedZones = {"bog-a"};
            std::erase_if(service_.backendServers, [](const BackendServer &server) { return server.zone != "bog-a"; });
        }
        handle(ServiceConfigured{++version_, service_});
    }

    void changeLeavingServers()
    {
        leaving_.clear();
        for (const BackendServer &server : service_.backendServers) {
            if (pick(0, 3) == 0) {
                leaving_.push_back(server.name);
            }
        }
        handle(LeavingServersChanged{leaving_, ++leavingVersion_});
    }

    void arrive()
    {
        RequestArrived event;
        event.request = ++lastRequest_;
        event.kind = *rc::gen::element(ReadKind, WriteKind);
        event.kindClass = event.kind == ReadKind ? KindClass::Read : KindClass::Write;
        event.deadline = now_ + seconds(2);
        event.isPartOfRetry = pick(0, 4) == 0;
        arrived_[event.request] = event;
        handle(event);
    }

    void endRandomAttempt()
    {
        if (!running_.empty()) {
            auto position = running_.begin();
            std::advance(position, pick<std::size_t>(0, running_.size()));
            endAttempt(position, pick(0, 5));
        }
    }

    void endAttempt(Running::iterator position, int outcome)
    {
        const StartAttempt start = position->second;
        running_.erase(position);
        AttemptEnded ended{start.request, start.attempt, CompleteAnswer{}, std::nullopt};
        if (outcome == 1) {
            ended.outcome = NotSent{"refused"};
        } else if (outcome == 2) {
            ended.outcome = LostAnswer{"cut", false};
        } else if (outcome == 3) {
            ended.outcome = CompleteAnswer{503, true, false, false, {}, {}, true};
        } else if (outcome == 4) {
            ended.outcome = CompleteAnswer{503, false, false, false, {}, {}, true};
        }
        if (outcome == 0 || outcome == 2 || outcome == 4) {
            ++executions_[start.request];
        }
        handle(ended);
    }

    void handle(const ServiceEvent &event)
    {
        ServiceActions actions;
        shard_.handle(now_, event, actions);
        for (const ServiceAction &action : actions) {
            std::visit([this](const auto &typed) { check(typed); }, action);
        }
    }

    void check(const StartAttempt &start)
    {
        // At the time of sending the zone is allowed, the server is not leaving and the deadline has not passed.
        const auto &servers = service_.backendServers;
        RC_ASSERT(std::any_of(
            servers.begin(), servers.end(), [&start](const BackendServer &server) { return server.name == start.backend && server.address == start.address; }));
        RC_ASSERT(std::find(leaving_.begin(), leaving_.end(), start.backend) == leaving_.end());
        RC_ASSERT(now_ < start.deadline);
        RC_ASSERT(!answeredRequests_.contains(start.request));
        const RequestArrived &arrived = arrived_[start.request];
        if (arrived.kindClass != KindClass::Read || arrived.isPartOfRetry) {
            RC_ASSERT(executions_[start.request] == 0);
        }
        extraAttempts_ += start.attempt > 1 ? 1 : 0;
        running_[{start.request, start.attempt}] = start;
    }

    void check(const Refuse &refusal)
    {
        RC_ASSERT(answeredRequests_.insert(refusal.request).second);
        if (refusal.problem.executionStatus == ExecutionStatus::NotExecuted) {
            RC_ASSERT(executions_[refusal.request] == 0);
        }
    }

    void check(const ReturnAnswer &pass)
    {
        RC_ASSERT(answeredRequests_.insert(pass.request).second);
    }

    void check(const CancelAttempt &cancel)
    {
        // The server may have executed a cancelled attempt.
        ++executions_[cancel.request];
        running_.erase({cancel.request, cancel.attempt});
    }

    void check(const DropRequest &drop)
    {
        RC_ASSERT(answeredRequests_.insert(drop.request).second);
    }

    template<typename Other>
    void check(const Other &)
    {
    }

    TimePoint now_ = TimePoint(seconds(100));
    ServiceShard shard_;
    Service service_;
    std::int64_t version_ = 0;
    std::vector<std::string> leaving_;
    std::uint64_t leavingVersion_ = 0;
    RequestId lastRequest_ = 0;
    std::map<RequestId, RequestArrived> arrived_;
    Running running_;
    std::map<RequestId, int> executions_;
    std::set<RequestId> answeredRequests_;
    int hedgePercent_ = 0;
    int extraAttempts_ = 0;
};

} // namespace

TEST_CASE("Attempts obey the service's rules however they end", "[attempts][property]")
{
    CHECK(rc::check("only allowed zones, true not-run answers, one answer each, no repeated writes, limited retries", [] {
        AttemptModel model;
        for (int step = 0; step < Steps; ++step) {
            model.step();
        }
        RC_ASSERT(model.finish() == 0U);
        model.checkExtraAttempts();
    }));
}
