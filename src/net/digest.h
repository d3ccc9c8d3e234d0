/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/workspaces/workspacetable.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// @return the SHA-256 of the concatenated @p parts, in hexadecimal.
std::string sha256(std::initializer_list<std::string_view> parts);

/// @return the digest under which an API key is stored.
KeyDigest digestOfKey(std::string_view key);
/// @return @p digest in hexadecimal.
std::string toHex(const KeyDigest &digest);
/// @return the digest in @p text as written by toHex(). @throws std::invalid_argument if it is none.
KeyDigest keyDigestFromHex(std::string_view text);

/// @return random bytes from the operating system, in hexadecimal. @param bytes their number. @throws std::runtime_error if the operating system supplies none.
std::string randomHex(std::size_t bytes);

} // namespace Cloverbarrow
