/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "Admin.h"
#include "Peer.h"
#include "core/membership/member.h"

namespace Cloverbarrow
{

/// Maximum size of a Thrift message in bytes; large enough for a configuration of 1 MB.
constexpr int MaxThriftMessage = 4 * 1024 * 1024;
/// Elements of one list. Space for all that a list announces is taken before any of them is read; no fleet has as many entry VMs or backend servers.
constexpr int MaxThriftElements = 100'000;

/// Keeps the Thrift library from printing each failed connection to standard error; errors are logged as exceptions instead.
void suppressThriftOutput();

Wire::Heartbeat toWire(const Heartbeat &heartbeat);
Heartbeat fromWire(const Wire::Heartbeat &heartbeat);

} // namespace Cloverbarrow
