/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/intent/intentchange.h"
#include "core/intent/intentmanager.h"
#include "fakestore.h"
#include "generate.h"
#include "sampleservice.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <memory>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

OperatorIntent intentOf(int number)
{
    OperatorIntent intent;
    intent.document = sampleDocument("127.0.0.1:" + std::to_string(9000 + number));
    intent.history.push_back({"change-" + std::to_string(number), "a", "r", 0, "apply", 0});
    return intent;
}

} // namespace

TEST_CASE("The active version never decreases", "[configuration][property]")
{
    CHECK(rc::check("whatever the platform and peers send, in any order, late or damaged", [] {
        IntentManager manager;
        TimePoint now = TimePoint(seconds(1));
        std::int64_t highest = 0;
        std::int64_t newestOffered = 0;
        for (int step = 0; step < 100; ++step) {
            now += milliseconds(pick(0, 9000));
            std::vector<IntentAction> actions;
            const std::int64_t version = pick(1, 30);
            const bool isDamaged = pick(0, 5) == 0;
            const std::string value = isDamaged ? "damaged" : encodeIntent(intentOf(static_cast<int>(version)));
            switch (pick(0, 6)) {
            case 0:
                manager.platformAnswered(now, StoreFound{version, value}, actions);
                newestOffered = isDamaged ? newestOffered : std::max(newestOffered, version);
                break;
            case 1:
                manager.peerIntentReceived(now, "p", version, value, actions);
                newestOffered = isDamaged ? newestOffered : std::max(newestOffered, version);
                break;
            case 2:
                manager.peerVersionReceived(now, "p", version, actions);
                break;
            case 3:
                manager.platformFailed(now);
                break;
            case 4:
                manager.fetchFailed();
                break;
            default:
                manager.tick(now, *rc::gen::arbitrary<bool>(), actions);
            }
            RC_ASSERT(manager.version() >= highest);
            highest = manager.version();
            RC_ASSERT(highest == newestOffered);
        }
    }));
}

TEST_CASE("An operator gets a true result of a change", "[configuration][property]")
{
    CHECK(rc::check("concurrent changes with lost answers: an accepted change is recorded, a conflicting one is not", [] {
        FakeStore store;
        std::map<std::string, ChangeOutcome> outcomes;
        std::int64_t version = 0;
        for (int round = 0; round < 6; ++round) {
            // Two operators change the same version concurrently.
            struct ConcurrentChange {
                std::string id;
                IntentChange change;
                std::optional<StoreCall> call;
            };
            std::vector<ConcurrentChange> concurrentChanges;
            std::vector<StoreCall> lateWrites;
            for (int number = 0; number < 2; ++number) {
                OperatorIntent next = intentOf(number);
                const auto current = store.objects().find(IntentObject);
                if (current != store.objects().end()) {
                    next.history = decodeIntent(1, current->second.value).value()->intent.history;
                }
                const std::string id = std::to_string(round) + "/" + std::to_string(number);
                next.history.push_back({id, "a", "r", 0, "apply", version});
                concurrentChanges.push_back({id, IntentChange(version, next), std::nullopt});
                concurrentChanges.back().call = concurrentChanges.back().change.start();
            }
            while (concurrentChanges[0].call || concurrentChanges[1].call) {
                ConcurrentChange &concurrent = concurrentChanges[pick<std::size_t>(0, 2)];
                if (concurrent.call) {
                    const auto outcome = *rc::gen::weightedElement<StoreCallOutcome>({{5, StoreCallOutcome::Normal},
                                                                                      {1, StoreCallOutcome::Unavailable},
                                                                                      {2, StoreCallOutcome::AnswerLost},
                                                                                      {1, StoreCallOutcome::RequestLost}});
                    // A write that is considered lost may also take effect much later.
                    if (outcome == StoreCallOutcome::RequestLost && std::holds_alternative<StoreWrite>(concurrent.call->operation)) {
                        lateWrites.push_back(*concurrent.call);
                    }
                    concurrent.call = concurrent.change.resultReceived(store.call(*concurrent.call, outcome));
                }
            }
            for (const StoreCall &late : lateWrites) {
                store.call(late);
            }
            for (const ConcurrentChange &concurrent : concurrentChanges) {
                outcomes.emplace(concurrent.id, *concurrent.change.outcome());
            }
            const auto current = store.objects().find(IntentObject);
            version = current == store.objects().end() ? 0 : current->second.version;
        }
        const auto current = store.objects().find(IntentObject);
        std::map<std::string, bool> isRecorded;
        if (current != store.objects().end()) {
            const auto intent = decodeIntent(1, current->second.value).value();
            for (const AcceptedChange &change : intent->intent.history) {
                isRecorded[change.id] = true;
            }
        }
        for (const auto &[id, outcome] : outcomes) {
            if (std::holds_alternative<ChangeAccepted>(outcome)) {
                RC_ASSERT(isRecorded[id]);
            } else if (!std::holds_alternative<ChangeUnknown>(outcome)) {
                RC_ASSERT(!isRecorded[id]);
            }
        }
    }));
}
