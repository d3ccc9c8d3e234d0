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

/// @return processor time that the process has used, in seconds.
double processorSeconds(pid_t pid);
/// @return resident memory of the process, in megabytes.
double residentMegabytes(pid_t pid);
/// @return bytes that have left through the loopback device, headers included.
std::int64_t loopbackBytes();

} // namespace Cloverbarrow
