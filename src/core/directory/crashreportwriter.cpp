/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/crashreportwriter.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// Each write is billed, and several servers may crash within a short time. Short compared with the time in which all entry VMs must have the report.
constexpr Duration WritePause = milliseconds(150);
// All entry VMs must have read the report within 3 s after the store is reachable again, so the longest pause is below half of that.
constexpr Duration FirstRetryPause = milliseconds(300);
constexpr int MaxRetryPauseDoublings = 2;
// Time in which another thread merges a report read from the store into the desired report.
constexpr Duration MergeTime = milliseconds(100);

} // namespace

void CrashReportWriter::want(std::uint64_t order, CrashReport report)
{
    if (order > order_) {
        order_ = order;
        wanted_ = std::move(report);
    }
}

void CrashReportWriter::found(TimePoint now, std::int64_t revision, const CrashReport &report)
{
    foundRevision_ = std::max(foundRevision_, revision);
    if (wanted_ && report != *wanted_) {
        nextCall_ = std::max(nextCall_, now + MergeTime);
    }
    know(revision, report);
}

void CrashReportWriter::know(std::int64_t revision, const CrashReport &report)
{
    if (!revision_ || revision > *revision_) {
        revision_ = revision;
        stored_ = report;
    }
}

void CrashReportWriter::gone(std::int64_t revision)
{
    if (revision_ && revision > *revision_) {
        revision_ = 0;
        stored_ = {};
    }
}

void CrashReportWriter::written(TimePoint now, const CrashReportWritten &answer, Random &random)
{
    isCalling_ = false;
    if (answer.revision > 0) {
        failures_ = 0;
        nextCall_ = now + WritePause;
        if (answer.report != sent_) {
            foreignRevision_ = answer.revision;
        }
        know(answer.revision, answer.report);
        return;
    }
    const Duration pause = FirstRetryPause * (1 << std::min(failures_, MaxRetryPauseDoublings));
    ++failures_;
    nextCall_ = now + pause / 2 + Duration(random.below(static_cast<std::size_t>((pause / 2).count())));
}

bool CrashReportWriter::hasUnwritten() const
{
    return revision_ && wanted_ && *wanted_ != stored_;
}

void CrashReportWriter::tick(TimePoint now, DirectoryActions &actions)
{
    if (!hasUnwritten() || isCalling_ || now < nextCall_ || foundRevision_ < foreignRevision_) {
        return;
    }
    isCalling_ = true;
    sent_ = *wanted_;
    actions.emplace_back(WriteCrashReport{*wanted_, *revision_});
}

} // namespace Cloverbarrow
