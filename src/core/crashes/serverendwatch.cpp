/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/serverendwatch.h"

#include <algorithm>

namespace Cloverbarrow
{

ServerEndWatch::Found ServerEndWatch::lost(TimePoint now, const std::string &server, const RequestContent &fingerprint, Standing directoryStatus)
{
    auto watched = find(server);
    if (watched == watched_.end()) {
        // The first probe waits for SettleTime: an earlier answer would be ignored, and the crash detected 120 ms later.
        watched_.push_back({server, now, now + Settle, {}, directoryStatus, 0, directoryStatus == Standing::Unlisted});
        watched = std::prev(watched_.end());
    }
    const bool isKnown = std::find(watched->contents.begin(), watched->contents.end(), fingerprint) != watched->contents.end();
    if (!isKnown) {
        watched->contents.push_back(fingerprint);
    }
    Found finding;
    if (!isKnown && watched->hasEnded) {
        finding.endedUnder = {fingerprint};
    }
    finding.isSuspected = !isKnown && !watched->hasEnded;
    return finding;
}

ServerEndWatch::Found ServerEndWatch::seen(TimePoint now, const std::string &server, LifeSign liveness)
{
    const auto watched = find(server);
    if (watched == watched_.end() || now - watched->lostAt < Settle) {
        return {};
    }
    if (liveness == LifeSign::Answered) {
        Found finding;
        finding.isHeardAgain = watched->hasEnded && now - watched->lostAt < HeardAgainLimit;
        finding.isCleared = !watched->hasEnded;
        watched_.erase(watched);
        return finding;
    }
    watched->turnedAway += liveness == LifeSign::TurnedAway ? 1 : 0;
    if (watched->hasEnded || watched->turnedAway < TurnsToEnd || now - watched->lostAt < ShortestEnd) {
        return {};
    }
    watched->hasEnded = true;
    return {watched->contents};
}

void ServerEndWatch::configured(TimePoint now, std::span<const std::string> servers, const std::function<void(const std::string &, const Found &)> &crashed)
{
    for (Watched &watched : watched_) {
        const bool hasEntry = std::find(servers.begin(), servers.end(), watched.server) != servers.end();
        if (!hasEntry && !watched.hasEnded && watched.standing != Standing::Leaving && now - watched.lostAt < EntryLimit) {
            watched.hasEnded = true;
            crashed(watched.server, {watched.contents});
        }
    }
}

std::vector<std::string> ServerEndWatch::due(TimePoint now)
{
    std::erase_if(watched_, [now](const Watched &watched) { return now - watched.lostAt > (watched.hasEnded ? HeardAgainLimit : EntryLimit); });
    std::vector<std::string> servers;
    for (Watched &watched : watched_) {
        if (now >= watched.nextProbe && now - watched.lostAt < HeardAgainLimit) {
            watched.nextProbe = now + ProbePause;
            servers.push_back(watched.server);
        }
    }
    return servers;
}

void ServerEndWatch::notProbed(const std::string &server, TimePoint now)
{
    if (const auto watched = find(server); watched != watched_.end()) {
        watched->nextProbe = now;
    }
}

std::vector<ServerEndWatch::Watched>::iterator ServerEndWatch::find(const std::string &server)
{
    return std::find_if(watched_.begin(), watched_.end(), [&server](const Watched &watched) { return watched.server == server; });
}

} // namespace Cloverbarrow
