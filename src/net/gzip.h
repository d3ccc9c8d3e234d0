/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// @return @p text in gzip format. @throws std::runtime_error if zlib fails.
std::string gzip(std::string_view text);

} // namespace Cloverbarrow
