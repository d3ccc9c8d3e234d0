/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/intent/intentchange.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{
constexpr int MaxReads = 5;
}

IntentChange::IntentChange(std::int64_t expectedVersion, const OperatorIntent &next)
    : expectedVersion_(expectedVersion)
    , changeId_(next.history.back().id)
    , value_(encodeIntent(next))
    , readsLeft_(MaxReads)
{
}

StoreCall IntentChange::start() const
{
    return {IntentObject, StoreWrite{expectedVersion_, value_}};
}

std::optional<StoreCall> IntentChange::resultReceived(const StoreResult &result)
{
    if (const auto *written = std::get_if<StoreWritten>(&result)) {
        outcome_ = ChangeAccepted{written->version, value_};
    } else if (const auto *found = std::get_if<StoreFound>(&result)) {
        resolveFromRead(*found);
    } else if (std::holds_alternative<StoreOutcomeUnknown>(result)) {
        mayBeWritten_ = true;
        return readBack();
    } else if (std::holds_alternative<StoreConflict>(result)) {
        return readBack();
    } else if (std::holds_alternative<StoreUnavailable>(result)) {
        if (mayBeWritten_) {
            return readBack();
        }
        outcome_ = ChangeNotMade{};
    } else if (mayBeWritten_) {
        // The object is missing, but the write may still be in flight.
        outcome_ = ChangeUnknown{};
    } else {
        outcome_ = ChangeConflict{};
    }
    return std::nullopt;
}

const std::optional<ChangeOutcome> &IntentChange::outcome() const
{
    return outcome_;
}

std::optional<StoreCall> IntentChange::readBack()
{
    if (readsLeft_ == 0) {
        outcome_ = ChangeUnknown{};
        return std::nullopt;
    }
    --readsLeft_;
    return StoreCall{IntentObject, StoreRead{}};
}

void IntentChange::resolveFromRead(const StoreFound &found)
{
    const auto decoded = decodeIntentUnchecked(found.value);
    if (decoded) {
        const auto &history = decoded.value().history;
        const auto isThisChange = [this](const AcceptedChange &change) { return change.id == changeId_; };
        if (std::any_of(history.begin(), history.end(), isThisChange)) {
            // Later changes may have been made since, but this change is part of the stored intent either way.
            outcome_ = ChangeAccepted{found.version, found.value};
            return;
        }
    }
    if (mayBeWritten_ && found.version == expectedVersion_) {
        // The object is unchanged, but the write may still be in flight.
        outcome_ = ChangeUnknown{};
        return;
    }
    outcome_ = ChangeConflict{found.version, found.value};
}

} // namespace Cloverbarrow
