/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/intent/intentchange.h"
#include "core/intent/intentkeeper.h"
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

TEST_CASE("The version in force never falls", "[configuration][property]")
{
    CHECK(rc::check("whatever platform and peers say, in any order, late or damaged", [] {
        IntentManager keeper;
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
                keeper.platformAnswered(now, StoreFound{version, value}, actions);
                newestOffered = isDamaged ? newestOffered : std::max(newestOffered, version);
                break;
            case 1:
                keeper.peerIntentReceived(now, "p", version, value, actions);
                newestOffered = isDamaged ? newestOffered : std::max(newestOffered, version);
                break;
            case 2:
                keeper.peerVersionReceived(now, "p", version, actions);
                break;
            case 3:
                keeper.platformFailed(now);
                break;
            case 4:
                keeper.fetchFailed();
                break;
            default:
                keeper.tick(now, *rc::gen::arbitrary<bool>(), actions);
            }
            RC_ASSERT(keeper.version() >= highest);
            highest = keeper.version();
            RC_ASSERT(highest == newestOffered);
        }
    }));
}

TEST_CASE("An operator is told the truth about a change", "[configuration][property]")
{
    CHECK(rc::check("racing changes with lost answers: accepted stands, conflict does not", [] {
        FakeStore store;
        std::map<std::string, ChangeOutcome> outcomes;
        std::int64_t version = 0;
        for (int round = 0; round < 6; ++round) {
            // Two operators change the same version at once.
            struct Racer {
                std::string id;
                IntentChange change;
                std::optional<StoreCall> call;
            };
            std::vector<Racer> racers;
            std::vector<StoreCall> lateWrites;
            for (int number = 0; number < 2; ++number) {
                OperatorIntent next = intentOf(number);
                const auto current = store.objects().find(IntentObject);
                if (current != store.objects().end()) {
                    next.history = decodeIntent(1, current->second.value).value()->intent.history;
                }
                const std::string id = std::to_string(round) + "/" + std::to_string(number);
                next.history.push_back({id, "a", "r", 0, "apply", version});
                racers.push_back({id, IntentChange(version, next), std::nullopt});
                racers.back().call = racers.back().change.start();
            }
            while (racers[0].call || racers[1].call) {
                Racer &racer = racers[pick<std::size_t>(0, 2)];
                if (racer.call) {
                    const auto fate = *rc::gen::weightedElement<StoreFate>(
                        {{5, StoreFate::Normal}, {1, StoreFate::Down}, {2, StoreFate::LostAfter}, {1, StoreFate::LostBefore}});
                    // A write whose answer was lost may also take effect much later.
                    if (fate == StoreFate::LostBefore && std::holds_alternative<StoreWrite>(racer.call->operation)) {
                        lateWrites.push_back(*racer.call);
                    }
                    racer.call = racer.change.resultReceived(store.call(*racer.call, fate));
                }
            }
            for (const StoreCall &late : lateWrites) {
                store.call(late);
            }
            for (const Racer &racer : racers) {
                outcomes.emplace(racer.id, *racer.change.outcome());
            }
            const auto current = store.objects().find(IntentObject);
            version = current == store.objects().end() ? 0 : current->second.version;
        }
        const auto current = store.objects().find(IntentObject);
        std::map<std::string, bool> stands;
        if (current != store.objects().end()) {
            const auto intent = decodeIntent(1, current->second.value).value();
            for (const AcceptedChange &change : intent->intent.history) {
                stands[change.id] = true;
            }
        }
        for (const auto &[id, outcome] : outcomes) {
            if (std::holds_alternative<ChangeAccepted>(outcome)) {
                RC_ASSERT(stands[id]);
            } else if (!std::holds_alternative<ChangeUnknown>(outcome)) {
                RC_ASSERT(!stands[id]);
            }
        }
    }));
}
