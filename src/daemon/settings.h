/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/fleetbudgets.h"
#include "core/support/time.h"
#include "core/support/yamlreader.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

/// A store that tells routes and backend servers in place of the project's own configuration object.
struct DirectorySettings {
    std::string address;
    std::string relayAddress; ///< To tell the others of the availability zone; empty: each follows the store for itself.
    bool isFirstStart = false; ///< All entry VMs start together for the first time.
    double linkMbps = 0; ///< Of this VM; 0: not known. VMs with fast links relay first.
    FleetBudgets budgets;

    bool operator==(const DirectorySettings &) const = default;
};

/// What one process of cloverbarrowd is told at its start. Everything that operators decide lives in the
/// configuration at the platform instead.
struct Settings {
    std::string name;
    std::string zone;
    std::string region;
    std::string callersAddress; ///< All addresses are `IP:port`; port 0 lets the kernel choose.
    std::string peersAddress;
    std::string adminAddress;
    std::string operationsAddress;
    std::string metricsAddress; ///< Where the operations address is served as well, at a port that does not change; may be empty.
    std::string platformAddress; ///< Empty with a directory; so are those of peers and administration.
    std::optional<DirectorySettings> directory;
    std::vector<std::string> firstPeers;
    Duration shutdownNotice = seconds(2);
    Duration shutdownLimit = seconds(60);
    int callerThreads = 2;
    int backendThreads = 2;
    int maxBodyBytes = 8 * 1024 * 1024;
    Duration slowCallerBound = seconds(10);
    std::string logLevel = "info";

    bool operator==(const Settings &) const = default;
};

/// Reads and checks a whole settings document.
/// @return the settings, or each fault found.
std::variant<Settings, std::vector<DocumentFault>> parseSettings(std::string_view document);

} // namespace Cloverbarrow
