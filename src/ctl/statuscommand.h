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

/// Prints entry VMs, backend servers and probe shares as seen by the entry VM that answers.
CtlExit printStatus(const Session &session);

} // namespace Cloverbarrow
