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

/// What becomes of one call of the fake store.
enum class StoreFate {
    Normal,
    Down, ///< No effect, and the caller knows.
    LostAfter, ///< Takes effect, and the answer is lost.
    LostBefore, ///< No effect, and the caller does not know.
};

/// The platform's object API in memory.
class FakeStore
{
public:
    struct Object {
        std::int64_t version = 0;
        std::string value;
    };

    StoreResult call(const StoreCall &call, StoreFate fate = StoreFate::Normal)
    {
        if (fate == StoreFate::Down) {
            return StoreUnavailable{};
        }
        const bool isRead = std::holds_alternative<StoreRead>(call.operation);
        if (fate == StoreFate::LostBefore) {
            return isRead ? StoreResult(StoreUnavailable{}) : StoreResult(StoreOutcomeUnknown{});
        }
        StoreResult result = apply(call);
        if (fate == StoreFate::LostAfter) {
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
