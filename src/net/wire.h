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

/// Largest Thrift message in bytes; a configuration of a megabyte fits.
constexpr int MaxThriftMessage = 4 * 1024 * 1024;

/// Keeps the library from printing each failed connection to the standard error; errors reach the log as such.
void silenceThrift();

Wire::Heartbeat toWire(const Heartbeat &heartbeat);
Heartbeat fromWire(const Wire::Heartbeat &heartbeat);

} // namespace Cloverbarrow
