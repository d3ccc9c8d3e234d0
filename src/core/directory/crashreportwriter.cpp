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

// Each write is billed, and several servers may crash within a short time, so a pause combines reports. It is short compared with the time in which all entry
// VMs must have the report.
constexpr Duration WritePause = milliseconds(150);
// All entry VMs must have read the report within 3 s after the store is reachable again, so the longest pause is below half of that.
constexpr Duration FirstRetryPause = milliseconds(300);
constexpr int MaxRetryPauseDoublings = 2;
// Time in which another thread merges a report read from the store into the desired report.
constexpr Duration MergeTime = milliseconds(100);

} // namespace

void CrashReportWriter::setDesired(std::uint64_t sequence, CrashReport report)
{
    if (sequence > desiredSequence_) {
        desiredSequence_ = sequence;
        desired_ = std::move(report);
    }
}

void CrashReportWriter::onRead(TimePoint now, std::int64_t revision, const CrashReport &report)
{
    readRevision_ = std::max(readRevision_, revision);
    if (desired_ && report != *desired_) {
        nextCall_ = std::max(nextCall_, now + MergeTime);
    }
    setStored(revision, report);
}

void CrashReportWriter::setStored(std::int64_t revision, const CrashReport &report)
{
    if (!revision_ || revision > *revision_) {
        revision_ = revision;
        stored_ = report;
    }
}

void CrashReportWriter::onDeleted(std::int64_t revision)
{
    if (revision_ && revision > *revision_) {
        revision_ = 0;
        stored_ = {};
    }
}

void CrashReportWriter::onWritten(TimePoint now, const CrashReportWritten &answer, Random &random)
{
    isWritePending_ = false;
    if (answer.revision > 0) {
        failures_ = 0;
        nextCall_ = now + WritePause;
        if (answer.report != sent_) {
            foreignRevision_ = answer.revision;
        }
        setStored(answer.revision, answer.report);
        return;
    }
    const Duration pause = FirstRetryPause * (1 << std::min(failures_, MaxRetryPauseDoublings));
    ++failures_;
    nextCall_ = now + pause / 2 + Duration(random.below(static_cast<std::size_t>((pause / 2).count())));
}

bool CrashReportWriter::hasUnwritten() const
{
    return revision_ && desired_ && *desired_ != stored_;
}

void CrashReportWriter::tick(TimePoint now, DirectoryActions &actions)
{
    if (!hasUnwritten() || isWritePending_ || now < nextCall_ || readRevision_ < foreignRevision_) {
        return;
    }
    isWritePending_ = true;
    sent_ = *desired_;
    actions.emplace_back(WriteCrashReport{*desired_, *revision_});
}

} // namespace Cloverbarrow
