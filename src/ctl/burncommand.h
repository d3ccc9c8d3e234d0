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

/// Collects counts from all entry VMs and prints the burn of the service-level objectives. If entry VMs do
/// not answer, the report is marked as partial and lists them.
CtlExit reportBurn(const Session &session);

} // namespace Cloverbarrow
