/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "ctl/commands.h"

namespace Cloverbarrow
{

struct Session;

/// Prints entry VMs, backend servers and measuring shares as the asked entry VM sees them.
CtlExit printStatus(const Session &session);

} // namespace Cloverbarrow
