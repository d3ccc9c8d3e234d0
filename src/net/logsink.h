/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace Cloverbarrow
{

/// Keeps lines in a bounded buffer and writes them to a descriptor without blocking.
class LogSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    /// @param descriptor is not owned. @param capacity size of the buffer in bytes.
    LogSink(int descriptor, std::size_t capacity);

    /// @return number of lines dropped because the buffer was full.
    std::uint64_t droppedLines();

protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override;

private:
    bool isWritable() const;

    int descriptor_;
    std::size_t capacity_;
    std::string buffer_;
    std::uint64_t droppedLines_ = 0;
};

} // namespace Cloverbarrow
