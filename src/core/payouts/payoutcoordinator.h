/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/payouts/payoutrecord.h"
#include "core/requests/serviceevents.h"

#include <cstddef>
#include <map>
#include <string>

namespace Cloverbarrow
{

/// Coordinates the payout instructions that this entry VM handles, so that each is executed at most once: only the creator
/// of an instruction's record sends it, only after the record is certainly stored, and never again once it may have been sent.
class PayoutCoordinator
{
public:
    PayoutCoordinator(Incarnation self, std::string service);

    /// What to do with the request after an event.
    enum class Decision {
        Wait,
        Send, ///< The record is stored and was created by this entry VM; send the request now.
        Finished, ///< The caller has its final answer, and the record needs no more work.
    };

    /// Starts an instruction by creating its record in the store.
    void open(const RequestArrived &request, ServiceActions &actions);
    /// Handles the platform's answer. @param now decides whether there is still time to send the request.
    Decision handleStoreAnswer(const PayoutStoreAnswered &event, TimePoint now, ServiceActions &actions);
    /// The attempt got a complete answer: stores it, then returns it to the caller.
    void handleAnswer(RequestId request, int attempt, const CompleteAnswer &answer, ServiceActions &actions);
    /// The instruction was certainly not sent: stores that, then refuses the request.
    void handleNotSent(RequestId request, const Problem &problem, ServiceActions &actions);
    /// The instruction may have been executed: refuses the request, and stores that its result is unknown.
    void handleLostAnswer(RequestId request, const Problem &problem, ServiceActions &actions);
    /// Repeats store calls without a confirmed result, and answers callers whose deadline has passed.
    void tick(TimePoint now, ServiceActions &actions);

    /// @return the number of instructions whose record is not yet in its final state.
    std::size_t openCount() const;

private:
    enum class Step {
        Creating, ///< The call that creates the record is in flight.
        ReadingBack, ///< The answer to the create call was lost; the record is read to see whether it took effect.
        Reopening, ///< A record in the state Refused is being overwritten by a new attempt at the instruction.
        Sending, ///< The attempt at the backend server is in flight.
        Closing, ///< The final state is being written.
        CheckingClose, ///< The final write was refused or its answer was lost; the record is read to see whether it took effect.
    };

    struct Entry {
        StoreObject object;
        PayoutRecord record;
        std::int64_t version = 0;
        Step step = Step::Creating;
        TimePoint deadline;
        TimePoint nextStoreCall;
        std::optional<ServiceAction> answer; ///< Returned to the caller once the final write has ended.
        bool isCallerAnswered = false;
        bool isStoreCallInFlight = false;
    };

    void callStore(RequestId request, Entry &entry, StoreOperation operation, ServiceActions &actions);
    Decision handleCreated(RequestId request, Entry &entry, std::int64_t version, TimePoint now, ServiceActions &actions);
    Decision handleExistingRecord(RequestId request, Entry &entry, std::int64_t version, const std::optional<PayoutRecord> &found, ServiceActions &actions);
    Decision handleOpeningResult(RequestId request, Entry &entry, const StoreResult &result, TimePoint now, ServiceActions &actions);
    Decision handleClosingResult(RequestId request, Entry &entry, const StoreResult &result, TimePoint now, ServiceActions &actions);
    void writeFinalState(RequestId request, Entry &entry, PayoutState state, ServiceActions &actions);
    void answerWithoutRecord(Entry &entry, ServiceActions &actions);
    void answerCaller(Entry &entry, ServiceActions &actions);
    bool isLocalTry(const Entry &entry, const PayoutRecord &record) const;
    Decision eraseEntry(RequestId request);

    Incarnation self_;
    std::string service_;
    std::uint64_t nextTryNumber_ = 1;
    std::map<RequestId, Entry> entries_;
};

} // namespace Cloverbarrow
