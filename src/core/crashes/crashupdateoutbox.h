/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashupdate.h"
#include "core/support/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Cloverbarrow
{

/// Paces messages with crash updates to each receiver: one is in flight at a time, and what is added meanwhile is merged, so that a receiver that is frozen or
/// refuses messages costs neither memory nor messages. Intervals double when a message is refused and are halved when one is accepted, as in TCP congestion
/// control (Jacobson, 1988), so that the senders of a large fleet share what a receiver admits (CrashUpdateIntake).
class CrashUpdateOutbox
{
public:
    /// Shortest interval between messages to a receiver that are not urgent; a relay forwards updates as often.
    static constexpr Duration MinInterval = milliseconds(100);
    /// Longest interval after refusals: 300 senders with it offer a receiver 47 messages a second, about as many as it admits.
    static constexpr Duration MaxRefusedInterval = milliseconds(6400);
    /// Longest interval after messages without an answer, so that a receiver that was frozen soon has the updates again.
    static constexpr Duration MaxUnansweredInterval = milliseconds(800);
    /// Messages without an answer, in a row, after which what was to be sent is dropped. With the timeout of 0.4 s this takes 3.5 s, longer than a VM is frozen
    /// for without being replaced as a relay.
    static constexpr int MaxUnanswered = 5;
    /// Updates in one message. One of a typical size has 0.5 KB, so that the message takes about four tokens of CrashUpdateIntake.
    static constexpr std::size_t MaxUpdates = 16;
    /// Updates kept for a receiver; more than an entry VM knows (PeerCrashUpdates::MaxProcesses and its own).
    static constexpr std::size_t MaxPending = 80;
    /// Bounds the memory used for receivers that no longer exist.
    static constexpr std::size_t MaxReceivers = 512;

    enum class Outcome {
        Accepted,
        Refused, ///< The receiver has no capacity for further messages now.
        Unanswered,
    };

    struct Delivery {
        std::string receiver;
        CrashUpdateMessage message;
        bool isUrgent = false;
    };

    /// @param isUrgent whether the updates may make a request blocked that would otherwise crash a further server.
    void add(const std::string &receiver, const CrashUpdateMessage &message, bool isUrgent);
    /// @return messages to send now. onOutcome() must be called for each.
    std::vector<Delivery> takeDue(TimePoint now);
    void onOutcome(TimePoint now, const std::string &receiver, Outcome outcome);

private:
    using Process = std::pair<std::string, std::string>; ///< Names of entry VM and process.

    struct Receiver {
        std::map<Process, CrashUpdate> pending;
        CrashUpdateMessage request; ///< Contains no updates.
        bool isUrgent = false;
        bool isInFlight = false;
        Delivery sent; ///< Message in flight.
        int unanswered = 0;
        Duration interval = MinInterval;
        TimePoint nextAt;
        TimePoint nextUrgentAt;

        bool isEmpty() const;
    };

    static void merge(Receiver &receiver, const CrashUpdateMessage &message);
    static Delivery takeMessage(const std::string &address, Receiver &receiver);
    void dropIdleReceivers();

    std::map<std::string, Receiver> receivers_; ///< By address.
};

} // namespace Cloverbarrow
