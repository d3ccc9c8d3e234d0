/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/time.h"
#include "net/descriptor.h"
#include "net/requestframer.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace Cloverbarrow
{

class CallerConnection;

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
    CallerConnection(int fd, RequestLimits limits, bool halfCloseIsGone, RequestSink sink);

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
    /// Looks after slow callers: those that do not finish sending a request, reading an answer or closing.
    /// @param bound how long each may take.
    void sweep(TimePoint now, Duration bound);

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

    void proceed(std::unique_lock<std::mutex> &lock);
    bool takeRequest(HttpRequest &request);
    void fail(const FramingFault &fault);
    void sendLocked(std::string_view bytes, bool closes);
    void flushLocked();
    void sentLocked();
    void lingerLocked();
    void closeLocked();

    RequestLimits limits_;
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
