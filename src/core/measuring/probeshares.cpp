/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/measuring/probeshares.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

constexpr Duration PollInterval = seconds(10);
constexpr Duration MaxPollJitter = milliseconds(500);
constexpr Duration UnusedPermitDelay = milliseconds(250);

std::string sharePurpose(const std::string &service, int share)
{
    return "share/" + service + "/" + std::to_string(share);
}

} // namespace

ProbeShares::ProbeShares(ShareHolder self)
    : self_(std::move(self))
    , lease_(self_.id)
{
}

void ProbeShares::configure(const std::vector<ServiceProbeBudget> &budgets)
{
    std::map<std::string, ServiceState> next;
    for (const ServiceProbeBudget &budget : budgets) {
        ServiceState &state = next[budget.service];
        if (const auto existing = services_.find(budget.service); existing != services_.end()) {
            state = std::move(existing->second);
        }
        state.budget = budget;
        for (auto &[share, held] : state.held) {
            held.isRevoked = held.isRevoked || share >= static_cast<int>(shareCount(budget.probes));
        }
        state.nextPoll = TimePoint();
    }
    services_ = std::move(next);
}

void ProbeShares::tick(TimePoint now, const Membership &members, Random &random, std::vector<StoreCall> &calls, std::vector<ProbePermit> &permits)
{
    if (lease_.losses() != handledLosses_) {
        handledLosses_ = lease_.losses();
        revokeAll();
    }
    if (holdsAny() || (!isReleasing_ && wantsAny())) {
        if (auto call = lease_.due(now)) {
            calls.push_back(std::move(*call));
        }
    }
    for (auto &[name, state] : services_) {
        tickService(now, state, members, calls, permits);
    }
    fence_.tick(now, calls);
    // A random delay spreads the polls of all entry VMs.
    for (auto &[name, state] : services_) {
        if (state.nextPoll == TimePoint()) {
            state.nextPoll = now + microseconds(static_cast<std::int64_t>(random.below(static_cast<std::size_t>(MaxPollJitter.count()))));
        }
    }
}

void ProbeShares::tickService(TimePoint now, ServiceState &state, const Membership &members, std::vector<StoreCall> &calls, std::vector<ProbePermit> &permits)
{
    issuePermits(now, state, permits);
    const bool isPollDue = !state.isCallPending && now >= state.nextPoll && state.nextPoll != TimePoint();
    if (!isPollDue) {
        return;
    }
    state.wanted = isReleasing_ ? std::vector<int>() : wantedShares(state, members);
    state.nextPoll = now + PollInterval;
    if (state.held.empty() && state.wanted.empty()) {
        return;
    }
    state.isCallPending = true;
    state.isWriting = state.nextWrite.has_value();
    calls.push_back(state.isWriting ? *state.nextWrite : StoreCall{shareTableObject(state.budget.service), StoreRead{}});
    state.nextWrite.reset();
}

void ProbeShares::issuePermits(TimePoint now, ServiceState &state, std::vector<ProbePermit> &permits)
{
    if (isReleasing_ || !lease_.isValid(now)) {
        return;
    }
    for (auto &[share, held] : state.held) {
        if (!held.isRevoked && !held.isInUse && now >= held.nextAllowed) {
            held.isInUse = true;
            permits.push_back({state.budget.service, share});
        }
    }
}

void ProbeShares::handleStoreResult(TimePoint now, const StoreObject &object, const StoreResult &result, const Membership &members, Random &random)
{
    if (object == leaseObject(self_.id.name)) {
        lease_.handleResult(now, result);
        return;
    }
    if (object.kind == leaseObject({}).kind) {
        fence_.handleResult(now, object.name, result);
        return;
    }
    const auto found = services_.find(object.name);
    if (object.kind != shareTableObject({}).kind || found == services_.end()) {
        return;
    }
    ServiceState &state = found->second;
    state.isCallPending = false;
    const bool isWrite = std::exchange(state.isWriting, false);
    const std::vector<int> claimed = std::exchange(state.pendingClaims, {});
    if (const auto *table = std::get_if<StoreFound>(&result)) {
        reconcile(now, state, table->version, decodeShares(table->value).value_or(ShareTable{}), members);
    } else if (std::holds_alternative<StoreMissing>(result)) {
        reconcile(now, state, 0, {}, members);
    } else if (std::holds_alternative<StoreWritten>(result)) {
        for (const int share : claimed) {
            state.held[share] = {now + state.budget.window, false, false};
        }
        std::erase_if(state.held, [](const auto &entry) { return entry.second.isRevoked && !entry.second.isInUse; });
    } else if (isWrite) {
        // After a conflict or a lost answer the table is read again; the read shows whether a claim took effect.
        state.nextPoll = now + microseconds(static_cast<std::int64_t>(1 + random.below(static_cast<std::size_t>(MaxPollJitter.count()))));
    }
}

void ProbeShares::reconcile(TimePoint now, ServiceState &state, std::int64_t version, ShareTable table, const Membership &members)
{
    for (auto &[share, held] : state.held) {
        held.isRevoked = held.isRevoked || !isHeldLocally(table, share);
    }
    const ShareTable before = table;
    std::vector<int> claims = plan(now, state, table, members);
    std::erase_if(state.held,
                  [&table, this](const auto &entry) { return entry.second.isRevoked && !entry.second.isInUse && !isHeldLocally(table, entry.first); });
    adoptRecordedClaims(now, state, before, claims);
    if (table == before) {
        return;
    }
    state.pendingClaims = std::move(claims);
    state.nextPoll = now;
    state.nextWrite = StoreCall{shareTableObject(state.budget.service), StoreWrite{version, encodeShares(table)}};
}

void ProbeShares::adoptRecordedClaims(TimePoint now, ServiceState &state, const ShareTable &before, std::vector<int> &claims)
{
    // The table already contains a claim whose write succeeded but whose answer was lost, so no write is needed.
    const auto isRecorded = [this, now, &state, &before](int number) {
        if (!isHeldLocally(before, number)) {
            return false;
        }
        state.held[number] = {now + state.budget.window, false, false};
        return true;
    };
    std::erase_if(claims, isRecorded);
}

std::vector<int> ProbeShares::plan(TimePoint now, ServiceState &state, ShareTable &table, const Membership &members)
{
    const std::size_t count = shareCount(state.budget.probes);
    table.shares.resize(std::max(count, table.shares.size()));
    for (std::size_t index = 0; index < table.shares.size(); ++index) {
        Share &share = table.shares[index];
        const int number = static_cast<int>(index);
        const bool isIdle = !isInUse(state, number);
        if ((share.unconfirmed == self_ && isIdle) || hasTerminated(share.unconfirmed)) {
            share.unconfirmed = {};
        }
        if (hasTerminated(share.holder)) {
            share.holder = {};
        }
        const bool isReleased = isReleasing_ || index >= count;
        if (share.holder == self_ && isIdle && (isReleased || !state.held.contains(number) || state.held.at(number).isRevoked)) {
            // This includes a claim whose answer was lost: it is claimed again below and then waits for a whole window.
            share.holder = {};
        }
    }
    std::vector<int> claims;
    if (isReleasing_ || !lease_.isValid(now)) {
        return claims;
    }
    for (const int number : state.wanted) {
        Share &share = table.shares[static_cast<std::size_t>(number)];
        if (share.holder == self_ || isInUse(state, number)) {
            continue;
        }
        if (!share.holder.isNone()) {
            if (!mayTakeOver(now, share, members)) {
                continue;
            }
            share.unconfirmed = share.holder;
        }
        share.holder = self_;
        claims.push_back(number);
    }
    return claims;
}

bool ProbeShares::mayTakeOver(TimePoint now, const Share &share, const Membership &members)
{
    const auto state = members.stateOf(share.holder.id);
    const bool isResponsive = state == MemberState::Live || state == MemberState::Suspect;
    if (isResponsive || !share.unconfirmed.isNone()) {
        fence_.stopObserving(share.holder.id);
        return false;
    }
    return fence_.isExpired(now, share.holder.id);
}

bool ProbeShares::hasTerminated(const ShareHolder &holder) const
{
    // This process listens on the address that the other process would still occupy if it were running.
    return holder.id.name == self_.id.name && holder.id.nonce != self_.id.nonce && holder.address == self_.address;
}

void ProbeShares::probeFinished(TimePoint now, const std::string &service, int share)
{
    if (HeldShare *held = findHeld(service, share)) {
        held->isInUse = false;
        // The window starts at the end of the probe, because the exact time of sending is not known.
        held->nextAllowed = now + services_.at(service).budget.window;
    }
}

void ProbeShares::permitReturned(TimePoint now, const std::string &service, int share)
{
    if (HeldShare *held = findHeld(service, share)) {
        held->isInUse = false;
        held->nextAllowed = std::max(held->nextAllowed, now + UnusedPermitDelay);
    }
}

ProbeShares::HeldShare *ProbeShares::findHeld(const std::string &service, int share)
{
    const auto state = services_.find(service);
    if (state == services_.end()) {
        return nullptr;
    }
    const auto held = state->second.held.find(share);
    return held == state->second.held.end() ? nullptr : &held->second;
}

bool ProbeShares::isHeldLocally(const ShareTable &table, int share) const
{
    const auto index = static_cast<std::size_t>(share);
    return index < table.shares.size() && table.shares[index].holder == self_;
}

void ProbeShares::startRelease()
{
    isReleasing_ = true;
    for (auto &[name, state] : services_) {
        state.nextPoll = TimePoint() + microseconds(1);
    }
}

bool ProbeShares::holdsAny() const
{
    return std::any_of(services_.begin(), services_.end(), [](const auto &entry) { return !entry.second.held.empty(); });
}

std::size_t ProbeShares::heldCount(const std::string &service) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return 0;
    }
    const auto &held = found->second.held;
    return static_cast<std::size_t>(std::count_if(held.begin(), held.end(), [](const auto &entry) { return !entry.second.isRevoked; }));
}

bool ProbeShares::isLeaseValid(TimePoint now) const
{
    return lease_.isValid(now);
}

bool ProbeShares::wantsAny() const
{
    return std::any_of(services_.begin(), services_.end(), [](const auto &entry) { return !entry.second.wanted.empty(); });
}

std::vector<int> ProbeShares::wantedShares(const ServiceState &state, const Membership &members) const
{
    std::vector<int> numbers;
    const int count = static_cast<int>(shareCount(state.budget.probes));
    for (int share = 0; share < count; ++share) {
        if (members.isRankedFirst(sharePurpose(state.budget.service, share))) {
            numbers.push_back(share);
        }
    }
    return numbers;
}

void ProbeShares::revokeAll()
{
    for (auto &[name, state] : services_) {
        for (auto &[share, held] : state.held) {
            held.isRevoked = true;
        }
        state.nextPoll = TimePoint();
    }
}

bool ProbeShares::isInUse(const ServiceState &state, int share) const
{
    const auto found = state.held.find(share);
    return found != state.held.end() && found->second.isInUse;
}

} // namespace Cloverbarrow
