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

/// Store object that holds the operators' accepted intent.
inline const StoreObject IntentObject{"configuration", "current"};

/// One accepted change.
struct AcceptedChange {
    std::string id; ///< Chosen at random by the writer, so that it recognises its change when reading back.
    std::string author;
    std::string reason;
    std::int64_t timeMs = 0; ///< Wall-clock milliseconds since 1970, for display only.
    std::string description;
    std::int64_t baseVersion = 0; ///< Version that the change is based on.

    bool operator==(const AcceptedChange &) const = default;
};

/// All decisions of operators, stored as one object with one version and always replaced as a whole.
struct OperatorIntent {
    std::string document; ///< Configuration document as the operator wrote it.
    std::vector<std::string> drains; ///< Drained backend servers, each `service/backend`.
    std::vector<AcceptedChange> history; ///< Oldest first; limited to the newest MaxHistory changes.

    bool operator==(const OperatorIntent &) const = default;
};

/// Accepted intent that is active, with its version and its parsed configuration.
struct ActiveIntent {
    std::int64_t version = 0;
    std::string value; ///< As stored at the platform; peers forward it unchanged.
    OperatorIntent intent;
    Configuration configuration;
    int entryVmCount = 0; ///< Entry VMs that share the connections of backend servers; 0 if unknown, so that membership is used.
};

/// Number of changes kept in the history.
constexpr std::size_t MaxHistory = 50;

std::string encodeIntent(const OperatorIntent &intent);

/// Decodes an object without validating its configuration, so that an object which a later release rejects can still be
/// replaced.
Result<OperatorIntent> decodeIntentUnchecked(std::string_view value);

/// Decodes and validates an object from the platform or a peer.
Result<std::shared_ptr<const ActiveIntent>> decodeIntent(std::int64_t version, std::string_view value);

} // namespace Cloverbarrow
