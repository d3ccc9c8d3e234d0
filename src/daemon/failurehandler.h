/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

namespace Cloverbarrow
{

/// Lets a process that ends by a fault (SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGTRAP) write the signal and a backtrace of the thread to the standard
/// error output first. It still ends by the signal. @param program path of the running program, for the names of functions.
void installFailureHandler(const char *program);

} // namespace Cloverbarrow
