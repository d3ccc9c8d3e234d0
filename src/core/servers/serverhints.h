/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/slowserverreport.h"
#include "core/support/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// The servers of one service that recent reports, local or of other entry VMs, name as slow. A hint is never a reason to refuse a request: a
/// server with a hint is used when no other has free capacity.
class ServerHints
{
public:
    struct Hint {
        SlowServerReport report;
        TimePoint until; ///< When it expires.
    };

    /// @param entryVm name of this entry VM. Hints on a server expire at different times at different entry VMs, so that few of them try the server again
    /// at once.
    explicit ServerHints(std::string entryVm);

    /// The effect of a report.
    enum class Effect {
        None, ///< It has expired, is older than a local measurement or a known report, or too many servers are named.
        Added,
        Renewed, ///< The server had a hint before.
    };

    Effect apply(TimePoint now, const SlowServerReport &report);
    /// A response of @p server was received in the usual time. @return the hint that this overrides, if there is one.
    std::optional<Hint> recordUsualResponse(TimePoint now, std::string_view server);
    /// Removes expired entries. @param servers number of servers of the service. @return number of hints that have expired.
    std::size_t update(TimePoint now, std::size_t servers);

    /// @return the hint on @p server that has not expired, or nullptr.
    const Hint *find(TimePoint now, std::string_view server) const;
    /// @return whether @p server should be used only if no other server has free capacity.
    bool isAvoided(TimePoint now, std::string_view server) const;
    /// @return whether hints have no effect on the choice of servers because they name a large part of the service.
    bool isSuspended() const;
    /// @return number of hints, including those that have expired since the last update().
    std::size_t count() const;

private:
    Duration lifetimeFor(const std::string &server) const;

    std::string entryVm_;
    bool isSuspended_ = false;
    std::map<std::string, Hint, std::less<>> hints_; ///< By server.
    std::map<std::string, TimePoint, std::less<>> usualResponses_; ///< When the last usual response was received, by server.
};

} // namespace Cloverbarrow
