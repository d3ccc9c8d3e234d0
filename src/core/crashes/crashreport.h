/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/requestfingerprint.h"

#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Crash of one process of a backend server while it processed a request with this fingerprint.
struct ServerCrash {
    RequestFingerprint fingerprint;
    std::string server; ///< Name of the server; a restarted server has a new name.

    auto operator<=>(const ServerCrash &) const = default;
};

/// What one entry VM reports to its peers about backend servers that crashed while they processed requests.
struct CrashReport {
    std::vector<ServerCrash> crashes; ///< Crashes that this entry VM observed or reports on behalf of a peer.
    std::vector<ServerCrash> exonerated; ///< Crashes, observed by any entry VM, that the request did not cause: it was answered later.

    bool operator==(const CrashReport &) const = default;
};

/// A crash report with the name of the entry VM that published it.
struct NamedCrashReport {
    std::string entryVm;
    CrashReport report;

    bool operator==(const NamedCrashReport &) const = default;
};

} // namespace Cloverbarrow
