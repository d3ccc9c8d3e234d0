/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"
#include "net/tcpstatus.h"

namespace Cloverbarrow
{

/// How long data that was sent or waits may make no progress before the kernel ends the connection (TCP_USER_TIMEOUT), whether the peer has gone or
/// does not read. Then also how long a peer may acknowledge nothing before it counts as gone.
constexpr Duration UserTimeout = seconds(2);

/// @return whether data waits for the peer to read, so that UserTimeout would end the connection although the peer is alive.
bool awaitsReceiver(const TcpStatus &status);
/// @return whether the peer has acknowledged nothing for UserTimeout, neither data nor probes of its window, so that it is cut off or powered off.
bool hasPeerGone(const TcpStatus &status);

} // namespace Cloverbarrow
