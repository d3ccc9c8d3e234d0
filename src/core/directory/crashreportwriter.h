/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/directoryevents.h"
#include "core/support/random.h"

#include <cstdint>
#include <optional>

namespace Cloverbarrow
{

/// Writes this entry VM's crash report to the store by conditional writes. A write whose answer was lost may have been applied or may be applied
/// later, so it is retried with the same expected revision; a conflict then returns the current object. A report written by an earlier process of this
/// entry VM is not overwritten before onRead() has delivered it, so that its content can be merged first.
class CrashReportWriter
{
public:
    /// Sets the desired report. It is written only after onRead() was called. @param sequence number of the report; a report whose number does not exceed the
    /// last one is ignored.
    void setDesired(std::uint64_t sequence, CrashReport report);
    /// The report was read from the watched collection. @param revision 0 if the object does not exist.
    void onRead(TimePoint now, std::int64_t revision, const CrashReport &report);
    /// The object was deleted. @param revision of the deletion.
    void onDeleted(std::int64_t revision);
    void onWritten(TimePoint now, const CrashReportWritten &answer, Random &random);
    void tick(TimePoint now, DirectoryActions &actions);
    /// @return whether the stored report differs from the desired one.
    bool hasUnwritten() const;

private:
    void setStored(std::int64_t revision, const CrashReport &report);

    std::uint64_t desiredSequence_ = 0; ///< Sequence number of the desired report.
    std::optional<CrashReport> desired_;
    CrashReport stored_;
    CrashReport sent_; ///< Content of the write in flight.
    std::optional<std::int64_t> revision_; ///< Of the stored report; empty while unknown.
    std::int64_t foreignRevision_ = 0; ///< Written by another process; nothing is written until onRead() has delivered it.
    std::int64_t readRevision_ = 0; ///< Latest revision delivered by onRead().
    bool isWritePending_ = false;
    int failures_ = 0;
    TimePoint nextCall_;
};

} // namespace Cloverbarrow
