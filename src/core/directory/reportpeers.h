/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Entry VMs other than relays with which reports are exchanged. A relay names some of its followers as standbys. When it no longer answers, all
/// followers exchange reports with the standbys until they follow a relay of their availability zone again. Standbys correspond to the successor list
/// in Chord (Stoica et al., 2001). They hold no lease and give no proof about the store.
class ReportPeers
{
public:
    /// Interval between exchanges with the same standby.
    static constexpr Duration ExchangeInterval = milliseconds(400);
    /// An entry VM that has not requested reports for this long has terminated or follows a relay.
    static constexpr Duration RequesterLifetime = seconds(2);
    /// Maximum number of stored addresses. Standbys of an earlier relay are kept after those named last and are contacted too.
    static constexpr std::size_t MaxStoredStandbys = 6;

    /// @param localAddress address of this entry VM.
    explicit ReportPeers(std::string localAddress);

    /// The followed relay at address @p relay has named its standbys.
    void setStandbys(const std::string &relay, std::span<const std::string> standbys);
    /// @return the entry VMs that replace the relay when none is followed: the standbys and the last relay, without this entry VM.
    std::vector<std::string> substitutes() const;
    /// @return whether this entry VM was named as a standby.
    bool isStandby() const;
    /// @return whether an exchange with all substitutes is due. If so, schedules the next one after ExchangeInterval.
    bool takeDue(TimePoint now);

    /// The entry VM at address @p peer has requested all reports.
    void onRequest(TimePoint now, const std::string &peer);
    /// @return addresses of the entry VMs that have requested reports within RequesterLifetime.
    std::vector<std::string> requesters(TimePoint now) const;

private:
    std::string localAddress_;
    std::string relay_; ///< Relay that last named standbys.
    std::vector<std::string> standbys_;
    std::map<std::string, TimePoint> requestedAt_; ///< By address.
    TimePoint nextExchange_;
};

} // namespace Cloverbarrow
