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

bool LeaseFence::isExpired(TimePoint now, const Incarnation &holder)
{
    const auto [found, isNew] = observations_.try_emplace(holder);
    if (isNew) {
        found->second.unchangedSince = now;
    }
    return found->second.isExpired;
}

void LeaseFence::stopObserving(const Incarnation &holder)
{
    observations_.erase(holder);
}

void LeaseFence::tick(TimePoint now, std::vector<StoreCall> &calls)
{
    for (auto &[holder, observation] : observations_) {
        const bool isStale = observation.hasBeenRead && now - observation.unchangedSince >= StaleAfter;
        const bool isDue = !observation.hasBeenRead || isStale;
        if (observation.isCallPending || observation.isExpired || !isDue) {
            continue;
        }
        observation.isCallPending = true;
        observation.isFencing = isStale;
        const StoreObject object = leaseObject(holder.name);
        if (isStale && observation.nonce == holder.nonce) {
            calls.push_back({object, StoreDelete{observation.version}});
        } else {
            calls.push_back({object, StoreRead{}});
        }
    }
}

void LeaseFence::handleResult(TimePoint now, const std::string &name, const StoreResult &result)
{
    for (auto &[holder, observation] : observations_) {
        if (holder.name != name || !observation.isCallPending) {
            continue;
        }
        observation.isCallPending = false;
        if (const auto *object = std::get_if<StoreFound>(&result)) {
            applyObject(now, holder, observation, *object);
        } else if (std::holds_alternative<StoreMissing>(result) || std::holds_alternative<StoreWritten>(result)) {
            // Deleted by this process, or by another one that has waited for the same time.
            observation.isExpired = true;
        } else {
            // Renewed, or the result is unknown: start the observation again.
            observation.hasBeenRead = false;
        }
    }
}

void LeaseFence::applyObject(TimePoint now, const Incarnation &holder, Observation &observation, const StoreFound &object)
{
    const bool wasFencing = std::exchange(observation.isFencing, false);
    const auto record = decodeLease(object.value);
    const std::string nonce = record ? record->holder.nonce : std::string();
    const bool isReplaced = nonce != holder.nonce;
    // Another process has written the object, so the renewals of this holder have failed at least since the first read.
    observation.isExpired = wasFencing && isReplaced && observation.nonce == nonce;
    const bool hasChanged = !observation.hasBeenRead || observation.nonce != nonce || (!isReplaced && observation.version != object.version);
    if (hasChanged) {
        observation.unchangedSince = now;
    }
    observation.hasBeenRead = true;
    observation.nonce = nonce;
    observation.version = object.version;
}

} // namespace Cloverbarrow
