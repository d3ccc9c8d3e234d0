/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/signalstack.h"

#include <csignal>

namespace Cloverbarrow
{

namespace
{

// The handler resolves symbols with buffers on its stack. Pages that are never used take no memory.
constexpr std::size_t StackBytes = 128 * 1024;

} // namespace

SignalStack::SignalStack()
    : memory_(std::make_unique_for_overwrite<std::byte[]>(StackBytes))
{
    stack_t stack{};
    stack.ss_sp = memory_.get();
    stack.ss_size = StackBytes;
    ::sigaltstack(&stack, nullptr);
}

SignalStack::~SignalStack()
{
    stack_t stack{};
    stack.ss_flags = SS_DISABLE;
    ::sigaltstack(&stack, nullptr);
}

void ensureSignalStack()
{
    thread_local const SignalStack stack;
    static_cast<void>(stack);
}

} // namespace Cloverbarrow
