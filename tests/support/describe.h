/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/node.h"

#include <string>

namespace Cloverbarrow::Tests
{

/// @return one line that describes @p action; equal actions give equal lines.
std::string describe(const NodeAction &action);

} // namespace Cloverbarrow::Tests
