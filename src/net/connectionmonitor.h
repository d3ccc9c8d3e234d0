/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"
#include "net/log.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string_view>

namespace Cloverbarrow
{

/// Why a connection of a caller ended.
enum class ConnectionEnd {
    Idle, ///< No request came within the idle limit.
    Stop, ///< This process is shutting down.
    Requested, ///< The caller asked for it with a request.
    Rejected, ///< A request was malformed, or did not arrive in time.
    Memory, ///< There was no memory for a request.
    Overflow, ///< The caller sent too many bytes ahead.
    NoProgress, ///< The caller did not read its answer in time.
    Caller, ///< The caller closed or reset the connection.
    Unusable, ///< There was no descriptor for the connection, or it was dropped without an answer.
};

constexpr std::size_t ConnectionEndCount = 9;

/// @return a short name for logs and metrics.
std::string_view nameOf(ConnectionEnd end);

/// What was unfinished on a connection when it ended.
struct UnfinishedWork {
    std::size_t unanswered = 0; ///< Requests that were dispatched and have no answer.
    std::size_t undispatchedBytes = 0; ///< Bytes that were read and belong to no dispatched request.
    bool isAnswerCut = false; ///< Whether an answer was sent in part only.

    bool isEmpty() const
    {
        return unanswered == 0 && undispatchedBytes == 0 && !isAnswerCut;
    }
};

/// Counts of what became of callers' requests. Each request that was read is answered, left by its caller, unanswered or in flight.
struct ConnectionCounts {
    std::uint64_t read = 0; ///< Requests, also those that were rejected while they were read.
    std::uint64_t answered = 0; ///< Requests whose answer was passed to the connection in time to be sent.
    std::uint64_t leftByCaller = 0; ///< Unanswered requests of connections that their callers ended.
    std::uint64_t unanswered = 0; ///< Unanswered requests of connections that this process ended.
    std::uint64_t inFlight = 0;
    std::uint64_t droppedInputs = 0; ///< Times at which bytes were read after the end of a connection without a last answer, and dropped.
    std::array<std::uint64_t, ConnectionEndCount> ends{}; ///< Connections, by ConnectionEnd.
};

/// Counts and logs how the connections of one server end, and what became of their requests. Thread-safe.
class ConnectionMonitor
{
public:
    /// @param logPart part of the program in log lines.
    explicit ConnectionMonitor(std::string_view logPart);

    void requestRead();
    void requestAnswered();
    /// @param sinceLastByte time since the kernel received the last byte from the caller.
    void connectionEnded(ConnectionEnd end, const UnfinishedWork &unfinished, Duration sinceLastByte);
    /// Bytes were read after the end of a connection. @param wasAnnounced whether an answer had announced the end.
    void inputDropped(ConnectionEnd end, bool wasAnnounced, std::size_t bytes, Duration sinceEnd);

    ConnectionCounts counts() const;

private:
    Log log_;
    mutable std::mutex mutex_;
    ConnectionCounts counts_;
};

} // namespace Cloverbarrow
