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

/// Gathers counts from all entry VMs and prints the burn of the service-level objectives. Entry VMs that do
/// not answer are named, and the report says that it is partial.
CtlExit reportBurn(const Session &session);

} // namespace Cloverbarrow
