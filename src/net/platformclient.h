/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/controlevents.h"
#include "core/storecall.h"
#include "core/support/time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// The platform's answer to a watch.
struct WatchResult {
    bool hasAnswered = false;
    std::optional<StoreFound> newer; ///< Nothing if the object is not newer or does not exist.
};

/// The platform's answer to a request for its VM list.
struct VmListResult {
    bool hasAnswered = false;
    std::vector<ListedVm> vms;
};

/// Client of the platform that docs/PLATFORM.md describes. Each function calls its callback once, from another thread.
class PlatformClient
{
public:
    virtual ~PlatformClient() = default;

    virtual void call(StoreCall call, std::function<void(StoreResult)> done) = 0;
    /// Calls @p done when the object is newer than @p afterVersion, or after @p wait.
    virtual void watch(const StoreObject &object, std::int64_t afterVersion, Duration wait, std::function<void(WatchResult)> done) = 0;
    virtual void listVms(std::function<void(VmListResult)> done) = 0;
};

} // namespace Cloverbarrow
