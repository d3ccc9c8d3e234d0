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
// A watch that is silent for longer than its wait has been lost on the way.
constexpr Duration WatchLost = seconds(25);
constexpr Duration FirstPause = milliseconds(500);
constexpr int MaxPauseDoublings = 3;
// Long enough to ride out a lost heartbeat or two, short enough for "in force within seconds".
constexpr Duration PeersSilent = seconds(5);
constexpr Duration IsolatedAfter = seconds(15);

bool heardWithin(const std::optional<TimePoint> &heardAt, TimePoint now, Duration bound)
{
    return heardAt && now - *heardAt <= bound;
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
    if (watchSince_ && now - *watchSince_ > WatchLost) {
        platformFailed(now);
    }
    const bool needsPlatform = isWatcher || !platformHeardAt_ || !heardWithin(peerHeardAt_, now, PeersSilent);
    if (watchSince_ || !needsPlatform || now < nextWatch_) {
        return;
    }
    watchSince_ = now;
    // The first question and a check after failures want an answer at once.
    const bool wantsAnswer = !platformHeardAt_ || failures_ > 0 || !isWatcher;
    actions.emplace_back(WatchIntent{version(), wantsAnswer ? Duration(0) : WatchWait});
    if (!isWatcher) {
        nextWatch_ = now + PeersSilent;
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
    return heardWithin(platformHeardAt_, now, std::max(IsolatedAfter, WatchLost)) || heardWithin(peerHeardAt_, now, IsolatedAfter);
}

bool IntentKeeper::hasAskedPlatform() const
{
    return platformHeardAt_.has_value();
}

bool IntentKeeper::isPlatformSilent(TimePoint now) const
{
    return failures_ > 0 || !heardWithin(platformHeardAt_, now, WatchLost);
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
