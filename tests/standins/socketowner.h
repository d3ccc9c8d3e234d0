/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <span>

namespace Cloverbarrow::Standins
{

/// @return the process among @p candidates that holds the TCP socket bound to the local @p port; nothing if none of them does.
std::optional<pid_t> ownerOfLocalPort(std::uint16_t port, std::span<const pid_t> candidates);

} // namespace Cloverbarrow::Standins
