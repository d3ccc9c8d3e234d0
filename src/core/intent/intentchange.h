/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/operatorintent.h"
#include "core/storecall.h"
#include "core/support/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Cloverbarrow
{

/// The change was accepted: the platform has confirmed it, or it was found when reading back.
struct ChangeAccepted {
    std::int64_t version = 0;
    std::string value; ///< Value stored under that version; it may include later changes.
};

/// Another writer changed the object first; nothing was written.
struct ChangeConflict {
    std::int64_t version = 0; ///< Version that is stored now.
    std::string value;
};

/// The platform did not answer; nothing was written.
struct ChangeNotMade {
};

/// It could not be determined whether the change was written.
struct ChangeUnknown {
};

using ChangeOutcome = std::variant<ChangeAccepted, ChangeConflict, ChangeNotMade, ChangeUnknown>;

/// One attempt to change the operators' intent: a conditional write that is read back if its answer is lost.
/// Pass it the platform's results until it has an outcome.
class IntentChange
{
public:
    /// @param next intent to write; the last entry of its history identifies the change.
    IntentChange(std::int64_t expectedVersion, const OperatorIntent &next);

    /// @return the first call to make.
    StoreCall start() const;
    /// Processes a result. @return the next call to make, or nothing if outcome() is set.
    std::optional<StoreCall> resultReceived(const StoreResult &result);
    const std::optional<ChangeOutcome> &outcome() const;

private:
    std::optional<StoreCall> readBack();
    void resolveFromRead(const StoreFound &found);

    std::int64_t expectedVersion_;
    std::string changeId_;
    std::string value_;
    std::optional<ChangeOutcome> outcome_;
    bool mayBeWritten_ = false; ///< The answer to the write was lost, so the change may have been written.
    int readsLeft_;
};

} // namespace Cloverbarrow
