/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/fleetallowance.h"
#include "core/servers/limitreport.h"
#include "core/support/time.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

/// The answer names no limit.
struct NoRequestLimit {
    bool operator==(const NoRequestLimit &) const = default;
};

/// Requests a second that a backend server takes from all entry VMs together.
struct RequestLimit {
    double perSecond = 0;

    bool operator==(const RequestLimit &) const = default;
};

/// The answer names a limit that cannot be read.
struct UnreadableLimit {
    std::string text;

    bool operator==(const UnreadableLimit &) const = default;
};

/// What an answer of a backend server says of a limit on its requests.
using LimitNotice = std::variant<NoRequestLimit, RequestLimit, UnreadableLimit>;

/// Kinds of answers that may name a limit.
enum class NoticeSource {
    Run, ///< The request was run.
    Rejection, ///< The request was not run.
    Probe,
};

constexpr std::size_t NoticeSources = 3;

/// @return what all entry VMs of a zone may send to a server that takes @p perSecond requests a second.
FleetAllowance allowanceFor(double perSecond);

/// The limit on the requests of one server, as its answers have named it. Where the order of two answers is not known, the lower limit holds.
class KnownLimit
{
public:
    /// @param askedAt when the request was sent that @p notice answers. @return whether the limit in force has changed.
    bool take(TimePoint now, TimePoint askedAt, NoticeSource source, const LimitNotice &notice);
    /// Takes what a peer has heard of the limit. @return as above.
    bool takeReport(TimePoint now, const LimitReport &report);
    /// @return requests a second; nothing while no limit is in force.
    std::optional<double> perSecond() const;
    /// @return what all entry VMs of a zone may send to the server; nothing while no limit is in force.
    std::optional<FleetAllowance> allowance(TimePoint now) const;
    /// @return whether answers of this kind have ever named a limit, so that one without ends it.
    bool isNamedBy(NoticeSource source) const;
    /// @return when it was last heard whether there is a limit.
    TimePoint heardAt() const;
    /// @return whether peers are to be told that the limit in force still stands; counted as told if so.
    bool takeConfirmation();

private:
    struct Rise {
        TimePoint at;
        double from = 0; ///< Requests a second before.
    };

    bool set(TimePoint now, std::optional<double> perSecond);

    std::optional<double> perSecond_;
    std::vector<Rise> rises_; ///< Of the limit in force, within the last window.
    TimePoint namedAt_; ///< When an answer last named the limit in force.
    TimePoint heardAt_;
    TimePoint toldAt_; ///< Heard then, it was told to peers, or by one.
    std::array<bool, NoticeSources> areNamedBy_ = {true, false, false}; ///< Kinds of answers that name a limit while there is one.
};

} // namespace Cloverbarrow
