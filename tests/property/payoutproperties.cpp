/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/payouts/payoutrecord.h"
#include "core/requests/serviceshard.h"
#include "fakestore.h"
#include "generate.h"
#include "sampleservice.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <memory>
#include <set>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr int EntryVms = 3;
constexpr int Keys = 2;
constexpr int Steps = 160;
constexpr Duration StepTime = milliseconds(120);

/// A store call or an attempt that has not been performed yet. That of a suspended entry VM waits here.
struct Pending {
    int entryVm = 0;
    int process = 0;
    ServiceAction action;
};

/// Simulates several entry VMs that handle the same few payouts while calls are lost, delayed and reordered, and entry VMs are killed at any step. An entry
/// VM whose pending actions are not drawn for a long time is in effect suspended.
class PayoutModel
{
public:
    PayoutModel()
    {
        for (int number = 0; number < EntryVms; ++number) {
            restart(number);
        }
    }

    void step()
    {
        now_ += StepTime * pick(0, 4);
        switch (*rc::gen::weightedElement<int>({{3, 0}, {10, 1}, {1, 2}, {2, 3}})) {
        case 0:
            arrive(pick(0, EntryVms), pick(0, Keys), *rc::gen::weightedElement<bool>({{9, false}, {1, true}}));
            break;
        case 1:
            if (!pending_.empty()) {
                perform(pick<std::size_t>(0, pending_.size()));
            }
            break;
        case 2:
            restart(pick(0, EntryVms));
            break;
        default:
            handle(pick(0, EntryVms), Tick{});
        }
    }

    /// Lets all payouts finish, with a platform that works.
    void settle()
    {
        isFaultFree_ = true;
        for (int round = 0; round < 400; ++round) {
            now_ += StepTime;
            while (!pending_.empty()) {
                perform(0);
            }
            for (int number = 0; number < EntryVms; ++number) {
                handle(number, Tick{});
            }
        }
    }

    void check() const
    {
        for (const auto &[key, executions] : executionsOfKey_) {
            RC_ASSERT(executions <= 1);
        }
        for (const RequestId request : notExecutedRequests_) {
            RC_ASSERT(!executedRequests_.contains(request));
        }
    }

    /// Checks that every payout that was executed has a record, that the record does not say that it was refused, and that no payout is still open.
    void checkNothingLost() const
    {
        for (const auto &[key, executions] : executionsOfKey_) {
            const auto found = store_.objects().find(payoutObject("liquidacion", key));
            RC_ASSERT(found != store_.objects().end());
            const auto record = decodePayout(found->second.value);
            RC_ASSERT(record.has_value());
            RC_ASSERT(executions == 0 || record->state != PayoutState::Refused);
        }
        for (const auto &shard : shards_) {
            RC_ASSERT(shard->openPayouts() == 0U);
        }
    }

private:
    void restart(int number)
    {
        const auto index = static_cast<std::size_t>(number);
        shards_.resize(EntryVms);
        processes_.resize(EntryVms);
        const std::string nonce = std::to_string(++processes_[index]);
        shards_[index] =
            std::make_unique<ServiceShard>(Incarnation{"entry-" + std::to_string(number), nonce}, Location{"bog-a", {}}, "liquidacion", LeastInFlightPick{}, 1);
        handle(number, ServiceConfigured{1, sampleService()});
        // What the killed process has sent may still arrive, so its store calls and attempts stay pending.
    }

    void arrive(int number, int keyNumber, bool hasOtherBody)
    {
        RequestArrived event;
        event.request = ++lastRequest_;
        event.kind = PayoutKind;
        event.kindClass = KindClass::Payout;
        event.deadline = now_ + seconds(2);
        event.idempotencyKey = "key-" + std::to_string(keyNumber);
        event.digest = hasOtherBody ? "other" : "same";
        keyOf_[event.request] = event.idempotencyKey;
        handle(number, event);
    }

    void handle(int number, const ServiceEvent &event)
    {
        const auto index = static_cast<std::size_t>(number);
        ServiceActions actions;
        shards_[index]->handle(now_, event, actions);
        for (ServiceAction &action : actions) {
            if (const auto *refusal = std::get_if<Refuse>(&action)) {
                if (refusal->problem.executionStatus == ExecutionStatus::NotExecuted) {
                    notExecutedRequests_.insert(refusal->request);
                }
            } else if (std::holds_alternative<StartAttempt>(action) || std::holds_alternative<CallPayoutStore>(action)) {
                pending_.push_back({number, processes_[index], std::move(action)});
            }
        }
    }

    void perform(std::size_t position)
    {
        const Pending pending = std::move(pending_[position]);
        pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(position));
        if (const auto *storeCall = std::get_if<CallPayoutStore>(&pending.action)) {
            callStore(pending, *storeCall);
        } else {
            attempt(pending, std::get<StartAttempt>(pending.action));
        }
    }

    void callStore(const Pending &pending, const CallPayoutStore &storeCall)
    {
        const StoreCallOutcome outcome = isFaultFree_
            ? StoreCallOutcome::Normal
            : *rc::gen::weightedElement<StoreCallOutcome>(
                {{6, StoreCallOutcome::Normal}, {1, StoreCallOutcome::Unavailable}, {2, StoreCallOutcome::AnswerLost}, {1, StoreCallOutcome::RequestLost}});
        const StoreResult result = store_.call(storeCall.call, outcome);
        reply(pending, PayoutStoreAnswered{storeCall.request, result});
        // A write that is considered lost may take effect later.
        if (outcome == StoreCallOutcome::RequestLost && std::holds_alternative<StoreWrite>(storeCall.call.operation) && *rc::gen::arbitrary<bool>()) {
            lateWrites_.push_back(storeCall.call);
        }
        if (!lateWrites_.empty() && (isFaultFree_ || pick(0, 3) == 0)) {
            store_.call(lateWrites_.front());
            lateWrites_.pop_front();
        }
    }

    void attempt(const Pending &pending, const StartAttempt &start)
    {
        const int outcome = isFaultFree_ ? 0 : *rc::gen::weightedElement<int>({{4, 0}, {2, 1}, {2, 2}, {1, 3}, {1, 4}});
        AttemptEnded ended{start.request, start.attempt, NotSent{"refused"}, std::nullopt};
        const bool isExecuted = outcome == 0 || outcome == 2;
        if (isExecuted) {
            ++executionsOfKey_[keyOf_[start.request]];
            executedRequests_.insert(start.request);
        }
        if (outcome == 0) {
            ended.outcome = CompleteAnswer{200, false, false, false, "text/plain", "paid", true};
        } else if (outcome == 2 || outcome == 4) {
            ended.outcome = LostAnswer{"cut", false};
        } else if (outcome == 3) {
            ended.outcome = CompleteAnswer{503, true, false, false, {}, {}, true};
        }
        reply(pending, ended);
    }

    void reply(const Pending &pending, const ServiceEvent &event)
    {
        if (processes_[static_cast<std::size_t>(pending.entryVm)] == pending.process) {
            handle(pending.entryVm, event);
        }
    }

    TimePoint now_ = TimePoint(seconds(100));
    bool isFaultFree_ = false;
    FakeStore store_;
    std::deque<StoreCall> lateWrites_;
    std::vector<std::unique_ptr<ServiceShard>> shards_;
    std::vector<int> processes_;
    std::vector<Pending> pending_;
    RequestId lastRequest_ = 0;
    std::map<RequestId, std::string> keyOf_;
    std::map<std::string, int> executionsOfKey_;
    std::set<RequestId> executedRequests_;
    std::set<RequestId> notExecutedRequests_;
};

} // namespace

TEST_CASE("A payout is executed at most once, and a payout answered with not-run was not executed", "[payout][property]")
{
    CHECK(rc::check("with lost, late and refused calls, killed and suspended entry VMs, and repeated requests", [] {
        PayoutModel model;
        for (int step = 0; step < Steps; ++step) {
            model.step();
            model.check();
        }
        model.settle();
        model.check();
        model.checkNothingLost();
    }));
}
