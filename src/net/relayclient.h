/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashupdateoutbox.h"
#include "net/directoryclient.h"
#include "net/httpclient.h"
#include "net/log.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// Result of sending crash updates to another entry VM.
struct CrashDeliveryResult {
    CrashUpdateOutbox::Outcome delivery = CrashUpdateOutbox::Outcome::Unanswered;
    CrashExchangeOutcome exchange = CrashExchangeOutcome::Failed; ///< Whether the receiver sends its own updates, if they were requested.
};

/// Client of the relay endpoints of other entry VMs: reads the directory from the relay of the availability zone, and sends crash
/// updates and reports on request limits. Each callback is called once, from another thread.
class RelayClient
{
public:
    /// @param codec decodes the objects, which a relay forwards without decoding them.
    RelayClient(HttpClient &client, const DirectoryClient &codec);

    void list(const ListDirectory &action, DirectoryCallback done);
    void watch(const WatchDirectory &action, DirectoryCallback done);
    /// @param slowServers encoded reports on slow servers to send with the request; may be empty.
    void check(const CheckRelay &action, std::string slowServers, DirectoryCallback done);
    void readRevisions(const ReadRelayRevisions &action, std::string slowServers, DirectoryCallback done);
    /// Sends reports on request limits to another entry VM. @param done receives the reports of that entry VM, or nothing if it did not answer.
    void exchangeLimits(const LimitExchange::Message &message, std::function<void(std::optional<LimitUpdate>)> done);
    /// Sends counts of answers by version to another entry VM. Lost messages are harmless, since each contains all counts.
    void sendRolloutReports(const std::string &address, const RolloutReports &reports);
    /// Sends crash updates to another entry VM. Lost messages are harmless: updates are sent again, and the store receives their content as well.
    /// @param done receives the result.
    void sendCrashUpdates(const CrashUpdateOutbox::Delivery &delivery, std::function<void(const CrashDeliveryResult &)> done);

private:
    /// @return what the response to crash updates tells. Logs a failure.
    CrashExchangeOutcome crashExchangeOutcome(const std::string &address, const HttpOutcome &outcome);
    void post(const std::string &address, std::string_view target, std::string body, HttpCallback done, Headers extraHeaders = {});
    void get(const std::string &relay, const std::string &target, Duration timeout, HttpCallback done, Headers extraHeaders = {});
    /// Requests a proof. @param body sent with the request if it is not empty.
    void requestProof(const std::string &relay, const std::string &follower, std::string body, HttpCallback done, Headers extraHeaders = {});
    /// @return the entry with its value, or with the fault of its text.
    DirectoryEntry decodeEntry(Collection collection, DirectoryEntry received) const;
    /// @return the update; nothing if there is no valid answer. @param failure receives the reason.
    std::optional<CollectionUpdate> decodeUpdate(Collection collection, const HttpOutcome &outcome, std::string &failure) const;

    HttpClient &client_;
    const DirectoryClient &codec_;
    Log log_;
    std::atomic<HttpCallId> nextCall_;
};

} // namespace Cloverbarrow
