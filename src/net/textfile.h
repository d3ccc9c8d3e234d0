/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <optional>
#include <string>

namespace Cloverbarrow
{

/// @return the content of the file, or nothing if it cannot be opened.
std::optional<std::string> readTextFile(const std::string &path);

} // namespace Cloverbarrow
