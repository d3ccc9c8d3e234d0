/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <rapidcheck.h>

namespace Cloverbarrow::Tests
{

/// @return a number in [@p lowest, @p bound), drawn from the whole range independently of RapidCheck's size parameter. rc::gen::inRange() alone starts with
/// a small part of the range, so that loops which wait for some number might not end.
template<typename T>
T pick(T lowest, T bound)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(lowest, bound));
}

} // namespace Cloverbarrow::Tests
