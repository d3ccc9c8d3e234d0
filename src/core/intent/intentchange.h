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

/// The change is accepted: the platform has confirmed it or it was read back.
struct ChangeAccepted {
    std::int64_t version = 0;
    std::string value; ///< What stands under that version; later changes may have been made on top.
};

/// Another change came first; nothing was written.
struct ChangeConflict {
    std::int64_t version = 0; ///< What stands there now.
    std::string value;
};

/// The platform does not answer; nothing was written.
struct ChangeNotMade {
};

/// It cannot be told whether the change was written.
struct ChangeUnknown {
};

using ChangeOutcome = std::variant<ChangeAccepted, ChangeConflict, ChangeNotMade, ChangeUnknown>;

/// One attempt to change the operators' intent: a conditional write, read back when its answer is lost.
/// Give it the platform's results until it has an outcome.
class IntentChange
{
public:
    /// @param changeId id of the last entry in the history of @p next.
    IntentChange(std::int64_t expectedVersion, const OperatorIntent &next);

    /// @return the first call to make.
    StoreCall start() const;
    /// Takes a result. @return the next call to make, or nothing when outcome() stands.
    std::optional<StoreCall> answered(const StoreResult &result);
    const std::optional<ChangeOutcome> &outcome() const;

private:
    std::optional<StoreCall> readBack();
    void judge(const StoreFound &found);

    std::int64_t expectedVersion_;
    std::string changeId_;
    std::string value_;
    std::optional<ChangeOutcome> outcome_;
    bool mayStand_ = false; ///< A write's answer was lost.
    int readsLeft_;
};

} // namespace Cloverbarrow
