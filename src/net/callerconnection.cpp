/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/callerconnection.h"

#include "net/bootclock.h"
#include "net/problemjson.h"
#include "net/tcpstatus.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace Cloverbarrow
{

namespace
{

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
// Input below this size is parsed with every read, larger input only after it has grown by an eighth: each attempt parses all of it.
constexpr std::size_t AlwaysParseBytes = 64 * 1024;
constexpr std::size_t GrowthDivisor = 8;
// Bytes that a caller may send ahead while requests are in flight; beyond that the connection closes after their answers.
constexpr std::size_t MaxPipelinedBytes = 256 * 1024;

/// @return whether the request that starts with @p input has a safe method (RFC 9110), so that it may be processed in parallel with others.
bool isSafeRequest(std::string_view input)
{
    return input.starts_with("GET ") || input.starts_with("HEAD ");
}

} // namespace

CallerConnection::CallerConnection(int fd, const CallerBounds &bounds, const Options &options, RequestHandler handler, std::string caller)
    : bounds_(bounds)
    , options_(options)
    , handler_(std::move(handler))
    , caller_(std::move(caller))
    , socket_(::dup(fd))
    , timeoutStart_(bootNow())
{
}

const std::string &CallerConnection::caller() const
{
    return caller_;
}

void CallerConnection::setBounds(const CallerBounds &bounds)
{
    const std::lock_guard lock(mutex_);
    bounds_ = bounds;
}

void CallerConnection::received(std::string_view bytes, TimePoint now)
{
    std::unique_lock lock(mutex_);
    if (state_ != State::Open) {
        return;
    }
    if (isIdle() && input_.empty()) {
        timeoutStart_ = now;
    }
    if (!isIdle() && input_.size() + bytes.size() > MaxPipelinedBytes) {
        closesAfterAnswer_ = true;
        return;
    }
    input_.append(bytes);
    dispatchRequests(lock);
}

void CallerConnection::inputEnded()
{
    const std::unique_lock lock(mutex_);
    hasInputEnded_ = true;
    if (isIdle() || state_ == State::Lingering) {
        closeLocked();
    }
}

void CallerConnection::answerTo(std::uint64_t number, const HttpAnswer &answer, bool isHead)
{
    std::unique_lock lock(mutex_);
    if (pending_.complete(number, {answer, isHead, false})) {
        sendReadyAnswers();
        dispatchRequests(lock);
    }
}

void CallerConnection::answer(const HttpAnswer &answer, bool isHead)
{
    std::unique_lock lock(mutex_);
    if (pending_.completeFirst({answer, isHead, false})) {
        sendReadyAnswers();
        dispatchRequests(lock);
    }
}

void CallerConnection::answerBytes(std::string_view bytes, bool closes)
{
    std::unique_lock lock(mutex_);
    if (pending_.completeFirst({std::string(bytes), false, closes})) {
        sendReadyAnswers();
        dispatchRequests(lock);
    }
}

void CallerConnection::sendReadyAnswers()
{
    for (auto next = pending_.takeNext(); next; next = pending_.takeNext()) {
        if (const auto *bytes = std::get_if<std::string>(&next->answer)) {
            output_.append(*bytes);
        } else {
            // Later requests may already be in flight, so only the last answer may close the connection.
            const bool isLast = pending_.isEmpty() && (closesAfterAnswer_ || (hasInputEnded_ && input_.empty()));
            next->closes = next->closes || isLast;
            output_.append(serialize(std::get<HttpAnswer>(next->answer), next->isHead, next->closes));
        }
        closesAfterAnswer_ = closesAfterAnswer_ || next->closes;
        timeoutStart_ = bootNow();
    }
    flushLocked();
}

void CallerConnection::closeAfterAnswer()
{
    const std::lock_guard lock(mutex_);
    closesAfterAnswer_ = true;
}

void CallerConnection::closeGracefully()
{
    const std::unique_lock lock(mutex_);
    closesAfterAnswer_ = true;
    // A request that has arrived in part is still handled; its answer announces that the connection closes.
    if (isIdle() && input_.empty()) {
        lingerLocked();
    }
}

void CallerConnection::abort()
{
    const std::lock_guard lock(mutex_);
    closeLocked();
}

bool CallerConnection::isIdle() const
{
    return state_ == State::Open && pending_.isEmpty() && output_.empty();
}

void CallerConnection::checkTimeouts(TimePoint now)
{
    std::unique_lock lock(mutex_);
    switch (state_) {
    case State::Open:
        if (!output_.empty()) {
            flushLocked();
            if (!output_.empty() && now - timeoutStart_ > bounds_.transferTimeout) {
                closeLocked();
                return;
            }
        }
        lastParsedSize_ = 0;
        dispatchRequests(lock);
        checkReadTimeouts(now);
        break;
    case State::Lingering:
        if (now - timeoutStart_ > bounds_.transferTimeout) {
            closeLocked();
        }
        break;
    case State::Closed:
        break;
    }
}

void CallerConnection::checkReadTimeouts(TimePoint now)
{
    if (!isIdle()) {
        return;
    }
    if (input_.empty()) {
        if (bounds_.idleTimeout && now - timeoutStart_ > *bounds_.idleTimeout) {
            lingerLocked();
        }
        return;
    }
    const bool hasHead = input_.find(HeadEnd) != std::string::npos;
    if (now - timeoutStart_ > (hasHead ? bounds_.transferTimeout : bounds_.headTimeout)) {
        rejectInput({408, "the request did not arrive in time"});
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
    return !output_.empty();
}

bool CallerConnection::isGone() const
{
    const std::lock_guard lock(mutex_);
    if (!socket_.isOpen() || (hasInputEnded_ && options_.treatsHalfCloseAsClosed)) {
        return true;
    }
    pollfd entry{socket_.get(), 0, 0};
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & POLLERR) != 0;
}

void CallerConnection::dispatchRequests(std::unique_lock<std::mutex> &lock)
{
    // A handler that answers from within this loop calls this function again; the outer call takes the next request, to avoid recursion.
    if (isDispatching_) {
        return;
    }
    isDispatching_ = true;
    HttpRequest request;
    while (extractRequest(request)) {
        // The handler may answer from within this call, which takes the lock.
        lock.unlock();
        handler_(shared_from_this(), std::move(request));
        lock.lock();
        request = {};
    }
    isDispatching_ = false;
}

bool CallerConnection::mayDispatchRequest() const
{
    if (state_ != State::Open || input_.empty() || !output_.empty()) {
        return false;
    }
    if (pending_.isEmpty()) {
        return true;
    }
    // Requests after the last answer are not processed, so the caller may safely send them again on another connection.
    return !closesAfterAnswer_ && pending_.size() < options_.maxRequestsInFlight && pending_.acceptsSafeRequests() && isSafeRequest(input_);
}

bool CallerConnection::extractRequest(HttpRequest &request)
{
    if (!mayDispatchRequest()) {
        return false;
    }
    const bool hasGrown = input_.size() >= lastParsedSize_ + lastParsedSize_ / GrowthDivisor;
    if (input_.size() > AlwaysParseBytes && !hasGrown && !input_.ends_with("\r\n")) {
        return false;
    }
    lastParsedSize_ = input_.size();
    const bool isSafe = isSafeRequest(input_);
    FramingResult result = frameRequest(input_, bounds_.limits);
    if (const auto *fault = std::get_if<FramingFault>(&result)) {
        rejectInput(*fault);
        return false;
    }
    if (const auto *more = std::get_if<NeedsMore>(&result)) {
        if (more->wantsContinue && !hasSentContinue_) {
            hasSentContinue_ = true;
            output_.append(ContinueAnswer);
            flushLocked();
        }
        return false;
    }
    request = std::move(std::get<HttpRequest>(result));
    if (const auto status = tcpStatus(socket_.get())) {
        request.waited = status->sinceLastData;
    }
    request.number = pending_.add(request.keepsConnection, isSafe);
    hasSentContinue_ = false;
    lastParsedSize_ = 0;
    return true;
}

void CallerConnection::rejectInput(const FramingFault &fault)
{
    input_.clear();
    const Problem problem{fault.status, ExecutionStatus::NotExecuted, "read request", "caller", fault.message, std::nullopt};
    pending_.complete(pending_.add(false, false), {problemAnswer(problem), false, true});
    sendReadyAnswers();
}

void CallerConnection::flushLocked()
{
    if (output_.empty()) {
        return;
    }
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
        // The timeout is for callers that make no progress, not for slow ones.
        timeoutStart_ = bootNow();
    }
    output_.clear();
    outputSent_ = 0;
    finishSendLocked();
}

void CallerConnection::finishSendLocked()
{
    if (!pending_.isEmpty()) {
        return;
    }
    if (closesAfterAnswer_ || (hasInputEnded_ && input_.empty())) {
        lingerLocked();
        return;
    }
    timeoutStart_ = bootNow();
}

void CallerConnection::lingerLocked()
{
    // Closing a socket with unread input resets the connection, and the caller could lose the answer.
    state_ = State::Lingering;
    timeoutStart_ = bootNow();
    ::shutdown(socket_.get(), SHUT_WR);
    if (hasInputEnded_) {
        closeLocked();
    }
}

void CallerConnection::closeLocked()
{
    state_ = State::Closed;
    if (socket_.isOpen()) {
        // Also shuts down the listener's descriptor, which refers to the same socket.
        ::shutdown(socket_.get(), SHUT_RDWR);
    }
    socket_.reset();
    input_.clear();
    pending_.clear();
    output_.clear();
    outputSent_ = 0;
}

} // namespace Cloverbarrow
