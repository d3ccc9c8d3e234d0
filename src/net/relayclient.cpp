/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/relayclient.h"

#include "core/support/httpstatus.h"
#include "net/bootclock.h"
#include "net/crashjson.h"
#include "net/relaylistcache.h"
#include "net/relaymessages.h"
#include "net/rolloutmessages.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace Cloverbarrow
{

namespace
{

// A list of 3,000 servers has 100 KB; a relay on a link of 10 Mbit/s needs 6 s to send it to 75 followers, one after the
// other. A relay that has failed is detected much earlier, by the relay checks.
constexpr Duration ListTimeout = seconds(10);
constexpr Duration CheckTimeout = milliseconds(400);
// Answers to checks and exchanges are far shorter; lists are not bounded by it.
constexpr std::size_t MaxExchangeAnswerBytes = 1024 * 1024;
constexpr Duration WatchTimeoutMargin = milliseconds(1500);
// A separate range, so that ids do not collide with those of other users of the client.
constexpr HttpCallId FirstCallId = HttpCallId(3) << 61U;

bool hasStatus(const HttpOutcome &outcome, int status)
{
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    return answer && answer->status == status;
}

/// @return newest revision that the relay had when it sent the list; 0 if the answer does not contain it.
std::int64_t latestIn(const HttpOutcome &outcome)
{
    const auto text = findHeader(std::get<HttpAnswer>(outcome).headers, LatestRevisionHeader);
    std::int64_t latest = 0;
    if (text) {
        std::from_chars(text->data(), text->data() + text->size(), latest);
    }
    return latest;
}

/// @return the proof of store contact in the answer; nothing if there is none, which the relay election reports with the address of the relay.
std::optional<RelayProof> proofIn(const HttpOutcome &outcome)
{
    if (!hasStatus(outcome, HttpStatus::Ok)) {
        return std::nullopt;
    }
    try {
        return decodeProof(std::get<HttpAnswer>(outcome).body);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

/// @return the referral in the answer to a request for a proof; nothing if there is none.
std::optional<RelayReferral> referralIn(const HttpOutcome &outcome, const Log &log, const std::string &peer)
{
    if (!hasStatus(outcome, HttpStatus::Ok) && !hasStatus(outcome, HttpStatus::ServiceUnavailable)) {
        return std::nullopt;
    }
    try {
        return decodeReferral(std::get<HttpAnswer>(outcome).body);
    } catch (const std::exception &exception) {
        log.warn("referral to a relay rejected", {{"peer", peer}, {"reason", exception.what()}});
        return std::nullopt;
    }
}

} // namespace

RelayClient::RelayClient(HttpClient &client, const DirectoryClient &codec)
    : client_(client)
    , codec_(codec)
    , log_("relay")
    , nextCall_(FirstCallId)
{
}

void RelayClient::list(const ListDirectory &action, DirectoryCallback done)
{
    get(action.relay,
        collectionUpdateTarget({action.collection, 0, Duration(0)}),
        ListTimeout,
        [this, action, done = std::move(done)](const HttpOutcome &outcome) {
            std::string failure;
            auto update = decodeUpdate(action.collection, outcome, failure);
            if (update) {
                const std::int64_t latest = std::max(update->revision, latestIn(outcome));
                done({action.call, DirectoryListed{action.collection, std::move(update->entries), false, {}, update->revision, update->storeRevision, latest}});
            } else {
                done({action.call, DirectoryCallFailed{action.collection, "list at relay " + action.relay + ": " + failure}});
            }
        });
}

void RelayClient::watch(const WatchDirectory &action, DirectoryCallback done)
{
    get(action.relay,
        collectionUpdateTarget({action.collection, action.since, action.wait}),
        action.wait + WatchTimeoutMargin,
        [this, action, done = std::move(done)](const HttpOutcome &outcome) {
            std::string failure;
            auto update = decodeUpdate(action.collection, outcome, failure);
            if (update) {
                done({action.call, DirectoryChanged{action.collection, std::move(update->entries), update->revision, update->storeRevision}});
            } else if (hasStatus(outcome, HttpStatus::Gone)) {
                done({action.call, DirectoryHistoryExpired{action.collection}});
            } else {
                done({action.call, DirectoryCallFailed{action.collection, "watch at relay " + action.relay + ": " + failure}});
            }
        });
}

void RelayClient::check(const CheckRelay &action, std::string slowServers, DirectoryCallback done)
{
    const auto handleOutcome = [this, relay = action.relay, done = std::move(done)](const HttpOutcome &outcome) {
        done({0, RelayChecked{relay, proofIn(outcome), referralIn(outcome, log_, relay)}});
    };
    requestProof(action.relay, action.follower, std::move(slowServers), handleOutcome, action.reportsStore ? Headers{{StoreReportHeader, "1"}} : Headers{});
}

void RelayClient::readRevisions(const ReadRelayRevisions &action, std::string slowServers, DirectoryCallback done)
{
    requestProof(action.relay, {}, std::move(slowServers), [relay = action.relay, done = std::move(done)](const HttpOutcome &outcome) {
        done({0, RelayRevisionsRead{relay, proofIn(outcome)}});
    });
}

void RelayClient::sendCrashUpdates(const CrashUpdateOutbox::Delivery &delivery, std::function<void(const CrashDeliveryResult &)> done)
{
    const auto handleOutcome = [this, address = delivery.receiver, done = std::move(done)](const HttpOutcome &outcome) {
        const auto exchange = crashExchangeOutcome(address, outcome);
        if (hasStatus(outcome, HttpStatus::TooManyRequests)) {
            done({CrashUpdateOutbox::Outcome::Refused, exchange});
            return;
        }
        // A receiver that rejects a message rejects it again.
        done({std::holds_alternative<HttpAnswer>(outcome) ? CrashUpdateOutbox::Outcome::Accepted : CrashUpdateOutbox::Outcome::Unanswered, exchange});
    };
    post(delivery.receiver,
         CrashUpdatesTarget,
         encodeCrashUpdates(delivery.message),
         handleOutcome,
         delivery.isUrgent ? Headers{{UrgentHeader, "1"}} : Headers{});
}

CrashExchangeOutcome RelayClient::crashExchangeOutcome(const std::string &address, const HttpOutcome &outcome)
{
    if (!hasStatus(outcome, HttpStatus::Ok) && !hasStatus(outcome, HttpStatus::TooManyRequests)) {
        log_.info("crash updates not accepted", {{"peer", address}});
        return CrashExchangeOutcome::Failed;
    }
    try {
        return decodeCrashUpdatesAnswer(std::get<HttpAnswer>(outcome).body);
    } catch (const std::exception &exception) {
        log_.warn("response to crash updates rejected", {{"peer", address}, {"reason", exception.what()}});
        return CrashExchangeOutcome::ReplyFollows;
    }
}

void RelayClient::sendRolloutReports(const std::string &address, const RolloutReports &reports)
{
    post(address, RolloutReportsTarget, encodeRolloutReports(reports), [this, address](const HttpOutcome &outcome) {
        if (!hasStatus(outcome, HttpStatus::Ok)) {
            log_.info("rollout reports not accepted", {{"peer", address}});
        }
    });
}

void RelayClient::exchangeLimits(const LimitExchange::Message &message, std::function<void(std::optional<LimitUpdate>)> done)
{
    const auto handleOutcome = [this, address = message.peer, done = std::move(done)](const HttpOutcome &outcome) {
        if (!hasStatus(outcome, HttpStatus::Ok)) {
            log_.info("request limit exchange failed", {{"peer", address}});
            done(std::nullopt);
            return;
        }
        try {
            done(decodeLimitUpdate(bootNow(), std::get<HttpAnswer>(outcome).body));
        } catch (const std::exception &exception) {
            log_.warn("request limit update rejected", {{"peer", address}, {"reason", exception.what()}});
            done(std::nullopt);
        }
    };
    post(message.peer, LimitsTarget, encodeLimitUpdate(bootNow(), message.update), handleOutcome);
}

void RelayClient::post(const std::string &address, std::string_view target, std::string body, HttpCallback done, Headers extraHeaders)
{
    HttpCall call;
    call.address = address;
    call.request.method = "POST";
    call.request.target = std::string(target);
    call.request.headers = {{"Host", address}, {"Content-Type", "application/json"}};
    std::move(extraHeaders.begin(), extraHeaders.end(), std::back_inserter(call.request.headers));
    call.request.body = std::move(body);
    call.timeout = CheckTimeout;
    call.maxAnswerBytes = MaxExchangeAnswerBytes;
    call.mayReuseConnection = true;
    client_.start(nextCall_++, std::move(call), std::move(done));
}

void RelayClient::requestProof(const std::string &relay, const std::string &follower, std::string body, HttpCallback done, Headers extraHeaders)
{
    if (body.empty()) {
        get(relay, proofTarget(follower), CheckTimeout, std::move(done), std::move(extraHeaders));
    } else {
        post(relay, proofTarget(follower), std::move(body), std::move(done), std::move(extraHeaders));
    }
}

void RelayClient::get(const std::string &relay, const std::string &target, Duration timeout, HttpCallback done, Headers extraHeaders)
{
    HttpCall call;
    call.address = relay;
    call.request.method = "GET";
    call.request.target = target;
    call.request.headers = {{"Host", relay}};
    std::move(extraHeaders.begin(), extraHeaders.end(), std::back_inserter(call.request.headers));
    call.timeout = timeout;
    call.mayReuseConnection = true;
    call.usesTcpKeepAlive = true;
    call.acceptsGzip = true;
    client_.start(nextCall_++, std::move(call), std::move(done));
}

DirectoryEntry RelayClient::decodeEntry(Collection collection, DirectoryEntry received) const
{
    try {
        return codec_.decode(collection, received.text);
    } catch (const std::exception &exception) {
        // The other entries of the update stay valid.
        received.fault = exception.what();
        return received;
    }
}

std::optional<CollectionUpdate> RelayClient::decodeUpdate(Collection collection, const HttpOutcome &outcome, std::string &failure) const
{
    if (const auto *callFailure = std::get_if<HttpFailure>(&outcome)) {
        failure = callFailure->reason;
        return std::nullopt;
    }
    const auto &answer = std::get<HttpAnswer>(outcome);
    if (answer.status != HttpStatus::Ok) {
        failure = "status " + std::to_string(answer.status);
        return std::nullopt;
    }
    try {
        CollectionUpdate update = decodeCollectionUpdate(answer.body);
        for (DirectoryEntry &entry : update.entries) {
            if (!entry.isDeleted) {
                entry = decodeEntry(collection, std::move(entry));
            }
        }
        return update;
    } catch (const std::exception &exception) {
        failure = exception.what();
        return std::nullopt;
    }
}

} // namespace Cloverbarrow
