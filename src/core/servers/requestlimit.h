/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/limitreport.h"
#include "core/servers/serverquota.h"
#include "core/support/time.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

/// The answer announces no limit.
struct NoRequestLimit {
    bool operator==(const NoRequestLimit &) const = default;
};

/// Requests per second that a backend server accepts from all entry VMs together.
struct RequestLimit {
    double perSecond = 0;

    bool operator==(const RequestLimit &) const = default;
};

/// The answer announces a limit that cannot be parsed.
struct UnreadableLimit {
    std::string text;

    bool operator==(const UnreadableLimit &) const = default;
};

/// The request limit that an answer of a backend server announces.
using LimitNotice = std::variant<NoRequestLimit, RequestLimit, UnreadableLimit>;

/// Kinds of answers that may announce a limit.
enum class NoticeSource {
    Executed, ///< The request was executed.
    Rejection, ///< The request was rejected and not executed.
    Probe,
};

constexpr std::size_t NoticeSourceCount = 3;

/// @return the quota of all entry VMs of a zone for a server that accepts @p perSecond requests per second.
ServerQuota quotaFor(double perSecond);

/// The request limit of one server as announced by its answers. If the order of two answers is not known, the lower limit applies.
class TrackedLimit
{
public:
    /// Applies the notice of an answer. @param sentAt when the answered request was sent. @return whether the limit in force has changed.
    bool apply(TimePoint now, TimePoint sentAt, NoticeSource source, const LimitNotice &notice);
    /// Applies a limit that a peer has observed. @return whether the limit in force has changed.
    bool applyReport(TimePoint now, const LimitReport &report);
    /// @return requests per second; nothing while no limit is in force.
    std::optional<double> perSecond() const;
    /// @return the quota of all entry VMs of a zone for the server; nothing while no limit is in force.
    std::optional<ServerQuota> quota(TimePoint now) const;
    /// @return whether answers of this kind have ever announced a limit, so that one without a limit ends it.
    bool isAnnouncedBy(NoticeSource source) const;
    /// @return when an answer or a peer last reported whether there is a limit.
    TimePoint lastObservedAt() const;
    /// @return whether to notify peers that the limit is still in force; if so, they count as notified.
    bool claimConfirmation();

private:
    struct Rise {
        TimePoint at;
        double previousPerSecond = 0; ///< Requests per second before the increase.
    };

    bool set(TimePoint now, std::optional<double> perSecond);

    std::optional<double> perSecond_;
    std::vector<Rise> rises_; ///< Increases of the limit in force within the last window.
    TimePoint announcedAt_; ///< When an answer last announced the limit in force.
    TimePoint lastObservedAt_;
    TimePoint publishedAt_; ///< The value of `lastObservedAt_` that was last sent to peers or received from one.
    std::array<bool, NoticeSourceCount> announcesLimit_ = {
        true, false, false}; ///< By NoticeSource: whether such answers announce a limit while one is in force.
};

} // namespace Cloverbarrow
