/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <functional>

namespace Cloverbarrow::Standins
{

/// Evaluates @p isTrue every 10 ms, at most 2,000 times. @return whether it became true.
bool eventually(const std::function<bool()> &isTrue);

} // namespace Cloverbarrow::Standins
