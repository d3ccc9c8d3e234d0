/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/crashledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// Looking for what is too old costs time for each end that is known, some thousand at most.
constexpr Duration ExpiryInterval = seconds(10);
// Of withdrawn ends; one that is forgotten may be taken over from the own report once more.
constexpr std::size_t MostRemembered = 4 * CrashLedger::MostKept;

template<typename Map, typename TimeOf>
void dropOldest(Map &map, std::size_t most, const TimeOf &timeOf)
{
    while (map.size() > most) {
        map.erase(std::min_element(map.begin(), map.end(), [&timeOf](const auto &left, const auto &right) { return timeOf(left) < timeOf(right); }));
    }
}

} // namespace

CrashLedger::CrashLedger(std::string self)
    : self_(std::move(self))
{
}

void CrashLedger::ended(TimePoint now, const RequestContent &content, const std::string &server)
{
    addOwn({content, server}, {now, false});
    boundOwn();
    reconsider();
}

void CrashLedger::heardAgain(const std::string &server)
{
    std::erase_if(own_, [&server](const auto &entry) { return entry.first.server == server; });
    reconsider();
}

void CrashLedger::answered(TimePoint now, const RequestContent &content)
{
    for (const ServerEnd &end : counting()) {
        if (end.content != content) {
            continue;
        }
        const auto own = own_.find(end);
        const bool isOnlyHere = own != own_.end() && !own->second.isTold && !others_.contains(end);
        if (isOnlyHere) {
            own_.erase(own);
        } else {
            excused_.emplace(end, now);
            answeredAt_[end.content] = now;
        }
    }
    boundOwn();
    reconsider();
}

void CrashLedger::told(TimePoint now, const std::vector<NamedCrashReport> &reports)
{
    std::map<ServerEnd, TimePoint> others;
    const std::set<ServerEnd> before = std::exchange(excusedByOthers_, {});
    for (const auto &[entryVm, report] : reports) {
        if (entryVm == self_) {
            takeOver(now, report);
            continue;
        }
        for (const ServerEnd &end : report.ends) {
            const auto known = others_.find(end);
            others.emplace(end, known == others_.end() ? now : known->second);
        }
        excusedByOthers_.insert(report.excused.begin(), report.excused.end());
    }
    others_ = std::move(others);
    noteExcuses(now, before);
    hasHeard_ = true;
    boundOwn();
    reconsider();
}

void CrashLedger::noteExcuses(TimePoint now, const std::set<ServerEnd> &before)
{
    for (const ServerEnd &end : excusedByOthers_) {
        if (!before.contains(end)) {
            answeredAt_[end.content] = now;
        }
    }
}

void CrashLedger::takeOver(TimePoint now, const CrashReport &former)
{
    // A former process may tell its last after this one has begun: its write comes late, or it is still stopping.
    for (const ServerEnd &end : former.ends) {
        if (!everOwn_.contains(end)) {
            addOwn(end, {now, true});
        }
    }
    for (const ServerEnd &end : former.excused) {
        excused_.emplace(end, now);
    }
}

void CrashLedger::addOwn(const ServerEnd &end, const Own &own)
{
    own_.try_emplace(end, own);
    if (everOwn_.size() > MostRemembered) {
        everOwn_.clear();
    }
    everOwn_.insert(end);
}

void CrashLedger::heard(TimePoint now, const NamedCrashReport &report)
{
    const bool isKnown = heard_.contains(report.entryVm);
    if (report.entryVm == self_ || (!isKnown && heard_.size() >= MostHeard)) {
        return;
    }
    heard_[report.entryVm] = {now, report.report};
    reconsider();
}

void CrashLedger::witness(TimePoint now)
{
    const auto isShown = [this](const ServerEnd &end) { return others_.contains(end) || own_.contains(end); };
    for (auto entry = heard_.begin(); entry != heard_.end();) {
        const auto &ends = entry->second.report.ends;
        const bool isAllShown = std::all_of(ends.begin(), ends.end(), isShown);
        const bool isLate = now - entry->second.at >= WitnessDelay;
        if (isLate) {
            for (const ServerEnd &end : ends) {
                if (!isShown(end)) {
                    addOwn(end, {now, true});
                }
            }
            boundOwn();
        }
        entry = isLate || isAllShown ? heard_.erase(entry) : std::next(entry);
        if (isLate) {
            reconsider();
        }
    }
}

void CrashLedger::tick(TimePoint now)
{
    witness(now);
    for (auto &[end, own] : own_) {
        if (!own.isTold && (now - own.seenAt >= FirstEndDelay || hasOthersOf(end))) {
            own.isTold = true;
            isReportStale_ = true;
        }
    }
    if (now >= nextExpiry_) {
        nextExpiry_ = now + ExpiryInterval;
        expire(now);
    }
}

void CrashLedger::expire(TimePoint now)
{
    const auto isOver = [now](TimePoint since) { return now - since > EndLifetime; };
    std::size_t dropped = std::erase_if(own_, [&isOver](const auto &entry) { return isOver(entry.second.seenAt); });
    dropped += std::erase_if(excused_, [&isOver](const auto &entry) { return isOver(entry.second); });
    // Ends of entry VMs that are gone stay in the store; here they are forgotten in place, and not heard of anew.
    for (auto &[end, since] : others_) {
        dropped += isOver(since) && excusedByOthers_.insert(end).second ? 1 : 0;
    }
    dropped += std::erase_if(answeredAt_, [now](const auto &entry) { return now - entry.second > ExcuseLifetime; });
    if (dropped > 0) {
        reconsider();
    }
}

std::shared_ptr<const CrashVerdicts> CrashLedger::takeVerdicts()
{
    return std::exchange(areVerdictsNew_, false) ? std::make_shared<const CrashVerdicts>(verdicts_) : nullptr;
}

std::optional<CrashReport> CrashLedger::takeReport()
{
    if (!hasHeard_ || !std::exchange(isReportStale_, false)) {
        return std::nullopt;
    }
    CrashReport report;
    for (const auto &[end, own] : own_) {
        if (own.isTold) {
            report.ends.push_back(end);
        }
    }
    for (const auto &[end, since] : excused_) {
        report.excused.push_back(end);
    }
    if (taken_ == report) {
        return std::nullopt;
    }
    taken_ = report;
    return report;
}

std::vector<ServerEnd> CrashLedger::counting() const
{
    std::set<ServerEnd> all;
    for (const auto &[end, own] : own_) {
        all.insert(end);
    }
    for (const auto &[end, since] : others_) {
        all.insert(end);
    }
    for (const auto &[entryVm, heard] : heard_) {
        all.insert(heard.report.ends.begin(), heard.report.ends.end());
    }
    std::erase_if(all, [this](const ServerEnd &end) { return excused_.contains(end) || excusedByOthers_.contains(end); });
    return {all.begin(), all.end()};
}

std::vector<ServerEnd> CrashLedger::allExcused() const
{
    std::vector<ServerEnd> all(excusedByOthers_.begin(), excusedByOthers_.end());
    for (const auto &[end, since] : excused_) {
        all.push_back(end);
    }
    return all;
}

bool CrashLedger::hasOthersOf(const ServerEnd &end) const
{
    const auto isOther = [&end](const auto &entry) { return entry.first.content.digest == end.content.digest && entry.first.server != end.server; };
    return std::any_of(own_.begin(), own_.end(), isOther) || std::any_of(others_.begin(), others_.end(), isOther);
}

void CrashLedger::reconsider()
{
    isReportStale_ = true;
    std::set<RequestContent> answeredLately;
    for (const auto &[content, at] : answeredAt_) {
        answeredLately.insert(content);
    }
    CrashVerdicts next(counting(), allExcused(), answeredLately);
    if (next != verdicts_) {
        verdicts_ = std::move(next);
        areVerdictsNew_ = true;
    }
}

void CrashLedger::boundOwn()
{
    dropOldest(own_, MostKept, [](const auto &entry) { return entry.second.seenAt; });
    dropOldest(excused_, MostKept, [](const auto &entry) { return entry.second; });
}

} // namespace Cloverbarrow
