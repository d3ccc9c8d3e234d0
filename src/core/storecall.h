/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace Cloverbarrow
{

/// Name of an object in the platform's store.
struct StoreObject {
    std::string kind;
    std::string name;

    auto operator<=>(const StoreObject &) const = default;
};

struct StoreRead {
    bool operator==(const StoreRead &) const = default;
};

/// Writes the object if it still has @p expectedVersion; 0 means that it does not exist.
struct StoreWrite {
    std::int64_t expectedVersion = 0;
    std::string value;

    bool operator==(const StoreWrite &) const = default;
};

/// Deletes the object if it still has @p expectedVersion.
struct StoreDelete {
    std::int64_t expectedVersion = 0;

    bool operator==(const StoreDelete &) const = default;
};

using StoreOperation = std::variant<StoreRead, StoreWrite, StoreDelete>;

/// One call to the platform's object API.
struct StoreCall {
    StoreObject object;
    StoreOperation operation;

    bool operator==(const StoreCall &) const = default;
};

/// The current state of the object.
struct StoreFound {
    std::int64_t version = 0;
    std::string value;
};

/// The object does not exist.
struct StoreMissing {
};

/// The write or deletion took effect.
struct StoreWritten {
    std::int64_t version = 0;
};

/// The write had no effect, because the object has another version.
struct StoreConflict {
};

/// The call certainly had no effect.
struct StoreUnavailable {
};

/// The write may or may not have taken effect; only reading the object shows which.
struct StoreOutcomeUnknown {
};

using StoreResult = std::variant<StoreFound, StoreMissing, StoreWritten, StoreConflict, StoreUnavailable, StoreOutcomeUnknown>;

} // namespace Cloverbarrow
