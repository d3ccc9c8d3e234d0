/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/node.h"

namespace Cloverbarrow
{

/// Passes events to the core and performs the resulting actions. Thread-safe.
class EventHandler
{
public:
    virtual ~EventHandler() = default;

    virtual void handle(NodeEvent event) = 0;
};

} // namespace Cloverbarrow
