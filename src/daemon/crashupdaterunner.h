/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashupdateintake.h"
#include "core/crashes/crashupdateoutbox.h"
#include "core/directory/directoryevents.h"
#include "daemon/eventhandler.h"
#include "net/log.h"
#include "net/relayclient.h"
#include "net/relayserver.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <span>
#include <string>

namespace Cloverbarrow
{

/// Sends and receives crash updates. Received messages are only stored until the next tick, so that neither the thread that answers followers nor the one
/// that receives configurations waits for them.
class CrashUpdateRunner
{
public:
    using OutcomeCallback = std::function<void(const CrashDeliveryResult &)>;
    /// Sends a message and calls the callback once, from any thread.
    using Sender = std::function<void(const CrashUpdateOutbox::Delivery &delivery, OutcomeCallback done)>;
    /// Records that one entry VM requested crash updates or that another one replied with its updates. Either may be empty.
    using PeerRecorder = std::function<void(const std::string &requester, const std::string &replier)>;

    /// Receives what the response to a request for a peer's crash updates tells.
    using AnswerRecorder = std::function<void(const CrashUpdatesAnswered &)>;

    CrashUpdateRunner(EventHandler &events, Sender sender, PeerRecorder recorder, AnswerRecorder answerRecorder);

    /// An accepted message of another entry VM is handled by the next tick(); the sender of another one may send it again later.
    CrashUpdatesResponse accept(const std::string &text, bool isUrgent);
    void send(const SendCrashUpdates &message);
    /// Handles received messages and sends those that are due. Call many times a second, from one thread.
    void tick();
    /// @param hasUpdates whether this entry VM has updates to send on request. Until this is known, responses announce them.
    void setHasUpdates(bool hasUpdates);
    CrashMessageCounts counts() const;

private:
    void handleReceived();
    void sendDue();
    void logReceived(std::span<const CrashUpdateMessage> messages) const;

    EventHandler &events_;
    Sender sender_;
    PeerRecorder recorder_;
    AnswerRecorder answerRecorder_;
    std::atomic<bool> hasUpdates_{true};
    Log log_;
    mutable std::mutex mutex_;
    CrashUpdateIntake intake_; ///< Guarded by mutex_.
    CrashUpdateOutbox outbox_; ///< Guarded by mutex_.
};

} // namespace Cloverbarrow
