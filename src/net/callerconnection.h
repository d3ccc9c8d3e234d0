/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"
#include "net/answerqueue.h"
#include "net/descriptor.h"
#include "net/requestframer.h"

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

/// What a caller may send, and how long it may take or stay idle.
struct CallerBounds {
    RequestLimits limits;
    Duration headTime = seconds(10); ///< From the first byte of a request to the end of its headers.
    Duration slowTime = seconds(10); ///< For a whole request, for reading an answer and for closing.
    std::optional<Duration> idleTime; ///< Between two requests; nothing: for ever.
};

/// Takes a whole request; answers by CallerConnection::answerTo() or answer(), now or later, from any thread.
using RequestSink = std::function<void(const std::shared_ptr<CallerConnection> &, HttpRequest)>;

/// One connection of a caller. Answers go out in the order of the requests, however these and the answers come.
///
/// Where it may have several requests in flight, those that a caller sends without waiting for answers are taken at once, as long
/// as all of them only read; so a slow answer holds back no work, only the answers behind it.
///
/// It writes through a duplicate of the listener's descriptor. So an answer that comes late can reach only this
/// connection, even when the listener's number has been given to another one meanwhile, and a caller that
/// closed its sending half still gets its answer.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /// How a connection is used, whatever the bounds on callers are.
    struct Use {
        bool halfCloseIsGone = false; ///< A caller that closed its sending half wants no answer.
        std::size_t requestsInFlight = 1; ///< At most; more are read when answers have gone out.
    };

    /// @param fd is duplicated. @param caller IP number at the other end.
    CallerConnection(int fd, const CallerBounds &bounds, const Use &use, RequestSink sink, std::string caller = {});

    /// For what comes from now on.
    void setBounds(const CallerBounds &bounds);

    /// Takes bytes from the caller.
    void received(std::string_view bytes, TimePoint now);
    /// The caller will send nothing more.
    void inputEnded();
    /// Gives the answer to the request with this HttpRequest::number; it is sent when those before it have been answered.
    void answerTo(std::uint64_t number, const HttpAnswer &answer, bool isHead);
    /// Gives the answer to the first request that has none.
    void answer(const HttpAnswer &answer, bool isHead);
    /// The same with an answer that is written out already. @param closes whether the connection ends with it.
    void answerBytes(std::string_view bytes, bool closes);
    /// Closes after the next answer; until then a request may come.
    void closeAfterAnswer();
    /// Closes after the requests in flight, or now when there are none.
    void closeSoon();
    /// Drops the connection without an answer.
    void abort();
    /// Looks after slow callers, which do not finish sending a request, reading an answer or closing, and after idle ones.
    void sweep(TimePoint now);

    /// @return IP number of the caller.
    const std::string &caller() const;
    bool isClosed() const;
    /// @return whether part of an answer has not been sent yet.
    bool isSending() const;
    /// @return whether nobody waits for an answer: the connection is reset, or closed as far as that counts.
    bool isGone() const;

private:
    enum class State {
        Open,
        Lingering, ///< Nothing more is sent; waits for the caller to close.
        Closed,
    };

    bool isIdle() const;
    void sweepReading(TimePoint now);
    void proceed(std::unique_lock<std::mutex> &lock);
    bool mayTakeRequest() const;
    bool takeRequest(HttpRequest &request);
    void fail(const FramingFault &fault);
    /// Writes out the answers that need not wait for others.
    void release();
    void flushLocked();
    void sentLocked();
    void lingerLocked();
    void closeLocked();

    CallerBounds bounds_;
    Use use_;
    RequestSink sink_;
    std::string caller_;
    mutable std::mutex mutex_;
    Descriptor socket_;
    State state_ = State::Open;
    std::string input_;
    std::size_t triedSize_ = 0;
    AnswerQueue pending_;
    std::string output_;
    std::size_t outputSent_ = 0;
    bool closesAfterAnswer_ = false;
    bool hasInputEnded_ = false;
    bool hasSaidContinue_ = false;
    bool isProceeding_ = false;
    TimePoint since_; ///< When the connection became idle, its request's first byte came, or bytes of an answer were last sent.
};

} // namespace Cloverbarrow
