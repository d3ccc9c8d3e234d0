/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// An IPv4 number and a port.
struct SocketAddress {
    std::string host;
    std::uint16_t port = 0;

    std::string toString() const;
};

/// @return the address in @p text, written `1.2.3.4:80`, if it is one.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

/// @return whether @p text is an address as parseSocketAddress() reads it.
bool isSocketAddress(std::string_view text);

/// @return @p address, which must be one, with another port.
std::string withPort(std::string_view address, std::uint16_t port);

} // namespace Cloverbarrow
