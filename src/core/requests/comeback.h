/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

namespace Cloverbarrow
{

// When callers are told to come back after a request was not run. Servers with full slots mostly have room a second
// later; a service without servers gets new ones within some seconds.
constexpr Duration ComeBackWhenBusy = seconds(1);
constexpr Duration ComeBackWithoutServer = seconds(5);
// A request that crashes servers is turned away again, which costs little. One that was only there when they ended has been answered somewhere, and all entry
// VMs know of that within two seconds.
constexpr Duration ComeBackAfterCrashes = seconds(2);
// Servers that may have ended under a request have been asked by then.
constexpr Duration ComeBackAfterSuspicion = milliseconds(400);

} // namespace Cloverbarrow
