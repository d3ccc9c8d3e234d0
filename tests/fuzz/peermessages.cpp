/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "decoders.h"
#include "net/crashjson.h"
#include "net/forwarding.h"
#include "net/quotamessages.h"
#include "net/relaymessages.h"
#include "net/rolloutmessages.h"
#include "net/slowservermessages.h"
#include "storeobject.h"

#include <array>
#include <exception>
#include <optional>

namespace Cloverbarrow::Tests
{

namespace
{

constexpr TimePoint Now(std::chrono::hours(1));
// Reports are passed on some time after they were received.
constexpr Duration Delay = seconds(10);

/// @return what @p decode returns; nothing if it rejects its input.
template<typename Decode>
auto accepted(Decode decode) -> std::optional<decltype(decode())>
{
    try {
        return decode();
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

void decodeList(std::string_view text)
{
    const auto update = accepted([&] { return decodeCollectionUpdate(text); });
    if (!update) {
        return;
    }
    const CollectionUpdate again = decodeCollectionUpdate(encodeCollectionUpdate(*update));
    require(again.revision == update->revision && again.storeRevision == update->storeRevision, "revisions are encoded as decoded");
    require(again.entries.size() == update->entries.size(), "all entries are encoded");
    for (std::size_t index = 0; index < again.entries.size(); ++index) {
        require(again.entries[index].text == update->entries[index].text, "texts are encoded as decoded");
        accepted([&] { return Platform::readObject(Collection::Servers, again.entries[index].text, again.entries[index].isDeleted); });
    }
}

void decodeRelayProof(std::string_view text)
{
    const auto proof = accepted([&] { return decodeProof(text); });
    if (!proof) {
        return;
    }
    requireUsable(proof->age);
    const RelayProof again = decodeProof(encodeProof(*proof));
    require(again.age == proof->age && again.entryVms == proof->entryVms && again.newestRevisions == proof->newestRevisions, "proofs are encoded as decoded");
    require(again.standbys == proof->standbys && again.slowServers == proof->slowServers, "proofs are encoded as decoded");
    accepted([&] { return decodeSlowServers(Now, proof->slowServers); });
}

void decodeCrashes(std::string_view text)
{
    if (const auto message = accepted([&] { return decodeCrashUpdates(text); })) {
        require(decodeCrashUpdates(encodeCrashUpdates(*message)) == *message, "crash updates are encoded as decoded");
    }
    accepted([&] { return decodeCrashUpdatesAnswer(text); });
}

void decodeLimits(std::string_view text)
{
    const auto update = accepted([&] { return decodeLimitUpdate(Now, text); });
    if (!update) {
        return;
    }
    for (const LimitReport &report : update->reports) {
        requireUsable(Now - report.observedAt);
    }
    require(decodeLimitUpdate(Now + Delay, encodeLimitUpdate(Now + Delay, *update)) == *update, "reports on limits are passed on as decoded");
}

void decodeQuotaClaims(std::string_view text)
{
    if (const auto request = accepted([&] { return decodeQuotaRequest(text); })) {
        if (request->historyLength != Duration::max()) {
            requireUsable(request->historyLength);
        }
        require(decodeQuotaRequest(encodeQuotaRequest(*request)) == *request, "claims are encoded as decoded");
    }
}

void decodeQuotaGrants(std::string_view text)
{
    const auto answer = accepted([&] { return decodeQuotaAnswer(text); });
    if (!answer) {
        return;
    }
    for (const QuotaGrant &grant : answer->grants) {
        requireUsable(grant.retryAfter);
    }
    require(decodeQuotaAnswer(encodeQuotaAnswer(*answer)) == *answer, "grants are encoded as decoded");
}

void decodeRollouts(std::string_view text)
{
    const auto reports = accepted([&] { return decodeRolloutReports(text); });
    if (!reports) {
        return;
    }
    VersionEvidence total;
    for (const RolloutReport &report : reports->reports) {
        requireUsable(report.age);
        total.add(report.evidence);
    }
    for (const auto &[objective, comparison] : total.byObjective()) {
        const auto &[answers, failures, slow] = comparison.target;
        require(answers >= 0 && failures >= 0 && slow >= 0 && failures + slow <= answers, "counts of answers can be added up");
    }
    total.verdict();
    require(decodeRolloutReports(encodeRolloutReports(*reports)) == *reports, "counts of answers are encoded as decoded");
}

void decodeSlowServerReports(std::string_view text)
{
    if (const auto message = accepted([&] { return decodeSlowServers(Now, text); })) {
        require(decodeSlowServers(Now, encodeSlowServers(Now, *message)) == *message, "reports on slow servers are encoded as decoded");
    }
}

void decodeForwarded(std::string_view text)
{
    const auto request = decodeForwardedRequest(text);
    if (!request) {
        return;
    }
    requireUsable(request->arrival.deadline.time_since_epoch());
    requireUsable(request->arrival.latencyObjective);
    requireUsable(request->arrival.priorWait);
    const auto again = decodeForwardedRequest(encodeForwardedRequest(*request));
    require(again && again->service == request->service && again->arrival.deadline == request->arrival.deadline
                && again->arrival.fingerprint.digest == request->arrival.fingerprint.digest && again->arrival.avoidedServers == request->arrival.avoidedServers,
            "forwarded requests are encoded as decoded");
}

void decodeBackoffs(std::string_view text)
{
    if (const auto backoffs = decodeServerBackoffs(text)) {
        const auto again = decodeServerBackoffs(encodeServerBackoffs(*backoffs));
        require(again && again->size() == backoffs->size(), "backoffs are encoded as decoded");
        for (std::size_t index = 0; index < again->size(); ++index) {
            require(again->at(index).server == backoffs->at(index).server && again->at(index).remaining == backoffs->at(index).remaining,
                    "backoffs are encoded as decoded");
        }
    }
}

void decodeRefusal(std::string_view text)
{
    HttpAnswer answer;
    answer.status = 503;
    answer.headers = {{ForwardResultHeader, "refusal " + std::string(text)}};
    const ForwardOutcome outcome = interpretForwardedAnswer(answer);
    if (const auto *refused = std::get_if<ForwardRefused>(&outcome)) {
        requireUsable(refused->problem.retryAfter.value_or(Duration(0)));
        const ForwardOutcome again = interpretForwardedAnswer(forwardedRefusal(refused->problem, "tag"));
        const auto *refusedAgain = std::get_if<ForwardRefused>(&again);
        require(refusedAgain && refusedAgain->problem == refused->problem, "refusals are encoded as decoded");
    }
}

void decodeTarget(std::string_view text)
{
    if (const auto request = parseCollectionUpdateTarget(text)) {
        requireUsable(request->wait);
        require(parseCollectionUpdateTarget(collectionUpdateTarget(*request)) == request, "targets are encoded as decoded");
    }
    parseProofTarget(text);
}

} // namespace

void decodePeerMessage(std::string_view input)
{
    constexpr std::array Decoders = {&decodeList,
                                     &decodeRelayProof,
                                     &decodeCrashes,
                                     &decodeLimits,
                                     &decodeQuotaClaims,
                                     &decodeQuotaGrants,
                                     &decodeRollouts,
                                     &decodeSlowServerReports,
                                     &decodeForwarded,
                                     &decodeBackoffs,
                                     &decodeRefusal,
                                     &decodeTarget};
    decodeWith(Decoders, input);
}

} // namespace Cloverbarrow::Tests
