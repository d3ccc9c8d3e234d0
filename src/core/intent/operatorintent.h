/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/configuration.h"
#include "core/storecall.h"
#include "core/support/error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Cloverbarrow
{

/// The platform's object that holds the operators' accepted intent.
inline const StoreObject IntentObject{"configuration", "current"};

/// One accepted change.
struct AcceptedChange {
    std::string id; ///< Drawn by the writer, so that it knows its own change when reading back.
    std::string author;
    std::string reason;
    std::int64_t timeMs = 0; ///< Wall-clock milliseconds since 1970, for people only.
    std::string what;
    std::int64_t overVersion = 0; ///< Version that the change was made against.

    bool operator==(const AcceptedChange &) const = default;
};

/// Everything that operators have decided: one object, one version, changed as a whole.
struct OperatorIntent {
    std::string document; ///< The configuration, as the operator wrote it.
    std::vector<std::string> drains; ///< Drained backend servers, each `service/backend`.
    std::vector<AcceptedChange> history; ///< Latest last; the oldest are dropped.

    bool operator==(const OperatorIntent &) const = default;
};

/// Accepted intent with its version and its parsed configuration.
struct IntentInForce {
    std::int64_t version = 0;
    std::string value; ///< As the platform holds it; peers pass it on unchanged.
    OperatorIntent intent;
    Configuration configuration;
    int entryVms = 0; ///< That share the connections of backend servers, as far as is known; 0 when only membership tells.
};

/// Changes kept in the history.
constexpr std::size_t MaxHistory = 50;

std::string encodeIntent(const OperatorIntent &intent);

/// Reads an object without checking its configuration, so that one which a later release refuses can still be
/// replaced.
Result<OperatorIntent> decodeIntentUnchecked(std::string_view value);

/// Reads and checks an object of the platform or a peer as a whole.
Result<std::shared_ptr<const IntentInForce>> decodeIntent(std::int64_t version, std::string_view value);

} // namespace Cloverbarrow
