/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"
#include "net/descriptor.h"
#include "net/requestframer.h"

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

/// Takes a whole request; answers by CallerConnection::answer(), now or later, from any thread.
using RequestSink = std::function<void(const std::shared_ptr<CallerConnection> &, HttpRequest)>;

/// One connection of a caller: at most one request in flight, answered in order, however the bytes come.
///
/// It writes through a duplicate of the listener's descriptor. So an answer that comes late can reach only this
/// connection, even when the listener's number has been given to another one meanwhile, and a caller that
/// closed its sending half still gets its answer.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /// @param fd is duplicated. @param halfCloseIsGone whether a caller that closed its sending half wants no answer.
    CallerConnection(int fd, const CallerBounds &bounds, bool halfCloseIsGone, RequestSink sink);

    /// For what comes from now on.
    void setBounds(const CallerBounds &bounds);

    /// Takes bytes from the caller.
    void received(std::string_view bytes, TimePoint now);
    /// The caller will send nothing more.
    void inputEnded();
    /// Sends the answer to the request in flight and goes on with the next.
    void answer(const HttpAnswer &answer, bool isHead);
    /// Sends an answer that is written out already. @param closes whether the connection ends with it.
    void answerBytes(std::string_view bytes, bool closes);
    /// Closes after the next answer; until then a request may come.
    void closeAfterAnswer();
    /// Closes after the request in flight, or now when there is none.
    void closeSoon();
    /// Drops the connection without an answer.
    void abort();
    /// Looks after slow callers, which do not finish sending a request, reading an answer or closing, and after idle ones.
    void sweep(TimePoint now);

    bool isClosed() const;
    /// @return whether part of an answer has not been sent yet.
    bool isSending() const;
    /// @return whether nobody waits for an answer: the connection is reset, or closed as far as that counts.
    bool isGone() const;

private:
    enum class State {
        Reading,
        InFlight, ///< A request is being worked on.
        Sending, ///< The answer is on its way.
        Lingering, ///< Nothing more is sent; waits for the caller to close.
        Closed,
    };

    void sweepReading(TimePoint now);
    void proceed(std::unique_lock<std::mutex> &lock);
    bool takeRequest(HttpRequest &request);
    void fail(const FramingFault &fault);
    void sendLocked(std::string_view bytes, bool closes);
    void flushLocked();
    void sentLocked();
    void lingerLocked();
    void closeLocked();

    CallerBounds bounds_;
    bool halfCloseIsGone_;
    RequestSink sink_;
    mutable std::mutex mutex_;
    Descriptor socket_;
    State state_ = State::Reading;
    std::string input_;
    std::size_t triedSize_ = 0;
    std::string output_;
    std::size_t outputSent_ = 0;
    bool closesAfterAnswer_ = false;
    bool keepsConnection_ = true;
    bool hasInputEnded_ = false;
    bool hasSaidContinue_ = false;
    bool isProceeding_ = false;
    TimePoint since_; ///< When the state was entered, or its first byte came.
};

} // namespace Cloverbarrow
