/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <cstdint>
#include <optional>

namespace Cloverbarrow
{

/// What the kernel knows of a TCP connection (TCP_INFO of Linux).
struct TcpStatus {
    Duration sinceLastData{0}; ///< Time since the kernel last received data, in whole milliseconds. The data may not have been read yet.
    std::uint64_t bytesReceived = 0; ///< Since the connection was opened, whether or not they have been read.
    bool hasPeerClosed = false; ///< The other end has closed its sending half.
    Duration sinceLastAcknowledgement{0}; ///< In whole milliseconds.
    std::uint32_t unsentBytes = 0; ///< Written to the socket and not sent yet.
    std::uint32_t unacknowledgedSegments = 0; ///< Sent and not acknowledged yet, without probes that carry no data.
    bool hasZeroWindow = false; ///< The other end has no room; false if that is not known.
    int unansweredProbes = 0; ///< Probes of the other end's receive window since it last acknowledged anything.
    int retransmissions = 0; ///< Of the first segment that is not acknowledged, after time-outs.
};

/// @return nothing if @p fd is no TCP socket, or its kernel does not have these values.
std::optional<TcpStatus> tcpStatus(int fd);

/// @return whether bytes have arrived at the socket that have not been read.
bool hasUnreadBytes(int fd);

} // namespace Cloverbarrow
