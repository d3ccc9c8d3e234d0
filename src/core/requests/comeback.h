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
// A request that crashes servers does so until one of the two is mended; nobody gains from it coming sooner.
constexpr Duration ComeBackAfterCrashes = seconds(60);

} // namespace Cloverbarrow
