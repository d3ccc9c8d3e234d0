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

/// The payout instructions that this entry VM is handling, and the rule of at most once: only the
/// creator of an instruction's record sends it, only after the record certainly stands, and never again
/// once it may have left.
class PayoutLedger
{
public:
    PayoutLedger(Incarnation self, std::string service);

    /// What the request may do after an event.
    enum class Decision {
        Wait,
        Send, ///< The record stands and is this entry VM's own; send now.
        Finished, ///< The caller has its final answer.
    };

    /// Starts an instruction by creating its record.
    void open(const RequestArrived &request, ServiceActions &actions);
    /// Takes the platform's answer; @p now decides whether there is still time to send.
    Decision storeAnswered(const PayoutStoreAnswered &event, TimePoint now, ServiceActions &actions);
    /// The attempt got a whole answer: record it, then pass it.
    void settled(RequestId request, int attempt, const AnsweredWhole &answer, ServiceActions &actions);
    /// The instruction certainly was not sent: record that, then tell the caller.
    void notSent(RequestId request, const Problem &problem, ServiceActions &actions);
    /// The instruction may have been run: tell the caller, record that no answer came.
    void lost(RequestId request, const Problem &problem, ServiceActions &actions);
    /// Tries writes again that the platform has not confirmed.
    void tick(TimePoint now, ServiceActions &actions);

    /// @return instructions whose record is not yet as it should be.
    std::size_t openCount() const;

private:
    enum class Step {
        Creating, ///< The create is under way.
        ReadingBack, ///< The create's answer was lost.
        Reopening, ///< A refused record is being taken over.
        Sending, ///< The attempt is under way.
        Closing, ///< The final state is being written.
        CheckingClose, ///< The final write's answer was lost or refused.
    };

    struct Entry {
        StoreObject object;
        PayoutRecord record;
        std::int64_t version = 0;
        Step step = Step::Creating;
        TimePoint deadline;
        TimePoint nextTry;
        std::optional<ServiceAction> answer; ///< Given to the caller once the final write has ended.
        bool isCallerAnswered = false;
        bool isAsking = false;
    };

    void ask(RequestId request, Entry &entry, StoreOperation operation, ServiceActions &actions);
    Decision created(RequestId request, Entry &entry, std::int64_t version, TimePoint now, ServiceActions &actions);
    Decision foundOther(RequestId request, Entry &entry, std::int64_t version, const std::optional<PayoutRecord> &found, ServiceActions &actions);
    Decision answerOpening(RequestId request, Entry &entry, const StoreResult &result, TimePoint now, ServiceActions &actions);
    Decision answerClosing(RequestId request, Entry &entry, const StoreResult &result, TimePoint now, ServiceActions &actions);
    void close(RequestId request, Entry &entry, PayoutState state, ServiceActions &actions);
    void answerWithoutRecord(Entry &entry, ServiceActions &actions);
    void answerCaller(Entry &entry, ServiceActions &actions);
    bool isOwnTry(const Entry &entry, const PayoutRecord &record) const;
    Decision finish(RequestId request);

    Incarnation self_;
    std::string service_;
    std::uint64_t nextMark_ = 1;
    std::map<RequestId, Entry> entries_;
};

} // namespace Cloverbarrow
