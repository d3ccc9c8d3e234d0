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

#include <algorithm>
#include <cerrno>

namespace Cloverbarrow
{

namespace
{

constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
// A connection that is in use keeps a buffer up to this size for its next request.
constexpr std::size_t MaxKeptInput = 64 * 1024;
// After this time without a request it keeps a small one at most, which the usual request does not outgrow.
constexpr Duration KeptInputTime = seconds(1);
constexpr std::size_t MaxIdleInput = 4 * 1024;
// Bytes that a caller may send ahead while requests are in flight; beyond that the connection closes after their answers.
constexpr std::size_t MaxPipelinedBytes = 256 * 1024;
// Share of the idle limit that is announced to callers: a request that is sent at its end arrives before the connection is ended, also on a slow link.
constexpr int AnnouncedIdlePercent = 80;

/// @return whether the request that starts with @p input has a safe method (RFC 9110), so that it may be processed in parallel with others.
bool isSafeRequest(std::string_view input)
{
    return isSafeMethod(input.substr(0, input.find(' ')));
}

} // namespace

CallerConnection::CallerConnection(int fd, const CallerBounds &bounds, const Options &options, RequestHandler handler, std::string caller)
    : bounds_(bounds)
    , options_(options)
    , handler_(std::move(handler))
    , caller_(std::move(caller))
    , socket_(::dup(fd))
    , framer_(options_.memory)
    , buffers_(options_.memory, MemoryUse::Request)
    , idleTimeout_(bounds.idleTimeout)
    , timeoutStart_(bootNow())
{
    if (!socket_.isOpen()) {
        // Requests could be dispatched, but not answered.
        ::shutdown(fd, SHUT_RDWR);
        state_ = State::Closed;
        reportEnd(ConnectionEnd::Unusable);
    }
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
        reportDroppedInput(bytes.size(), now);
        return;
    }
    if (isIdle() && !hasPartialRequest()) {
        timeoutStart_ = now;
    }
    if (!isIdle() && input_.size() + bytes.size() > MaxPipelinedBytes) {
        closesAfterAnswer_ = true;
        closeReason_ = ConnectionEnd::Overflow;
        // Without a further answer nothing would announce the end.
        if (pending_.isEmpty() && !isEndAnnounced_) {
            rejectInput({503, "too many bytes were sent before the answer had been read"}, ConnectionEnd::Overflow);
        }
        return;
    }
    input_.append(bytes);
    dispatchRequests(lock);
    if (input_.empty() && input_.capacity() > MaxKeptInput) {
        releaseInput();
    }
    if (state_ != State::Open || reserveBuffers()) {
        return;
    }
    if (hasPartialRequest()) {
        refuseForMemory({});
    } else {
        releaseInput();
    }
}

void CallerConnection::inputEnded()
{
    const std::unique_lock lock(mutex_);
    if (inputState_ == InputState::Closing || inputState_ == InputState::Closed) {
        inputState_ = InputState::Closed;
        if (isIdle() && hasPartialRequest()) {
            rejectInput({408, "the connection ended before the whole request had arrived"});
        } else if (isIdle()) {
            closeLocked(closeReason_);
        }
        return;
    }
    inputState_ = InputState::EndedByCaller;
    if (isIdle() || state_ == State::Lingering) {
        closeLocked(ConnectionEnd::Caller);
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
        if (options_.monitor) {
            options_.monitor->requestAnswered();
        }
        if (auto *bytes = std::get_if<std::string>(&next->answer)) {
            output_.add(std::move(*bytes));
        } else {
            // Later requests may already be in flight, so only the last answer may close the connection.
            const bool isLast = pending_.isEmpty() && (closesAfterAnswer_ || (inputState_ == InputState::EndedByCaller && !hasPartialRequest()));
            next->closes = next->closes || isLast;
            const auto &answer = std::get<HttpAnswer>(next->answer);
            output_.add(serializeHead(answer, next->isHead, next->closes, announcedIdleTimeout()), hasBody(answer, next->isHead) ? answer.body : Body());
        }
        closesAfterAnswer_ = closesAfterAnswer_ || next->closes;
        isEndAnnounced_ = isEndAnnounced_ || next->closes;
        timeoutStart_ = bootNow();
    }
    flushLocked();
    if (!output_.isEmpty()) {
        static_cast<void>(reserveBuffers());
    }
}

void CallerConnection::closeAfterAnswer()
{
    const std::lock_guard lock(mutex_);
    closesAfterAnswer_ = true;
    closeReason_ = ConnectionEnd::Stop;
}

void CallerConnection::closeGracefully()
{
    const std::unique_lock lock(mutex_);
    closesAfterAnswer_ = true;
    closeReason_ = ConnectionEnd::Stop;
    closesWhenIdle_ = true;
    // A request that has arrived is still handled; its answer announces that the connection closes.
    closeInputIfIdle(ConnectionEnd::Stop);
}

void CallerConnection::callerGone()
{
    const std::lock_guard lock(mutex_);
    closeLocked(ConnectionEnd::Caller);
}

void CallerConnection::abort()
{
    const std::lock_guard lock(mutex_);
    closeLocked(ConnectionEnd::Unusable);
}

bool CallerConnection::isIdle() const
{
    return state_ == State::Open && pending_.isEmpty() && output_.isEmpty();
}

bool CallerConnection::hasPartialRequest() const
{
    return !input_.empty() || framer_.isReadingBody();
}

void CallerConnection::checkTimeouts(TimePoint now)
{
    std::unique_lock lock(mutex_);
    switch (state_) {
    case State::Open:
        if (!output_.isEmpty()) {
            flushLocked();
            if (!output_.isEmpty() && now - timeoutStart_ > bounds_.transferTimeout) {
                closeLocked(ConnectionEnd::NoProgress);
                return;
            }
        }
        dispatchRequests(lock);
        if (closesWhenIdle_) {
            closeInputIfIdle(ConnectionEnd::Stop);
        }
        checkReadTimeouts(now);
        break;
    case State::Lingering:
        if (inputState_ == InputState::Closed && hasPeerClosed()) {
            closeLocked(closeReason_);
        } else if (now - timeoutStart_ > bounds_.transferTimeout) {
            closeLocked(ConnectionEnd::NoProgress);
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
    if (!hasPartialRequest()) {
        if (now - timeoutStart_ > KeptInputTime) {
            if (input_.capacity() > MaxIdleInput) {
                releaseInput();
            }
            // Counts less than before, which is always possible.
            static_cast<void>(reserveBuffers());
        }
        if (isIdleTooLong(now)) {
            closeInputIfIdle(ConnectionEnd::Idle);
        }
        return;
    }
    if (now - timeoutStart_ <= (framer_.isReadingBody() ? bounds_.transferTimeout : bounds_.headTimeout)) {
        return;
    }
    if (hasUnreadBytes(socket_.get())) {
        // This process is late, and not the caller, who may have had to wait until there was room for more.
        timeoutStart_ = now;
    } else {
        rejectInput({408, "the request did not arrive in time"});
    }
}

std::optional<std::chrono::seconds> CallerConnection::announcedIdleTimeout() const
{
    if (!bounds_.idleTimeout) {
        return std::nullopt;
    }
    const auto announced = std::chrono::floor<std::chrono::seconds>(*bounds_.idleTimeout * AnnouncedIdlePercent / 100);
    return announced.count() > 0 ? std::optional(announced) : std::nullopt;
}

bool CallerConnection::isIdleTooLong(TimePoint now) const
{
    // Callers that know the former limit may still rely on it.
    return bounds_.idleTimeout && now - timeoutStart_ > std::max(idleTimeout_.value_or(Duration(0)), *bounds_.idleTimeout);
}

bool CallerConnection::hasPeerClosed() const
{
    const auto status = tcpStatus(socket_.get());
    return status && status->hasPeerClosed;
}

bool CallerConnection::isClosed() const
{
    const std::lock_guard lock(mutex_);
    return state_ == State::Closed;
}

bool CallerConnection::isSending() const
{
    const std::lock_guard lock(mutex_);
    return !output_.isEmpty();
}

bool CallerConnection::isUnfinished() const
{
    const std::lock_guard lock(mutex_);
    const bool isReaderLate = inputState_ != InputState::Closed && closesWhenIdle_ && hasUnreadBytes(socket_.get());
    const bool awaitsReader = inputState_ == InputState::Closing || isReaderLate;
    return !output_.isEmpty() || (state_ == State::Open && awaitsReader);
}

bool CallerConnection::isGone() const
{
    const std::lock_guard lock(mutex_);
    const bool hasCallerClosed = inputState_ == InputState::EndedByCaller || (inputState_ == InputState::Closed && hasPeerClosed());
    if (!socket_.isOpen() || (options_.treatsHalfCloseAsClosed && hasCallerClosed)) {
        return true;
    }
    pollfd entry{socket_.get(), 0, 0};
    // The error of a reset is reported once, which may have been to the listener; after that, the connection is closed in both directions.
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLERR | POLLHUP)) != 0;
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
    if (state_ != State::Open || input_.empty() || !output_.isEmpty()) {
        return false;
    }
    if (pending_.isEmpty()) {
        return true;
    }
    // Requests after the last answer are not processed, so the caller may safely send them again on another connection.
    const bool isSafe = framer_.isReadingBody() ? framer_.isReadingSafeRequest() : isSafeRequest(input_);
    return !closesAfterAnswer_ && pending_.size() < options_.maxRequestsInFlight && pending_.acceptsSafeRequests() && isSafe;
}

bool CallerConnection::extractRequest(HttpRequest &request)
{
    if (!mayDispatchRequest()) {
        return false;
    }
    FramingResult result = framer_.next(input_, bounds_.limits);
    if (const auto *fault = std::get_if<FramingFault>(&result)) {
        rejectInput(*fault);
        return false;
    }
    if (const auto *refused = std::get_if<NoMemoryForBody>(&result)) {
        refuseForMemory(refused->head);
        return false;
    }
    if (const auto *more = std::get_if<NeedsMore>(&result)) {
        if (more->wantsContinue && !hasSentContinue_) {
            hasSentContinue_ = true;
            output_.add(std::string(ContinueAnswer));
            flushLocked();
        }
        return false;
    }
    request = std::move(std::get<HttpRequest>(result));
    if (const auto status = tcpStatus(socket_.get())) {
        request.waited = status->sinceLastData;
    }
    request.number = addPending(request.keepsConnection, isSafeMethod(request.method));
    hasSentContinue_ = false;
    return true;
}

void CallerConnection::rejectInput(const FramingFault &fault, ConnectionEnd reason)
{
    endInput(reason, problemAnswer({fault.status, ExecutionStatus::NotExecuted, "read request", "caller", fault.message, std::nullopt}), false);
}

void CallerConnection::refuseForMemory(const HttpRequest &head)
{
    const MemoryCounts counts = options_.memory->counts();
    endInput(ConnectionEnd::Memory, options_.refusal ? options_.refusal(head, counts) : problemAnswer(memoryProblem(counts)), head.method == "HEAD");
}

void CallerConnection::endInput(ConnectionEnd reason, HttpAnswer answer, bool isHead)
{
    framer_.reset();
    releaseInput();
    closeReason_ = reason;
    pending_.complete(addPending(false, false), {std::move(answer), isHead, true});
    sendReadyAnswers();
}

std::uint64_t CallerConnection::addPending(bool keepsConnection, bool isSafe)
{
    if (options_.monitor) {
        options_.monitor->requestRead();
    }
    return pending_.add(keepsConnection, isSafe);
}

bool CallerConnection::reserveBuffers()
{
    // Short strings need no memory of their own.
    const std::size_t inputBytes = input_.capacity() > std::string().capacity() ? input_.capacity() : 0;
    return buffers_.resize(inputBytes + output_.ownBytes());
}

void CallerConnection::releaseInput()
{
    std::string().swap(input_);
}

void CallerConnection::flushLocked()
{
    if (output_.isEmpty()) {
        return;
    }
    const auto [state, hasProgressed] = output_.sendTo(socket_.get());
    if (hasProgressed) {
        // The timeout is for callers that make no progress, not for slow ones.
        timeoutStart_ = bootNow();
    }
    if (state == SendQueue::State::Failed) {
        closeLocked(ConnectionEnd::Caller);
    } else if (state == SendQueue::State::Sent) {
        finishSendLocked();
    }
}

void CallerConnection::finishSendLocked()
{
    if (!pending_.isEmpty()) {
        return;
    }
    if (isEndAnnounced_ || (inputState_ == InputState::EndedByCaller && !hasPartialRequest())) {
        lingerLocked(isEndAnnounced_ ? closeReason_ : ConnectionEnd::Caller);
        return;
    }
    timeoutStart_ = bootNow();
    idleTimeout_ = bounds_.idleTimeout;
    // What has been sent did not announce the end: an answer that was serialized before the end was requested, or "100 Continue".
    if (closesWhenIdle_) {
        closeInputIfIdle(closeReason_);
    }
}

void CallerConnection::closeInputIfIdle(ConnectionEnd reason)
{
    // With the receiving half shut down, the kernel resets the connection for bytes that come behind the answer, which may then be lost. So a
    // request that already waits is left to the reader.
    if (!isIdle() || hasPartialRequest() || inputState_ != InputState::Open || hasUnreadBytes(socket_.get())) {
        return;
    }
    inputState_ = InputState::Closing;
    closesAfterAnswer_ = true;
    closeReason_ = reason;
    ::shutdown(socket_.get(), SHUT_RD);
}

void CallerConnection::lingerLocked(ConnectionEnd reason)
{
    reportEnd(reason);
    // Closing a socket with unread input resets the connection, and the caller could lose the answer.
    state_ = State::Lingering;
    timeoutStart_ = bootNow();
    ::shutdown(socket_.get(), SHUT_WR);
    if (inputState_ == InputState::EndedByCaller) {
        closeLocked(reason);
    }
}

void CallerConnection::closeLocked(ConnectionEnd reason)
{
    reportEnd(reason);
    state_ = State::Closed;
    if (socket_.isOpen()) {
        // Also shuts down the listener's descriptor, which refers to the same socket.
        ::shutdown(socket_.get(), SHUT_RDWR);
    }
    socket_.reset();
    framer_.reset();
    releaseInput();
    pending_.clear();
    output_.clear();
    buffers_.resize(0);
}

void CallerConnection::reportEnd(ConnectionEnd reason)
{
    if (end_ || !options_.monitor) {
        return;
    }
    end_ = reason;
    const auto status = tcpStatus(socket_.get());
    const UnfinishedWork unfinished{pending_.size(), input_.size() + framer_.bodyBytes(), !output_.isEmpty()};
    options_.monitor->connectionEnded(reason, unfinished, status ? status->sinceLastData : Duration(0));
}

void CallerConnection::reportDroppedInput(std::size_t bytes, TimePoint now) const
{
    if (end_) {
        options_.monitor->inputDropped(*end_, isEndAnnounced_, bytes, now - timeoutStart_);
    }
}

} // namespace Cloverbarrow
