/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/callerconnection.h"

#include "net/bootclock.h"
#include "net/problemjson.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace Cloverbarrow
{

namespace
{

constexpr std::string_view EndOfHead = "\r\n\r\n";
constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
// Bodies below this size are looked at with every piece; larger ones each time they have grown by an eighth.
constexpr std::size_t AlwaysTry = 64 * 1024;
constexpr std::size_t GrowthPart = 8;
// Beyond the request in flight a caller may send this much; then the connection ends after the answer.
constexpr std::size_t MaxAhead = 256 * 1024;

} // namespace

CallerConnection::CallerConnection(int fd, const CallerBounds &bounds, bool halfCloseIsGone, RequestSink sink)
    : bounds_(bounds)
    , halfCloseIsGone_(halfCloseIsGone)
    , sink_(std::move(sink))
    , socket_(::dup(fd))
    , since_(bootNow())
{
}

void CallerConnection::setBounds(const CallerBounds &bounds)
{
    const std::lock_guard lock(mutex_);
    bounds_ = bounds;
}

void CallerConnection::received(std::string_view bytes, TimePoint now)
{
    std::unique_lock lock(mutex_);
    if (state_ == State::Lingering || state_ == State::Closed) {
        return;
    }
    if (state_ == State::Reading && input_.empty()) {
        since_ = now;
    }
    if (state_ != State::Reading && input_.size() + bytes.size() > MaxAhead) {
        closesAfterAnswer_ = true;
        return;
    }
    input_.append(bytes);
    proceed(lock);
}

void CallerConnection::inputEnded()
{
    const std::unique_lock lock(mutex_);
    hasInputEnded_ = true;
    if (state_ == State::Reading || state_ == State::Lingering) {
        closeLocked();
    }
}

void CallerConnection::answer(const HttpAnswer &answer, bool isHead)
{
    std::unique_lock lock(mutex_);
    if (state_ != State::InFlight) {
        return;
    }
    const bool closes = closesAfterAnswer_ || !keepsConnection_ || (hasInputEnded_ && input_.empty());
    sendLocked(serialize(answer, isHead, closes), closes);
    proceed(lock);
}

void CallerConnection::answerBytes(std::string_view bytes, bool closes)
{
    std::unique_lock lock(mutex_);
    if (state_ == State::InFlight) {
        sendLocked(bytes, closes);
        proceed(lock);
    }
}

void CallerConnection::closeAfterAnswer()
{
    const std::lock_guard lock(mutex_);
    closesAfterAnswer_ = true;
}

void CallerConnection::closeSoon()
{
    const std::unique_lock lock(mutex_);
    closesAfterAnswer_ = true;
    // A request that has begun to arrive is still taken; its answer says that the connection closes.
    if (state_ == State::Reading && input_.empty()) {
        lingerLocked();
    }
}

void CallerConnection::abort()
{
    const std::lock_guard lock(mutex_);
    closeLocked();
}

void CallerConnection::sweep(TimePoint now)
{
    std::unique_lock lock(mutex_);
    switch (state_) {
    case State::Reading:
        triedSize_ = 0;
        proceed(lock);
        sweepReading(now);
        break;
    case State::Sending:
        flushLocked();
        if (state_ == State::Sending && now - since_ > bounds_.slowTime) {
            closeLocked();
        }
        proceed(lock);
        break;
    case State::Lingering:
        if (now - since_ > bounds_.slowTime) {
            closeLocked();
        }
        break;
    case State::InFlight:
    case State::Closed:
        break;
    }
}

void CallerConnection::sweepReading(TimePoint now)
{
    if (state_ != State::Reading) {
        return;
    }
    if (input_.empty()) {
        if (bounds_.idleTime && now - since_ > *bounds_.idleTime) {
            lingerLocked();
        }
        return;
    }
    const bool hasHead = input_.find(EndOfHead) != std::string::npos;
    if (now - since_ > (hasHead ? bounds_.slowTime : bounds_.headTime)) {
        fail({408, "the request did not arrive in time"});
    }
}

bool CallerConnection::isClosed() const
{
    const std::lock_guard lock(mutex_);
    return state_ == State::Closed;
}

bool CallerConnection::isSending() const
{
    const std::lock_guard lock(mutex_);
    return state_ == State::Sending;
}

bool CallerConnection::isGone() const
{
    const std::lock_guard lock(mutex_);
    if (!socket_.isOpen() || (hasInputEnded_ && halfCloseIsGone_)) {
        return true;
    }
    pollfd entry{socket_.get(), 0, 0};
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & POLLERR) != 0;
}

void CallerConnection::proceed(std::unique_lock<std::mutex> &lock)
{
    // Whoever is already in the loop takes the next request too; answers given from within would else nest.
    if (isProceeding_) {
        return;
    }
    isProceeding_ = true;
    HttpRequest request;
    while (takeRequest(request)) {
        // The sink may answer at once, from this very call.
        lock.unlock();
        sink_(shared_from_this(), std::move(request));
        lock.lock();
        request = {};
    }
    isProceeding_ = false;
}

bool CallerConnection::takeRequest(HttpRequest &request)
{
    if (state_ != State::Reading || input_.empty()) {
        return false;
    }
    const bool hasGrown = input_.size() >= triedSize_ + triedSize_ / GrowthPart;
    if (input_.size() > AlwaysTry && !hasGrown && !input_.ends_with("\r\n")) {
        return false;
    }
    triedSize_ = input_.size();
    FramingResult result = frameRequest(input_, bounds_.limits);
    if (const auto *fault = std::get_if<FramingFault>(&result)) {
        fail(*fault);
        return false;
    }
    if (const auto *more = std::get_if<NeedsMore>(&result)) {
        if (more->wantsContinue && !hasSaidContinue_) {
            hasSaidContinue_ = true;
            output_.append(ContinueAnswer);
            flushLocked();
        }
        return false;
    }
    request = std::move(std::get<HttpRequest>(result));
    keepsConnection_ = request.keepsConnection;
    hasSaidContinue_ = false;
    triedSize_ = 0;
    state_ = State::InFlight;
    return true;
}

void CallerConnection::fail(const FramingFault &fault)
{
    input_.clear();
    const Problem problem{fault.status, Fate::NotRun, "read request", "caller", fault.message, std::nullopt};
    sendLocked(serialize(problemAnswer(problem), false, true), true);
}

void CallerConnection::sendLocked(std::string_view bytes, bool closes)
{
    closesAfterAnswer_ = closesAfterAnswer_ || closes;
    output_.append(bytes);
    state_ = State::Sending;
    since_ = bootNow();
    flushLocked();
}

void CallerConnection::flushLocked()
{
    while (outputSent_ < output_.size()) {
        const ssize_t sent = ::send(socket_.get(), output_.data() + outputSent_, output_.size() - outputSent_, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0) {
            if (errno != EAGAIN && errno != EWOULDBLOCK) {
                closeLocked();
            }
            return;
        }
        outputSent_ += static_cast<std::size_t>(sent);
        // A slow reader is not a silent one.
        since_ = bootNow();
    }
    output_.clear();
    outputSent_ = 0;
    if (state_ == State::Sending) {
        sentLocked();
    }
}

void CallerConnection::sentLocked()
{
    if (closesAfterAnswer_ || (hasInputEnded_ && input_.empty())) {
        lingerLocked();
        return;
    }
    state_ = State::Reading;
    since_ = bootNow();
}

void CallerConnection::lingerLocked()
{
    // Closing with unread bytes would reset the connection and could take the answer with it.
    state_ = State::Lingering;
    since_ = bootNow();
    ::shutdown(socket_.get(), SHUT_WR);
    if (hasInputEnded_) {
        closeLocked();
    }
}

void CallerConnection::closeLocked()
{
    state_ = State::Closed;
    if (socket_.isOpen()) {
        // Also ends the listener's descriptor of the same connection.
        ::shutdown(socket_.get(), SHUT_RDWR);
    }
    socket_.reset();
    input_.clear();
    output_.clear();
    outputSent_ = 0;
}

} // namespace Cloverbarrow
