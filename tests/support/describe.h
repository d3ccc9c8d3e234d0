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

/// @return one line that tells all of @p action, the same for the same action.
std::string describe(const NodeAction &action);

} // namespace Cloverbarrow::Tests
