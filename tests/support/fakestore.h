/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/storecall.h"

#include <cstdint>
#include <map>

namespace Cloverbarrow::Tests
{

/// Outcome of one call to the fake store.
enum class StoreCallOutcome {
    Normal,
    Unavailable, ///< The call has no effect, and the store reports so.
    AnswerLost, ///< The call takes effect, but its answer is lost.
    RequestLost, ///< The call is lost on its way: it has no effect, but the sender cannot tell.
};

/// In-memory implementation of the platform's object API.
class FakeStore
{
public:
    struct Object {
        std::int64_t version = 0;
        std::string value;
    };

    StoreResult call(const StoreCall &call, StoreCallOutcome outcome = StoreCallOutcome::Normal)
    {
        if (outcome == StoreCallOutcome::Unavailable) {
            return StoreUnavailable{};
        }
        const bool isRead = std::holds_alternative<StoreRead>(call.operation);
        if (outcome == StoreCallOutcome::RequestLost) {
            return isRead ? StoreResult(StoreUnavailable{}) : StoreResult(StoreOutcomeUnknown{});
        }
        StoreResult result = apply(call);
        if (outcome == StoreCallOutcome::AnswerLost) {
            return isRead ? StoreResult(StoreUnavailable{}) : StoreResult(StoreOutcomeUnknown{});
        }
        return result;
    }

    const std::map<StoreObject, Object> &objects() const
    {
        return objects_;
    }

private:
    StoreResult apply(const StoreCall &call)
    {
        const auto found = objects_.find(call.object);
        const std::int64_t current = found == objects_.end() ? 0 : found->second.version;
        if (std::holds_alternative<StoreRead>(call.operation)) {
            return current == 0 ? StoreResult(StoreMissing{}) : StoreResult(StoreFound{current, found->second.value});
        }
        if (const auto *write = std::get_if<StoreWrite>(&call.operation)) {
            if (write->expectedVersion != current) {
                return StoreConflict{};
            }
            objects_[call.object] = {++lastVersion_, write->value};
            return StoreWritten{lastVersion_};
        }
        if (current == 0 || std::get<StoreDelete>(call.operation).expectedVersion != current) {
            return StoreConflict{};
        }
        objects_.erase(found);
        return StoreWritten{++lastVersion_};
    }

    std::map<StoreObject, Object> objects_;
    std::int64_t lastVersion_ = 0;
};

} // namespace Cloverbarrow::Tests
