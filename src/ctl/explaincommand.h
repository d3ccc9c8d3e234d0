/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "ctl/commands.h"

#include <iosfwd>
#include <span>
#include <string>

namespace Cloverbarrow
{

/// Prints the timeline of a request from collected logs. Calls no entry VM.
/// @param arguments the request's id and paths of log files; without files the log is read from @p input.
CtlExit explainRequest(std::span<const std::string> arguments, std::istream &input, std::ostream &out, std::ostream &err);

} // namespace Cloverbarrow
