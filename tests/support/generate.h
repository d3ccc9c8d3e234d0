/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <rapidcheck.h>

namespace Cloverbarrow::Tests
{

/// @return a number from @p lowest up to, but without, @p bound, of the whole range whatever the size of the case;
/// the library's own ranges begin small, and loops that wait for another number would not end.
template<typename T>
T pick(T lowest, T bound)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(lowest, bound));
}

} // namespace Cloverbarrow::Tests
