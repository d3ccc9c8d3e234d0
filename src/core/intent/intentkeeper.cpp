/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/intent/intentkeeper.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

constexpr Duration WatchWait = seconds(20);
// A watch that has no answer some seconds after WatchWait has been lost in transit.
constexpr Duration WatchTimeout = seconds(25);
constexpr Duration FirstPause = milliseconds(500);
constexpr int MaxPauseDoublings = 3;
// Long enough to tolerate one or two lost heartbeats, short enough to activate a new intent within seconds.
constexpr Duration PeersUnresponsive = seconds(5);
constexpr Duration IsolatedAfter = seconds(15);

bool contactedWithin(const std::optional<TimePoint> &contactAt, TimePoint now, Duration limit)
{
    return contactAt && now - *contactAt <= limit;
}

} // namespace

const std::shared_ptr<const IntentInForce> &IntentKeeper::inForce() const
{
    return inForce_;
}

std::int64_t IntentKeeper::version() const
{
    return inForce_ ? inForce_->version : 0;
}

void IntentKeeper::tick(TimePoint now, bool isWatcher, std::vector<IntentAction> &actions)
{
    if (watchSince_ && now - *watchSince_ > WatchTimeout) {
        platformFailed(now);
    }
    const bool needsPlatform = isWatcher || !platformHeardAt_ || !contactedWithin(peerHeardAt_, now, PeersUnresponsive);
    if (watchSince_ || !needsPlatform || now < nextWatch_) {
        return;
    }
    watchSince_ = now;
    // The first read, a check after failures, and reads by entry VMs that do not watch need an answer at once.
    const bool needsAnswerAtOnce = !platformHeardAt_ || failures_ > 0 || !isWatcher;
    actions.emplace_back(WatchIntent{version(), needsAnswerAtOnce ? Duration(0) : WatchWait});
    if (!isWatcher) {
        nextWatch_ = now + PeersUnresponsive;
    }
}

void IntentKeeper::platformAnswered(TimePoint now, const std::optional<StoreFound> &newer, std::vector<IntentAction> &actions)
{
    watchSince_.reset();
    platformHeardAt_ = now;
    failures_ = 0;
    if (newer) {
        offer("platform", newer->version, newer->value, actions);
    }
}

void IntentKeeper::platformFailed(TimePoint now)
{
    watchSince_.reset();
    nextWatch_ = now + FirstPause * (1 << std::min(failures_, MaxPauseDoublings));
    ++failures_;
}

void IntentKeeper::accepted(std::int64_t version, std::string_view value, std::vector<IntentAction> &actions)
{
    offer("operator", version, value, actions);
}

void IntentKeeper::peerHasVersion(TimePoint now, const std::string &address, std::int64_t version, std::vector<IntentAction> &actions)
{
    peerHeardAt_ = now;
    if (version > std::max({this->version(), fetching_, knownBad_})) {
        fetching_ = version;
        actions.emplace_back(FetchIntent{address});
    }
}

void IntentKeeper::peerSent(TimePoint now, const std::string &address, std::int64_t version, std::string_view value, std::vector<IntentAction> &actions)
{
    peerHeardAt_ = now;
    fetching_ = 0;
    offer(address, version, value, actions);
}

void IntentKeeper::fetchFailed()
{
    fetching_ = 0;
}

void IntentKeeper::published(const std::shared_ptr<const IntentInForce> &intent, std::vector<IntentAction> &actions)
{
    if (intent->version > version()) {
        inForce_ = intent;
        actions.emplace_back(InstallIntent{inForce_});
    }
}

bool IntentKeeper::isFresh(TimePoint now) const
{
    return contactedWithin(platformHeardAt_, now, std::max(IsolatedAfter, WatchTimeout)) || contactedWithin(peerHeardAt_, now, IsolatedAfter);
}

bool IntentKeeper::hasAskedPlatform() const
{
    return platformHeardAt_.has_value();
}

bool IntentKeeper::isPlatformSilent(TimePoint now) const
{
    return failures_ > 0 || !contactedWithin(platformHeardAt_, now, WatchTimeout);
}

void IntentKeeper::offer(const std::string &source, std::int64_t version, std::string_view value, std::vector<IntentAction> &actions)
{
    if (version <= this->version()) {
        return;
    }
    auto decoded = decodeIntent(version, value);
    if (!decoded) {
        knownBad_ = std::max(knownBad_, version);
        actions.emplace_back(ReportBadIntent{source, version, decoded.error().message});
        return;
    }
    inForce_ = std::move(decoded).value();
    actions.emplace_back(InstallIntent{inForce_});
}

} // namespace Cloverbarrow
