/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <sys/types.h>

#include <cstdint>

namespace Cloverbarrow
{

/// @return user and system processor time of the process in seconds, from /proc.
double processorSeconds(pid_t pid);
/// @return resident memory of the process in MiB, or 0 if it cannot be read.
double residentMegabytes(pid_t pid);
/// @return bytes sent over the loopback device so far, headers included, or 0 if they cannot be read.
std::int64_t loopbackBytes();

} // namespace Cloverbarrow
