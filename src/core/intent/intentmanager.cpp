/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/intent/intentmanager.h"

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

constexpr Duration WatchWait = seconds(20);
// A watch that has no answer some seconds after WatchWait has been lost in transit.
constexpr Duration WatchTimeout = seconds(25);
constexpr Duration FirstRetryPause = milliseconds(500);
constexpr int MaxRetryPauseDoublings = 3;
// Long enough to tolerate one or two lost heartbeats, short enough to activate a new intent within seconds.
constexpr Duration PeerContactTimeout = seconds(5);
constexpr Duration FreshnessLimit = seconds(15);

bool contactedWithin(const std::optional<TimePoint> &contactAt, TimePoint now, Duration limit)
{
    return contactAt && now - *contactAt <= limit;
}

} // namespace

const std::shared_ptr<const ActiveIntent> &IntentManager::activeIntent() const
{
    return activeIntent_;
}

std::int64_t IntentManager::version() const
{
    return activeIntent_ ? activeIntent_->version : 0;
}

void IntentManager::tick(TimePoint now, bool isWatcher, std::vector<IntentAction> &actions)
{
    if (watchStartedAt_ && now - *watchStartedAt_ > WatchTimeout) {
        platformFailed(now);
    }
    const bool needsPlatform = isWatcher || !platformContactAt_ || !contactedWithin(peerContactAt_, now, PeerContactTimeout);
    if (watchStartedAt_ || !needsPlatform || now < nextWatch_) {
        return;
    }
    watchStartedAt_ = now;
    // The first read, a check after failures, and reads by entry VMs that do not watch need an answer at once.
    const bool needsAnswerAtOnce = !platformContactAt_ || platformFailures_ > 0 || !isWatcher;
    actions.emplace_back(WatchIntent{version(), needsAnswerAtOnce ? Duration(0) : WatchWait});
    if (!isWatcher) {
        nextWatch_ = now + PeerContactTimeout;
    }
}

void IntentManager::platformAnswered(TimePoint now, const std::optional<StoreFound> &newer, std::vector<IntentAction> &actions)
{
    watchStartedAt_.reset();
    platformContactAt_ = now;
    platformFailures_ = 0;
    if (newer) {
        activateIfNewer("platform", newer->version, newer->value, actions);
    }
}

void IntentManager::platformFailed(TimePoint now)
{
    watchStartedAt_.reset();
    nextWatch_ = now + FirstRetryPause * (1 << std::min(platformFailures_, MaxRetryPauseDoublings));
    ++platformFailures_;
}

void IntentManager::changeAccepted(std::int64_t version, std::string_view value, std::vector<IntentAction> &actions)
{
    activateIfNewer("operator", version, value, actions);
}

void IntentManager::peerVersionReceived(TimePoint now, const std::string &address, std::int64_t version, std::vector<IntentAction> &actions)
{
    peerContactAt_ = now;
    if (version > std::max({this->version(), fetchingVersion_, newestInvalidVersion_})) {
        fetchingVersion_ = version;
        actions.emplace_back(FetchIntent{address});
    }
}

void IntentManager::peerIntentReceived(
    TimePoint now, const std::string &address, std::int64_t version, std::string_view value, std::vector<IntentAction> &actions)
{
    peerContactAt_ = now;
    fetchingVersion_ = 0;
    activateIfNewer(address, version, value, actions);
}

void IntentManager::fetchFailed()
{
    fetchingVersion_ = 0;
}

void IntentManager::intentPublished(const std::shared_ptr<const ActiveIntent> &intent, std::vector<IntentAction> &actions)
{
    if (intent->version > version()) {
        activeIntent_ = intent;
        actions.emplace_back(InstallIntent{activeIntent_});
    }
}

bool IntentManager::isFresh(TimePoint now) const
{
    return contactedWithin(platformContactAt_, now, std::max(FreshnessLimit, WatchTimeout)) || contactedWithin(peerContactAt_, now, FreshnessLimit);
}

bool IntentManager::hasPlatformAnswered() const
{
    return platformContactAt_.has_value();
}

bool IntentManager::isPlatformUnresponsive(TimePoint now) const
{
    return platformFailures_ > 0 || !contactedWithin(platformContactAt_, now, WatchTimeout);
}

void IntentManager::activateIfNewer(const std::string &source, std::int64_t version, std::string_view value, std::vector<IntentAction> &actions)
{
    if (version <= this->version()) {
        return;
    }
    auto decoded = decodeIntent(version, value);
    if (!decoded) {
        newestInvalidVersion_ = std::max(newestInvalidVersion_, version);
        actions.emplace_back(ReportInvalidIntent{source, version, decoded.error().message});
        return;
    }
    activeIntent_ = std::move(decoded).value();
    actions.emplace_back(InstallIntent{activeIntent_});
}

} // namespace Cloverbarrow
