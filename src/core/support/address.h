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

/// IPv4 address and port.
struct SocketAddress {
    std::string host;
    std::uint16_t port = 0;

    std::string toString() const;
};

/// @return the address in @p text, or nothing if @p text does not have the form `1.2.3.4:80`.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

/// @return whether parseSocketAddress() accepts @p text.
bool isSocketAddress(std::string_view text);

/// @return @p address, which must be a valid socket address, with its port replaced.
std::string withPort(std::string_view address, std::uint16_t port);

} // namespace Cloverbarrow
