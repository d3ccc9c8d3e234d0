/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/requestcontent.h"

#include <string>
#include <vector>

namespace Cloverbarrow
{

/// One start of a backend server has ended while it had a request with this content.
struct ServerEnd {
    RequestContent content;
    std::string server; ///< Name of the start.

    auto operator<=>(const ServerEnd &) const = default;
};

/// What one entry VM tells the others of servers that ended under requests.
struct CrashReport {
    std::vector<ServerEnd> ends; ///< As this entry VM saw them.
    std::vector<ServerEnd> excused; ///< Ends, whoever saw them, of which the content is not the cause: it was answered later.

    bool operator==(const CrashReport &) const = default;
};

/// The same, with the name of the entry VM.
struct NamedCrashReport {
    std::string entryVm;
    CrashReport report;

    bool operator==(const NamedCrashReport &) const = default;
};

} // namespace Cloverbarrow
