/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/directoryevents.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Cloverbarrow
{

using DirectoryCallback = std::function<void(DirectoryAnswer)>;

/// Client of the store that holds routes and backend servers. Each function calls its callback once, from another thread, with
/// the number of the call. An answer that cannot be decoded is reported as a failed call.
class DirectoryClient
{
public:
    virtual ~DirectoryClient() = default;

    virtual void list(const ListDirectory &action, DirectoryCallback done) = 0;
    virtual void watch(const WatchDirectory &action, DirectoryCallback done) = 0;
    /// Checks whether the store answers.
    virtual void check(DirectoryCallback done) = 0;
    virtual void readLeaderRecord(const std::string &zone, const ReadLeaderRecord &action, DirectoryCallback done) = 0;
    virtual void writeLeaderRecord(const std::string &zone, const WriteLeaderRecord &action, DirectoryCallback done) = 0;
    /// Writes the crash report of @p entryVm.
    virtual void writeCrashReport(const std::string &entryVm, const WriteCrashReport &action, DirectoryCallback done) = 0;
    virtual void writeRolloutStatus(const WriteRolloutStatus &action, DirectoryCallback done) = 0;
    /// Decodes an object that a relay sent. The entry has no value if the object cannot be decoded.
    virtual DirectoryEntry decode(Collection collection, const std::string &text) const = 0;
    /// @return number of calls made so far.
    virtual std::uint64_t calls() const = 0;
};

} // namespace Cloverbarrow
