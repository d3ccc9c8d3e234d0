/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"
#include "core/support/tokenbucket.h"

#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// Decides whether a slow or lost response of one attempt shows that its server is slow. A request can also take long because this entry VM was
/// paused, because its network is impaired, or because the whole service is overloaded. Therefore another server must have responded in the usual time to a
/// request that was sent later.
class SlowServerDetector
{
public:
    /// @param expected response time expected when the attempt was started, by the reported state of the server. @param objective latency objective of the
    /// request.
    /// @return the time after which an attempt without a response counts as slow.
    static Duration slowAfter(Duration expected, Duration objective);
    /// @param expected as above. @return whether a response after @p latency shows that its server has its usual speed.
    static bool isUsual(Duration latency, Duration expected);

    /// Call several times a second, since pauses of the process are detected by the time between two calls.
    void tick(TimePoint now);
    /// @p server has responded in the usual time to a request that was sent at @p sentAt.
    void recordUsualResponse(std::string_view server, TimePoint sentAt);
    /// @return whether an attempt at @p server that was slow, or whose response was lost, shows that the server is slow.
    bool isConclusive(TimePoint now, std::string_view server, TimePoint startedAt) const;
    /// @return whether the rate limit allows another report; if so, it is counted.
    bool takeReport(TimePoint now);

private:
    // An entry VM observes a slow server only by its own requests, of which it has a few each second.
    static constexpr double ReportsPerSecond = 8;
    static constexpr double ReportBurst = 32;

    TimePoint lastTick_;
    TimePoint resumedAt_; ///< End of the last pause of this process.
    std::string usualServer_; ///< Server of the latest request with a usual response time.
    TimePoint usualSentAt_; ///< When that request was sent.
    TokenBucket reports_{ReportsPerSecond, ReportBurst};
};

} // namespace Cloverbarrow
