/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/logsink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace Cloverbarrow
{

LogSink::LogSink(int descriptor, std::size_t capacity)
    : descriptor_(descriptor)
    , capacity_(capacity)
{
}

std::uint64_t LogSink::droppedLines()
{
    const std::lock_guard lock(mutex_);
    return droppedLines_;
}

void LogSink::sink_it_(const spdlog::details::log_msg &message)
{
    if (buffer_.size() + message.payload.size() + 1 > capacity_) {
        ++droppedLines_;
        return;
    }
    buffer_.append(message.payload.data(), message.payload.size());
    buffer_.push_back('\n');
}

void LogSink::flush_()
{
    std::size_t written = 0;
    // A write of at most PIPE_BUF bytes to a writable pipe does not block (POSIX).
    while (written < buffer_.size() && isWritable()) {
        const std::size_t piece = std::min<std::size_t>(PIPE_BUF, buffer_.size() - written);
        const ssize_t count = ::write(descriptor_, buffer_.data() + written, piece);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    buffer_.erase(0, written);
}

bool LogSink::isWritable() const
{
    pollfd entry{descriptor_, POLLOUT, 0};
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & POLLOUT) != 0;
}

} // namespace Cloverbarrow
