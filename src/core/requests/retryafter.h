/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

namespace Cloverbarrow
{

// Retry-After values for requests that were not executed. Servers with full slots usually have free capacity a second
// later; a service without servers gets new ones within some seconds.
constexpr Duration RetryAfterWhenBusy = seconds(1);
constexpr Duration RetryAfterWithoutServer = seconds(5);
// A poison request is refused again, which costs little. A request that was merely in flight when the servers crashed has been answered elsewhere by then,
// and all entry VMs have been notified of that within two seconds.
constexpr Duration RetryAfterWhenBlocked = seconds(2);
// A retry reaches another entry VM, which may serve the request; besides, a new process has read the directory by then.
constexpr Duration RetryAfterAtOtherEntryVm = milliseconds(150);
// Within this time, the servers that are suspected to have crashed are probed.
constexpr Duration RetryAfterWhenSuspected = milliseconds(400);

} // namespace Cloverbarrow
