/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/initialcrashreports.h"

#include <utility>

namespace Cloverbarrow
{

namespace
{

// Reports that have not arrived by then come late or never, e.g. if the relay is frozen or runs an earlier release, which sends no reply when it has no
// updates.
constexpr Duration CrashReportTimeout = milliseconds(300);

} // namespace

InitialCrashReports::InitialCrashReports(std::string localAddress)
    : localAddress_(std::move(localAddress))
{
}

bool InitialCrashReports::leaderKnown(const std::string &leader)
{
    hasNoOtherLeader_ = hasNoOtherLeader_ || leader.empty() || leader == localAddress_;
    // During an outage of the store, crash reports reach the zone's relay; the store contains them only some time after the outage.
    return !isOver_ && !hasNoOtherLeader_ && leader != std::exchange(leader_, leader);
}

void InitialCrashReports::requested(const std::string &peer)
{
    if (!isOver_) {
        hasRequested_ = true;
        ++pendingRequests_[peer];
    }
}

void InitialCrashReports::answered(const CrashUpdatesAnswered &answer)
{
    const auto found = pendingRequests_.find(answer.peer);
    if (found == pendingRequests_.end() || answer.outcome == CrashExchangeOutcome::ReplyFollows) {
        return;
    }
    // A failure ends one request. A peer without updates has answered all requests.
    if (answer.outcome == CrashExchangeOutcome::NothingToSend || --found->second == 0) {
        pendingRequests_.erase(found);
    }
}

void InitialCrashReports::received(const std::string &peer)
{
    pendingRequests_.erase(peer);
}

bool InitialCrashReports::takeLeaderReadDue()
{
    const bool isDue = !isOver_ && !hasRequested_ && !hasPeerReports();
    return isDue && !std::exchange(hasRequestedLeaderRead_, true);
}

bool InitialCrashReports::update(TimePoint now, bool isStoreRead)
{
    startedAt_ = startedAt_.value_or(now);
    isOver_ = isOver(isStoreRead) || now - *startedAt_ >= CrashReportTimeout;
    return isOver_;
}

void InitialCrashReports::finish()
{
    isOver_ = true;
    pendingRequests_.clear();
}

bool InitialCrashReports::isOver(bool isStoreRead) const
{
    return isOver_ || (isStoreRead && hasPeerReports());
}

bool InitialCrashReports::hasPeerReports() const
{
    return localAddress_.empty() || hasNoOtherLeader_ || (hasRequested_ && pendingRequests_.empty());
}

} // namespace Cloverbarrow
