/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <functional>

namespace Cloverbarrow::Standins
{

/// Looks every ten milliseconds. @return whether @p isTrue came true within 2,000 looks.
bool eventually(const std::function<bool()> &isTrue);

} // namespace Cloverbarrow::Standins
