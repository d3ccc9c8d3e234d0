/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"
#include "net/answerqueue.h"
#include "net/connectionmonitor.h"
#include "net/descriptor.h"
#include "net/requestframer.h"
#include "net/sendqueue.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace Cloverbarrow
{

class CallerConnection;

/// Limits on the size of requests and on the time that a caller may take.
struct CallerBounds {
    RequestLimits limits;
    Duration headTimeout = seconds(10); ///< From the first byte of a request to the end of its headers.
    Duration transferTimeout = seconds(10); ///< For sending a whole request, for reading an answer and for closing.
    std::optional<Duration> idleTimeout; ///< Between two requests; nothing means no limit.
};

/// Handles a complete request; answers with CallerConnection::answerTo() or answer(), at once or later, from any thread.
using RequestHandler = std::function<void(const std::shared_ptr<CallerConnection> &, HttpRequest)>;

/// @return the answer to a request that is refused since there is no memory for it. Called with the connection's lock held.
/// @param head the request without its body; without a method if its head is not complete. @param counts of the memory budget.
using MemoryRefusal = std::function<HttpAnswer(const HttpRequest &head, const MemoryCounts &counts)>;

/// One connection of a caller. Answers are sent in the order of the requests, in whatever order they become available.
///
/// If several requests may be in flight, pipelined requests are dispatched at once as long as all of them have safe methods. A slow
/// answer then delays only the answers after it, not the processing of the other requests.
///
/// A connection without a request is ended in two steps, so that no request is read and dropped: first no more input is accepted, and what has
/// arrived by then is still processed; when the listener has passed on the last byte, the connection is closed. Bytes that arrive later stay
/// unread, so the caller sees a reset and may send its request again.
///
/// The connection writes through a duplicate of the listener's descriptor. A late answer therefore reaches only this connection, even
/// if the listener's descriptor number has been reused for another one, and a caller that closed its sending half still receives its
/// answer.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /// How a connection treats its caller, apart from the limits on size and time.
    struct Options {
        bool treatsHalfCloseAsClosed = false; ///< A caller that closed its sending half no longer waits for an answer.
        std::size_t maxRequestsInFlight = 1; ///< Maximum; further requests are read when answers have been sent.
        std::shared_ptr<MemoryBudget> memory = nullptr; ///< For what the connection keeps; null if it is not bounded.
        MemoryRefusal refusal = nullptr; ///< If null, such requests are refused with a general answer.
        std::shared_ptr<ConnectionMonitor> monitor = nullptr; ///< Learns how connections end; may be null.
    };

    /// @param fd is duplicated; if that fails, the connection is closed. @param caller IP address of the caller.
    CallerConnection(int fd, const CallerBounds &bounds, const Options &options, RequestHandler handler, std::string caller = {});

    /// Applies to requests and timeouts from now on.
    void setBounds(const CallerBounds &bounds);

    /// Processes bytes received from the caller.
    void received(std::string_view bytes, TimePoint now);
    /// There is no more input: the caller has closed its sending half, or this connection has closed its input.
    void inputEnded();
    /// Answers the request with this HttpRequest::number; the answer is sent when all earlier requests have been answered.
    void answerTo(std::uint64_t number, const HttpAnswer &answer, bool isHead);
    /// Answers the oldest request that has no answer yet.
    void answer(const HttpAnswer &answer, bool isHead);
    /// Answers the oldest request that has no answer yet, with a serialized answer. @param closes whether the connection closes after it.
    void answerBytes(std::string_view bytes, bool closes);
    /// Closes after the next answer that announces it; a request may still arrive before that.
    void closeAfterAnswer();
    /// Closes after the requests that have arrived are answered.
    void closeGracefully();
    /// The caller waits for no answer any more, see isGone(): closes the connection, which cannot be used any further.
    void callerGone();
    /// Drops the connection without an answer.
    void abort();
    /// Closes the connection if the caller is idle or too slow in sending a request, reading an answer or closing. Call several times a second.
    void checkTimeouts(TimePoint now);

    /// @return IP address of the caller.
    const std::string &caller() const;
    bool isClosed() const;
    /// @return whether bytes of an answer are still to be sent.
    bool isSending() const;
    /// @return whether bytes of an answer are still to be sent, or input has arrived that is processed before the connection closes.
    bool isUnfinished() const;
    /// @return whether the caller no longer waits for an answer: the connection is closed or reset, or half-closed if that counts as closed.
    bool isGone() const;

private:
    enum class State {
        Open,
        Lingering, ///< The sending half is closed; waits for the caller to close.
        Closed,
    };

    enum class InputState {
        Open,
        EndedByCaller,
        Closing, ///< Closed by this connection; the reader passes on what has arrived.
        Closed, ///< Nothing is read any more since it was closed by this connection.
    };

    bool isIdle() const;
    bool hasPartialRequest() const;
    /// @return whether the caller has closed its sending half; false if that is not known.
    bool hasPeerClosed() const;
    /// @return how long the caller may use the connection after an answer; nothing if that is not limited or less than a second.
    std::optional<std::chrono::seconds> announcedIdleTimeout() const;
    bool isIdleTooLong(TimePoint now) const;
    void checkReadTimeouts(TimePoint now);
    void dispatchRequests(std::unique_lock<std::mutex> &lock);
    bool mayDispatchRequest() const;
    bool extractRequest(HttpRequest &request);
    void rejectInput(const FramingFault &fault, ConnectionEnd reason = ConnectionEnd::Rejected);
    /// Refuses a request for which there is no memory, and closes the connection after that.
    void refuseForMemory(const HttpRequest &head);
    /// Sends the answer to the request that is being read, and reads no further.
    void endInput(ConnectionEnd reason, HttpAnswer answer, bool isHead);
    std::uint64_t addPending(bool keepsConnection, bool isSafe);
    /// Reports the end to the monitor unless that has been done.
    void reportEnd(ConnectionEnd reason);
    /// Reports bytes that are read after the end.
    void reportDroppedInput(std::size_t bytes, TimePoint now) const;
    /// Reserves memory for the buffers of the connection. @return whether there is enough.
    bool reserveBuffers();
    void releaseInput();
    /// Sends the answers that are ready and next in order.
    void sendReadyAnswers();
    void flushLocked();
    void finishSendLocked();
    /// Ends a connection without a request as soon as the input that has arrived is processed.
    void closeInputIfIdle(ConnectionEnd reason);
    void lingerLocked(ConnectionEnd reason);
    void closeLocked(ConnectionEnd reason);

    CallerBounds bounds_;
    Options options_;
    RequestHandler handler_;
    std::string caller_;
    mutable std::mutex mutex_;
    Descriptor socket_;
    State state_ = State::Open;
    RequestFramer framer_;
    MemoryReservation buffers_; ///< For input_ and output_; large bodies have their own.
    std::string input_;
    AnswerQueue pending_;
    SendQueue output_;
    bool closesAfterAnswer_ = false;
    ConnectionEnd closeReason_ = ConnectionEnd::Requested; ///< Why the connection closes after an answer.
    std::optional<ConnectionEnd> end_; ///< Once it has been reported.
    bool isEndAnnounced_ = false; ///< By an answer.
    InputState inputState_ = InputState::Open;
    bool closesWhenIdle_ = false; ///< Does not wait for a further request.
    bool hasSentContinue_ = false;
    bool isDispatching_ = false;
    std::optional<Duration> idleTimeout_; ///< The limit that was in force when the connection became idle, if there was one.
    TimePoint timeoutStart_; ///< Start of the current timeout: when the connection became idle, a request's first byte came, or bytes were last sent.
};

} // namespace Cloverbarrow
