/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/relaymessages.h"

#include "core/support/boundedjson.h"
#include "core/support/jsonnumber.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <stdexcept>

namespace Cloverbarrow
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view CollectionUpdatePath = "/relay/news/";
constexpr std::string_view ProofPath = "/relay/proof/";
// More standbys than a relay ever names.
constexpr std::size_t MaxStandbys = 16;
// More than any relay names.
constexpr std::size_t MaxPeers = 64;
// An IPv6 address with a zone and a port is shorter.
constexpr std::size_t MaxAddressLength = 80;
// Far more than the entry VMs of one availability zone.
constexpr int MaxEntryVms = 100'000;
/// Indexed by Collection.
constexpr std::array<std::string_view, CollectionCount> CollectionNames = {"routing", "servers", "crashes", "evacuations", "rollouts"};

/// Removes the part of @p rest up to and including @p end. @return that part, without @p end.
std::string_view takeUpTo(std::string_view &rest, char end)
{
    const std::size_t at = std::min(rest.find(end), rest.size());
    const std::string_view part = rest.substr(0, at);
    rest.remove_prefix(std::min(at + 1, rest.size()));
    return part;
}

/// @return the number in @p text; nothing if it is negative or not a whole number.
std::optional<std::int64_t> parseNonNegative(std::string_view text)
{
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = result.ec == std::errc() && result.ptr == text.data() + text.size();
    return isWhole && value >= 0 ? std::optional(value) : std::nullopt;
}

/// @throws std::exception if the rank is out of range.
FleetRank rankIn(const Json &body)
{
    FleetRank rank{integerFrom<int>(body.at("number")), integerFrom<int>(body.at("count"))};
    if (rank.number < 0 || rank.number >= rank.count || rank.count > MaxEntryVms) {
        throw std::invalid_argument("invalid rank " + std::to_string(rank.number) + " of " + std::to_string(rank.count));
    }
    if (body.contains("vacant")) {
        rank.vacant = integersFrom(body.at("vacant"));
    }
    int next = 0;
    for (const int vacant : rank.vacant) {
        if (vacant < next || vacant >= rank.count || vacant == rank.number) {
            throw std::invalid_argument("invalid vacant rank " + std::to_string(vacant));
        }
        next = vacant + 1;
    }
    return rank;
}

Json encodeVersion(const LimitVersion &version)
{
    return {{"process", version.process}, {"sequence", version.sequence}};
}

LimitVersion decodeVersion(const Json &body)
{
    return {integerFrom<std::uint64_t>(body.at("process")), integerFrom<std::uint64_t>(body.at("sequence"))};
}

/// @throws std::exception if the limit is negative or not a number.
std::optional<double> limitIn(const Json &report)
{
    if (!report.contains("per_second")) {
        return std::nullopt;
    }
    const auto perSecond = report.at("per_second").get<double>();
    if (!(perSecond >= 0)) {
        throw std::invalid_argument("invalid request limit of " + std::to_string(perSecond) + " per second");
    }
    return perSecond;
}

} // namespace

std::string encodeLimitUpdate(TimePoint now, const LimitUpdate &update)
{
    Json reports = Json::array();
    for (const LimitReport &report : update.reports) {
        Json item = {{"server", report.server}, {"age_us", (now - report.observedAt).count()}};
        if (report.perSecond) {
            item["per_second"] = *report.perSecond;
        }
        reports.push_back(std::move(item));
    }
    return Json{{"version", encodeVersion(update.version)}, {"known", encodeVersion(update.receiverVersion)}, {"reports", std::move(reports)}}.dump();
}

LimitUpdate decodeLimitUpdate(TimePoint now, std::string_view text)
{
    const Json body = parseBoundedJson(text);
    LimitUpdate update{decodeVersion(body.at("version")), decodeVersion(body.at("known")), {}};
    for (const Json &report : body.at("reports")) {
        const Duration age = std::max(Duration(0), durationFrom(report.at("age_us")));
        update.reports.push_back({report.at("server").get<std::string>(), limitIn(report), now - age});
    }
    return update;
}

std::string collectionUpdateTarget(const CollectionUpdateRequest &request)
{
    const std::string_view name = CollectionNames.at(indexOf(request.collection));
    const auto waitMs = std::chrono::floor<milliseconds>(request.wait).count();
    return std::string(CollectionUpdatePath) + std::string(name) + "/" + std::to_string(request.since) + "/" + std::to_string(waitMs);
}

std::optional<CollectionUpdateRequest> parseCollectionUpdateTarget(std::string_view target)
{
    if (!target.starts_with(CollectionUpdatePath)) {
        return std::nullopt;
    }
    target.remove_prefix(CollectionUpdatePath.size());
    const std::string_view name = takeUpTo(target, '/');
    const auto since = parseNonNegative(takeUpTo(target, '/'));
    const auto waitMs = parseNonNegative(target);
    const auto *found = std::find(CollectionNames.begin(), CollectionNames.end(), name);
    if (found == CollectionNames.end() || !since || !waitMs || *waitMs > std::chrono::floor<milliseconds>(MaxJsonDuration).count()) {
        return std::nullopt;
    }
    return CollectionUpdateRequest{static_cast<Collection>(found - CollectionNames.begin()), *since, milliseconds(*waitMs)};
}

std::string encodeCollectionUpdate(const CollectionUpdate &update)
{
    Json entries = Json::array();
    for (const DirectoryEntry &entry : update.entries) {
        entries.push_back({{"name", entry.name}, {"revision", entry.revision}, {"deleted", entry.isDeleted}, {"text", entry.text}});
    }
    return Json{{"revision", update.revision}, {"store_revision", update.storeRevision}, {"entries", std::move(entries)}}.dump();
}

CollectionUpdate decodeCollectionUpdate(std::string_view text)
{
    const Json body = parseBoundedJson(text);
    CollectionUpdate update;
    update.revision = integerFrom<std::int64_t>(body.at("revision"));
    update.storeRevision = integerFrom<std::int64_t>(body.at("store_revision"));
    for (const Json &entry : body.at("entries")) {
        update.entries.push_back({entry.at("name").get<std::string>(),
                                  integerFrom<std::int64_t>(entry.at("revision")),
                                  std::nullopt,
                                  entry.at("deleted").get<bool>(),
                                  entry.at("text").get<std::string>()});
    }
    return update;
}

std::string proofTarget(const std::string &follower)
{
    return std::string(ProofPath) + follower;
}

std::optional<std::string> parseProofTarget(std::string_view target)
{
    return target.starts_with(ProofPath) ? std::optional(std::string(target.substr(ProofPath.size()))) : std::nullopt;
}

namespace
{

Json proofJson(const RelayProof &proof)
{
    Json body = {
        {"age_us", proof.age.count()}, {"hears_from_store", proof.isStoreReachable}, {"entry_vms", proof.entryVms}, {"other_relays", proof.otherRelays}};
    body["newest"] = proof.newestRevisions;
    if (proof.limitVersion.sequence > 0) {
        body["limits"] = encodeVersion(proof.limitVersion);
    }
    if (!proof.standbys.empty()) {
        body["standbys"] = proof.standbys;
    }
    if (proof.peers) {
        body["peers"] = {{"same_zone", proof.peers->sameZone}, {"other_zones", proof.peers->otherZones}};
    }
    if (!proof.slowServers.empty()) {
        body["slow_servers"] = proof.slowServers;
    }
    if (proof.rank) {
        body["place"] = {{"number", proof.rank->number}, {"count", proof.rank->count}};
        if (!proof.rank->vacant.empty()) {
            body["place"]["vacant"] = proof.rank->vacant;
        }
    }
    return body;
}

} // namespace

std::string encodeProof(const RelayProof &proof)
{
    return proofJson(proof).dump();
}

std::string encodeProofAnswer(const std::optional<RelayProof> &proof, const std::optional<RelayReferral> &referral)
{
    Json body = proof ? proofJson(*proof) : Json::object();
    if (referral) {
        body["referral"] = {{"zone", referral->zone}, {"relay", referral->relay}, {"revision", referral->revision}, {"age_us", referral->age.count()}};
    }
    return body.dump();
}

std::optional<RelayReferral> decodeReferral(std::string_view text)
{
    const Json body = parseBoundedJson(text);
    if (!body.contains("referral")) {
        return std::nullopt;
    }
    const Json &named = body.at("referral");
    RelayReferral referral{named.at("zone").get<std::string>(),
                           named.at("relay").get<std::string>(),
                           integerFrom<std::int64_t>(named.at("revision")),
                           durationFrom(named.at("age_us"))};
    if (referral.relay.empty() || referral.relay.size() > MaxAddressLength || referral.revision <= 0 || referral.age < Duration(0)) {
        throw std::invalid_argument("invalid referral to " + referral.relay.substr(0, MaxAddressLength));
    }
    return referral;
}

RelayProof decodeProof(std::string_view text)
{
    const Json body = parseBoundedJson(text);
    RelayProof proof{durationFrom(body.at("age_us")),
                     body.at("hears_from_store").get<bool>(),
                     integerFrom<int>(body.at("entry_vms")),
                     body.at("other_relays").get<std::vector<std::string>>()};
    if (body.contains("newest")) {
        // Relays of earlier releases have fewer collections.
        const Json &newest = body.at("newest");
        for (std::size_t index = 0; index < std::min(newest.size(), proof.newestRevisions.size()); ++index) {
            proof.newestRevisions.at(index) = integerFrom<std::int64_t>(newest.at(index));
        }
    }
    if (body.contains("limits")) {
        proof.limitVersion = decodeVersion(body.at("limits"));
    }
    if (body.contains("standbys")) {
        proof.standbys = body.at("standbys").get<std::vector<std::string>>();
        if (proof.standbys.size() > MaxStandbys) {
            throw std::invalid_argument(std::to_string(proof.standbys.size()) + " standbys exceed the maximum");
        }
    }
    if (body.contains("peers")) {
        const Json &peers = body.at("peers");
        proof.peers = PeerAddresses{peers.at("same_zone").get<std::vector<std::string>>(), peers.at("other_zones").get<std::vector<std::string>>()};
        if (proof.peers->sameZone.size() > MaxPeers || proof.peers->otherZones.size() > MaxPeers) {
            throw std::invalid_argument("too many peers");
        }
    }
    if (body.contains("slow_servers")) {
        const Json &slowServers = body.at("slow_servers");
        // Anything but a text is rejected by the decoder of the reports.
        proof.slowServers = slowServers.is_string() ? slowServers.get<std::string>() : slowServers.dump();
    }
    if (body.contains("place")) {
        proof.rank = rankIn(body.at("place"));
    }
    return proof;
}

} // namespace Cloverbarrow
