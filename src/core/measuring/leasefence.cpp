/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/measuring/leasefence.h"

#include "core/measuring/lease.h"

#include <utility>

namespace Cloverbarrow
{

namespace
{
constexpr Duration StaleAfter = LeaseDuration + LeaseMargin;
}

bool LeaseFence::isOver(TimePoint now, const Incarnation &holder)
{
    const auto [found, isNew] = observations_.try_emplace(holder);
    if (isNew) {
        found->second.since = now;
    }
    return found->second.isOver;
}

void LeaseFence::forget(const Incarnation &holder)
{
    observations_.erase(holder);
}

void LeaseFence::tick(TimePoint now, std::vector<StoreCall> &calls)
{
    for (auto &[holder, observation] : observations_) {
        const bool isStale = observation.isSeen && now - observation.since >= StaleAfter;
        const bool isDue = !observation.isSeen || isStale;
        if (observation.isAsking || observation.isOver || !isDue) {
            continue;
        }
        observation.isAsking = true;
        observation.isFencing = isStale;
        const StoreObject object = leaseObject(holder.name);
        if (isStale && observation.nonce == holder.nonce) {
            calls.push_back({object, StoreDelete{observation.version}});
        } else {
            calls.push_back({object, StoreRead{}});
        }
    }
}

void LeaseFence::answered(TimePoint now, const std::string &name, const StoreResult &result)
{
    for (auto &[holder, observation] : observations_) {
        if (holder.name != name || !observation.isAsking) {
            continue;
        }
        observation.isAsking = false;
        if (const auto *object = std::get_if<StoreFound>(&result)) {
            found(now, holder, observation, *object);
        } else if (std::holds_alternative<StoreMissing>(result) || std::holds_alternative<StoreWritten>(result)) {
            // Deleted by this process, or by another one that has waited for the same time.
            observation.isOver = true;
        } else {
            // Renewed, or the result is unknown: start the observation again.
            observation.isSeen = false;
        }
    }
}

void LeaseFence::found(TimePoint now, const Incarnation &holder, Observation &observation, const StoreFound &object)
{
    const bool wasFencing = std::exchange(observation.isFencing, false);
    const auto content = decodeLease(object.value);
    const std::string nonce = content ? content->holder.nonce : std::string();
    const bool isReplaced = nonce != holder.nonce;
    // Another process has written the object, so the renewals of this holder have failed at least since the first read.
    observation.isOver = wasFencing && isReplaced && observation.nonce == nonce;
    const bool hasChanged = !observation.isSeen || observation.nonce != nonce || (!isReplaced && observation.version != object.version);
    if (hasChanged) {
        observation.since = now;
    }
    observation.isSeen = true;
    observation.nonce = nonce;
    observation.version = object.version;
}

} // namespace Cloverbarrow
