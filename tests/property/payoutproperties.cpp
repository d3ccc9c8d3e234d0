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

/// A call or an attempt that has not ended yet. Whoever is frozen has its work wait here.
struct Pending {
    int entryVm = 0;
    int life = 0;
    ServiceAction action;
};

/// Several entry VMs that handle the same few payouts while calls are lost, delayed and reordered, and entry VMs
/// are killed at any step. Frozen ones are those whose pending work is not picked for long.
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
                carryOut(pick<std::size_t>(0, pending_.size()));
            }
            break;
        case 2:
            restart(pick(0, EntryVms));
            break;
        default:
            handle(pick(0, EntryVms), Tick{});
        }
    }

    /// Lets everything end with a platform that works.
    void settle()
    {
        isCalm_ = true;
        for (int round = 0; round < 400; ++round) {
            now_ += StepTime;
            while (!pending_.empty()) {
                carryOut(0);
            }
            for (int number = 0; number < EntryVms; ++number) {
                handle(number, Tick{});
            }
        }
    }

    void check() const
    {
        for (const auto &[key, runs] : runsOfKey_) {
            RC_ASSERT(runs <= 1);
        }
        for (const RequestId request : toldNotRun_) {
            RC_ASSERT(!runRequests_.contains(request));
        }
    }

    /// Every instruction that was ever accepted for sending is on record, in a state that tells the truth.
    void checkNothingLost() const
    {
        for (const auto &[key, runs] : runsOfKey_) {
            const auto found = store_.objects().find(payoutObject("liquidacion", key));
            RC_ASSERT(found != store_.objects().end());
            const auto record = decodePayout(found->second.value);
            RC_ASSERT(record.has_value());
            RC_ASSERT(runs == 0 || record->state != PayoutState::Refused);
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
        lives_.resize(EntryVms);
        const std::string nonce = std::to_string(++lives_[index]);
        shards_[index] =
            std::make_unique<ServiceShard>(Incarnation{"entry-" + std::to_string(number), nonce}, Location{"bog-a", {}}, "liquidacion", LeastInFlightPick{}, 1);
        handle(number, ServiceConfigured{1, sampleService()});
        // What had left the dead process may still arrive: store calls and attempts stay pending.
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
                    toldNotRun_.insert(refusal->request);
                }
            } else if (std::holds_alternative<StartAttempt>(action) || std::holds_alternative<CallPayoutStore>(action)) {
                pending_.push_back({number, lives_[index], std::move(action)});
            }
        }
    }

    void carryOut(std::size_t position)
    {
        const Pending pending = std::move(pending_[position]);
        pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(position));
        if (const auto *ask = std::get_if<CallPayoutStore>(&pending.action)) {
            callStore(pending, *ask);
        } else {
            attempt(pending, std::get<StartAttempt>(pending.action));
        }
    }

    void callStore(const Pending &pending, const CallPayoutStore &ask)
    {
        const StoreFate fate = isCalm_
            ? StoreFate::Normal
            : *rc::gen::weightedElement<StoreFate>({{6, StoreFate::Normal}, {1, StoreFate::Down}, {2, StoreFate::LostAfter}, {1, StoreFate::LostBefore}});
        const StoreResult result = store_.call(ask.call, fate);
        reply(pending, PayoutStoreAnswered{ask.request, result});
        // A write that was given up as lost may take effect later.
        if (fate == StoreFate::LostBefore && std::holds_alternative<StoreWrite>(ask.call.operation) && *rc::gen::arbitrary<bool>()) {
            late_.push_back(ask.call);
        }
        if (!late_.empty() && (isCalm_ || pick(0, 3) == 0)) {
            store_.call(late_.front());
            late_.pop_front();
        }
    }

    void attempt(const Pending &pending, const StartAttempt &start)
    {
        const int outcome = isCalm_ ? 0 : *rc::gen::weightedElement<int>({{4, 0}, {2, 1}, {2, 2}, {1, 3}, {1, 4}});
        AttemptEnded ended{start.request, start.attempt, NotSent{"refused"}, std::nullopt};
        const bool runs = outcome == 0 || outcome == 2;
        if (runs) {
            ++runsOfKey_[keyOf_[start.request]];
            runRequests_.insert(start.request);
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
        if (lives_[static_cast<std::size_t>(pending.entryVm)] == pending.life) {
            handle(pending.entryVm, event);
        }
    }

    TimePoint now_ = TimePoint(seconds(100));
    bool isCalm_ = false;
    FakeStore store_;
    std::deque<StoreCall> late_;
    std::vector<std::unique_ptr<ServiceShard>> shards_;
    std::vector<int> lives_;
    std::vector<Pending> pending_;
    RequestId lastRequest_ = 0;
    std::map<RequestId, std::string> keyOf_;
    std::map<std::string, int> runsOfKey_;
    std::set<RequestId> runRequests_;
    std::set<RequestId> toldNotRun_;
};

} // namespace

TEST_CASE("A payout runs at most once, and who is told not-run was not run", "[payout][property]")
{
    CHECK(rc::check("under lost, late and refused calls, kills, freezes and repeats", [] {
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
