/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <cstdint>

namespace Cloverbarrow
{

/// @return the time since boot, including time during which the machine was suspended.
TimePoint bootNow();

/// @return wall-clock time in milliseconds since 1970; for display only, since it may jump.
std::int64_t wallMilliseconds();

} // namespace Cloverbarrow
