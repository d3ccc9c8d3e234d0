/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/payouts/payoutcoordinator.h"

namespace Cloverbarrow
{

namespace
{

constexpr Duration RetryPause = milliseconds(200);
constexpr Duration RetryAfterOutage = seconds(5);
constexpr Duration RetryAfterUnfinished = seconds(2);

Problem storeUnavailable()
{
    return {503, ExecutionStatus::NotExecuted, "record payout", "platform", "the platform does not answer, so the payout was not sent", RetryAfterOutage};
}

Problem notSentInTime()
{
    // Nothing was sent, but the record may have been created; it is set to its final state in the background.
    return {503, ExecutionStatus::NotExecuted, "record payout", "platform", "the payout was not sent in time", RetryAfterOutage};
}

Problem keyReused()
{
    return {422, ExecutionStatus::NotExecuted, "record payout", "platform", "the idempotency key was used before with another request", std::nullopt};
}

Problem unreadableRecord()
{
    return {409, ExecutionStatus::Unknown, "read payout record", "platform", "the record under this idempotency key cannot be read", std::nullopt};
}

Problem resultNotStored(const PayoutRecord &record)
{
    return {409,
            ExecutionStatus::Unknown,
            "read payout record",
            record.creator.name,
            "the instruction was run and answered with status " + std::to_string(record.status) + "; its answer was too long to keep",
            std::nullopt};
}

Problem resultUnknown(const PayoutRecord &record)
{
    return {409,
            ExecutionStatus::Unknown,
            "read payout record",
            record.creator.name,
            "the instruction was accepted before and its result is not known; it is not sent again",
            RetryAfterUnfinished};
}

} // namespace

PayoutCoordinator::PayoutCoordinator(Incarnation self, std::string service)
    : self_(std::move(self))
    , service_(std::move(service))
{
}

void PayoutCoordinator::open(const RequestArrived &request, ServiceActions &actions)
{
    Entry entry;
    entry.object = payoutObject(service_, request.idempotencyKey);
    entry.record = {PayoutState::Intent, request.digest, self_, nextTryNumber_++, 0, {}, {}, true};
    entry.deadline = request.deadline;
    Entry &stored = entries_.insert_or_assign(request.request, std::move(entry)).first->second;
    callStore(request.request, stored, StoreWrite{0, encodePayout(stored.record)}, actions);
}

PayoutCoordinator::Decision PayoutCoordinator::handleStoreAnswer(const PayoutStoreAnswered &event, TimePoint now, ServiceActions &actions)
{
    const auto found = entries_.find(event.request);
    if (found == entries_.end()) {
        return Decision::Finished;
    }
    Entry &entry = found->second;
    entry.isStoreCallInFlight = false;
    entry.nextStoreCall = now + RetryPause;
    switch (entry.step) {
    case Step::Creating:
    case Step::ReadingBack:
    case Step::Reopening:
        return handleOpeningResult(event.request, entry, event.result, now, actions);
    case Step::Closing:
    case Step::CheckingClose:
        return handleClosingResult(event.request, entry, event.result, now, actions);
    case Step::Sending:
        break;
    }
    return Decision::Wait;
}

PayoutCoordinator::Decision PayoutCoordinator::handleOpeningResult(
    RequestId request, Entry &entry, const StoreResult &result, TimePoint now, ServiceActions &actions)
{
    if (const auto *written = std::get_if<StoreWritten>(&result)) {
        return handleCreated(request, entry, written->version, now, actions);
    }
    if (const auto *found = std::get_if<StoreFound>(&result)) {
        const auto record = decodePayout(found->value);
        const bool isLocal = record && isLocalTry(entry, *record);
        return isLocal ? handleCreated(request, entry, found->version, now, actions) : handleExistingRecord(request, entry, found->version, record, actions);
    }
    const bool isLost = std::holds_alternative<StoreOutcomeUnknown>(result);
    const bool isReadBack = entry.step == Step::ReadingBack;
    if (std::holds_alternative<StoreUnavailable>(result) && !isReadBack) {
        actions.emplace_back(Refuse{request, storeUnavailable()});
        return eraseEntry(request);
    }
    if (std::holds_alternative<StoreMissing>(result) && entry.isCallerAnswered) {
        // The lost create call may still take effect; tick() reads the record again until this is no longer possible.
        return now > entry.deadline + RetryAfterOutage ? eraseEntry(request) : Decision::Wait;
    }
    entry.step = Step::ReadingBack;
    if (now >= entry.deadline) {
        entry.answer = Refuse{request, notSentInTime()};
        answerCaller(entry, actions);
        return Decision::Wait;
    }
    if (std::holds_alternative<StoreMissing>(result)) {
        // Repeats the same create call. If the lost one takes effect first, its record has the same try number and is recognized.
        callStore(request, entry, StoreWrite{0, encodePayout(entry.record)}, actions);
    } else if (isLost || std::holds_alternative<StoreConflict>(result)) {
        callStore(request, entry, StoreRead{}, actions);
    }
    return Decision::Wait;
}

PayoutCoordinator::Decision PayoutCoordinator::handleCreated(RequestId request, Entry &entry, std::int64_t version, TimePoint now, ServiceActions &actions)
{
    entry.version = version;
    if (entry.isCallerAnswered || now >= entry.deadline) {
        // The caller has been refused or the deadline has passed: nothing was sent and nothing will be.
        if (!entry.isCallerAnswered) {
            entry.answer = Refuse{request, notSentInTime()};
        }
        writeFinalState(request, entry, PayoutState::Refused, actions);
        return Decision::Wait;
    }
    entry.step = Step::Sending;
    return Decision::Send;
}

PayoutCoordinator::Decision PayoutCoordinator::handleExistingRecord(
    RequestId request, Entry &entry, std::int64_t version, const std::optional<PayoutRecord> &found, ServiceActions &actions)
{
    if (entry.isCallerAnswered) {
        return eraseEntry(request);
    }
    if (!found) {
        actions.emplace_back(Refuse{request, unreadableRecord()});
        return eraseEntry(request);
    }
    if (found->digest != entry.record.digest) {
        actions.emplace_back(Refuse{request, keyReused()});
        return eraseEntry(request);
    }
    switch (found->state) {
    case PayoutState::Settled:
        if (!found->isResultComplete) {
            actions.emplace_back(Refuse{request, resultNotStored(*found)});
            return eraseEntry(request);
        }
        actions.emplace_back(ReplayAnswer{request, found->status, found->contentType, found->result});
        return eraseEntry(request);
    case PayoutState::Refused:
        entry.step = Step::Reopening;
        callStore(request, entry, StoreWrite{version, encodePayout(entry.record)}, actions);
        return Decision::Wait;
    case PayoutState::Intent:
    case PayoutState::Unknown:
        break;
    }
    actions.emplace_back(Refuse{request, resultUnknown(*found)});
    return eraseEntry(request);
}

void PayoutCoordinator::handleAnswer(RequestId request, int attempt, const CompleteAnswer &answer, ServiceActions &actions)
{
    if (const auto found = entries_.find(request); found != entries_.end()) {
        Entry &entry = found->second;
        entry.record.status = answer.status;
        entry.record.contentType = answer.contentType;
        entry.record.result = answer.shortResult;
        entry.record.isResultComplete = answer.isResultComplete;
        entry.answer = ReturnAnswer{request, attempt};
        writeFinalState(request, entry, PayoutState::Settled, actions);
    }
}

void PayoutCoordinator::handleNotSent(RequestId request, const Problem &problem, ServiceActions &actions)
{
    if (const auto found = entries_.find(request); found != entries_.end()) {
        found->second.answer = Refuse{request, problem};
        writeFinalState(request, found->second, PayoutState::Refused, actions);
    }
}

void PayoutCoordinator::handleLostAnswer(RequestId request, const Problem &problem, ServiceActions &actions)
{
    if (const auto found = entries_.find(request); found != entries_.end()) {
        found->second.answer = Refuse{request, problem};
        answerCaller(found->second, actions);
        writeFinalState(request, found->second, PayoutState::Unknown, actions);
    }
}

void PayoutCoordinator::tick(TimePoint now, ServiceActions &actions)
{
    for (auto &[request, entry] : entries_) {
        const bool isOpening = entry.step == Step::ReadingBack || entry.step == Step::Creating || entry.step == Step::Reopening;
        if (isOpening && now >= entry.deadline && !entry.isCallerAnswered) {
            entry.answer = Refuse{request, notSentInTime()};
            answerCaller(entry, actions);
        }
        const bool isClosing = entry.step == Step::Closing || entry.step == Step::CheckingClose;
        if (isClosing && now >= entry.deadline) {
            answerWithoutRecord(entry, actions);
        }
        if (entry.isStoreCallInFlight || entry.step == Step::Sending || now < entry.nextStoreCall) {
            continue;
        }
        if (entry.step == Step::Closing) {
            callStore(request, entry, StoreWrite{entry.version, encodePayout(entry.record)}, actions);
        } else {
            callStore(request, entry, StoreRead{}, actions);
        }
    }
}

std::size_t PayoutCoordinator::openCount() const
{
    return entries_.size();
}

bool PayoutCoordinator::isLocalTry(const Entry &entry, const PayoutRecord &record) const
{
    return record.creator == self_ && record.tryNumber == entry.record.tryNumber;
}

void PayoutCoordinator::writeFinalState(RequestId request, Entry &entry, PayoutState state, ServiceActions &actions)
{
    entry.record.state = state;
    entry.step = Step::Closing;
    callStore(request, entry, StoreWrite{entry.version, encodePayout(entry.record)}, actions);
}

PayoutCoordinator::Decision PayoutCoordinator::handleClosingResult(
    RequestId request, Entry &entry, const StoreResult &result, TimePoint now, ServiceActions &actions)
{
    if (std::holds_alternative<StoreWritten>(result)) {
        answerCaller(entry, actions);
        return eraseEntry(request);
    }
    if (const auto *found = std::get_if<StoreFound>(&result)) {
        const auto record = decodePayout(found->value);
        if (!record || !isLocalTry(entry, *record) || record->state == entry.record.state) {
            // The record already has its final state. If it was reopened since, it belongs to the newer try.
            answerCaller(entry, actions);
            return eraseEntry(request);
        }
        entry.version = found->version;
        entry.step = Step::Closing;
        callStore(request, entry, StoreWrite{entry.version, encodePayout(entry.record)}, actions);
        return Decision::Wait;
    }
    if (std::holds_alternative<StoreMissing>(result)) {
        answerCaller(entry, actions);
        return eraseEntry(request);
    }
    answerWithoutRecord(entry, actions);
    entry.step = Step::CheckingClose;
    entry.nextStoreCall = now + RetryPause;
    return Decision::Wait;
}

void PayoutCoordinator::answerWithoutRecord(Entry &entry, ServiceActions &actions)
{
    // The answer of a backend server is returned even if it cannot be recorded. A refusal states "not executed" only when the record has its
    // final state, since a retry of the caller would otherwise be answered with "unknown".
    if (entry.answer && !entry.isCallerAnswered) {
        if (auto *refusal = std::get_if<Refuse>(&*entry.answer)) {
            refusal->problem.executionStatus = ExecutionStatus::Unknown;
            refusal->problem.detail += "; its record could not be closed yet";
        }
    }
    answerCaller(entry, actions);
}

void PayoutCoordinator::answerCaller(Entry &entry, ServiceActions &actions)
{
    if (entry.answer && !entry.isCallerAnswered) {
        actions.push_back(*entry.answer);
    }
    entry.answer.reset();
    entry.isCallerAnswered = true;
}

void PayoutCoordinator::callStore(RequestId request, Entry &entry, StoreOperation operation, ServiceActions &actions)
{
    entry.isStoreCallInFlight = true;
    actions.emplace_back(CallPayoutStore{request, StoreCall{entry.object, std::move(operation)}});
}

PayoutCoordinator::Decision PayoutCoordinator::eraseEntry(RequestId request)
{
    entries_.erase(request);
    return Decision::Finished;
}

} // namespace Cloverbarrow
