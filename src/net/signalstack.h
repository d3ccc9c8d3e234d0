/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <cstddef>
#include <memory>

namespace Cloverbarrow
{

/// Alternate stack of the current thread for signal handlers, so that one can still report an overflow of the thread's own stack.
/// Construct and destroy it on the same thread.
class SignalStack
{
public:
    SignalStack();
    ~SignalStack();
    SignalStack(const SignalStack &) = delete;
    SignalStack &operator=(const SignalStack &) = delete;

private:
    std::unique_ptr<std::byte[]> memory_;
};

/// Gives the current thread a signal stack for the rest of its life. For threads of libraries, whose start and end cannot be hooked.
void ensureSignalStack();

} // namespace Cloverbarrow
