/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/address.h"

#include "core/support/text.h"

namespace Cloverbarrow
{

namespace
{

bool isIpv4Address(std::string_view text)
{
    constexpr int Parts = 4;
    for (int part = 1; part <= Parts; ++part) {
        const std::size_t dot = text.find('.');
        const bool isLast = part == Parts;
        if (isLast != (dot == std::string_view::npos) || !parseNumber(text.substr(0, dot), 255)) {
            return false;
        }
        text.remove_prefix(isLast ? text.size() : dot + 1);
    }
    return true;
}

} // namespace

std::string SocketAddress::toString() const
{
    return host + ":" + std::to_string(port);
}

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos || !isIpv4Address(text.substr(0, colon))) {
        return std::nullopt;
    }
    const auto port = parseNumber(text.substr(colon + 1), 65535);
    if (!port) {
        return std::nullopt;
    }
    return SocketAddress{std::string(text.substr(0, colon)), static_cast<std::uint16_t>(*port)};
}

bool isSocketAddress(std::string_view text)
{
    return parseSocketAddress(text).has_value();
}

std::string withPort(std::string_view address, std::uint16_t port)
{
    SocketAddress changed = parseSocketAddress(address).value();
    changed.port = port;
    return changed.toString();
}

} // namespace Cloverbarrow
