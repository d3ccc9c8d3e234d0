/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/serverendwatch.h"

#include <algorithm>

namespace Cloverbarrow
{

ServerEndWatch::Found ServerEndWatch::lost(TimePoint now, const std::string &server, const RequestContent &content, Standing standing)
{
    auto watched = find(server);
    if (watched == watched_.end()) {
        // A probe that was answered before Settle says nothing; one that is sent at once takes 120 ms more to find the end.
        watched_.push_back({server, now, now + Settle, {}, standing, 0, standing == Standing::Unlisted});
        watched = std::prev(watched_.end());
    }
    const bool isKnown = std::find(watched->contents.begin(), watched->contents.end(), content) != watched->contents.end();
    if (!isKnown) {
        watched->contents.push_back(content);
    }
    Found found;
    if (!isKnown && watched->hasEnded) {
        found.endedUnder = {content};
    }
    found.isSuspected = !isKnown && !watched->hasEnded;
    return found;
}

ServerEndWatch::Found ServerEndWatch::seen(TimePoint now, const std::string &server, LifeSign sign)
{
    const auto watched = find(server);
    if (watched == watched_.end() || now - watched->lostAt < Settle) {
        return {};
    }
    if (sign == LifeSign::Answered) {
        Found found;
        found.isHeardAgain = watched->hasEnded && now - watched->lostAt < HeardAgainLimit;
        found.isCleared = !watched->hasEnded;
        watched_.erase(watched);
        return found;
    }
    watched->turnedAway += sign == LifeSign::TurnedAway ? 1 : 0;
    if (watched->hasEnded || watched->turnedAway < TurnsToEnd || now - watched->lostAt < ShortestEnd) {
        return {};
    }
    watched->hasEnded = true;
    return {watched->contents};
}

void ServerEndWatch::configured(TimePoint now, std::span<const std::string> servers, const std::function<void(const std::string &, const Found &)> &ended)
{
    for (Watched &watched : watched_) {
        const bool hasEntry = std::find(servers.begin(), servers.end(), watched.server) != servers.end();
        if (!hasEntry && !watched.hasEnded && watched.standing != Standing::Leaving && now - watched.lostAt < EntryLimit) {
            watched.hasEnded = true;
            ended(watched.server, {watched.contents});
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
