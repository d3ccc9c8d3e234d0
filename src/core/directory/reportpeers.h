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

/// Entry VMs beside the relays with which reports are exchanged. A relay names some of its followers as standbys; when it no longer answers, all of
/// them exchange reports with these until a relay of the availability zone is followed again. Standbys are to relays what the successor list of a node
/// is in Chord (Stoica et al., 2001). They hold no lease and prove nothing about the store.
class ReportPeers
{
public:
    /// Between two exchanges with the same standby.
    static constexpr Duration ExchangeInterval = milliseconds(400);
    /// An entry VM that has not asked for reports for so long has ended, or follows a relay.
    static constexpr Duration AskerLifetime = seconds(2);
    /// Addresses that are remembered, the latest named first, so that the standbys of an earlier relay are asked as well.
    static constexpr std::size_t MostRemembered = 6;

    /// @param own address of this entry VM.
    explicit ReportPeers(std::string own);

    /// The relay at address @p relay, which this entry VM follows, has named its standbys.
    void named(const std::string &relay, std::span<const std::string> standbys);
    /// @return the last relay and its standbys without this entry VM: who stands in when no relay is followed.
    std::vector<std::string> substitutes() const;
    /// @return whether this entry VM was named as a standby.
    bool isStandby() const;
    /// @return whether an exchange with all substitutes is due; then the next one is due after ExchangeInterval.
    bool takeDue(TimePoint now);

    /// The entry VM at address @p peer has asked for all reports.
    void asked(TimePoint now, const std::string &peer);
    /// @return addresses of the entry VMs that have asked lately.
    std::vector<std::string> askers(TimePoint now) const;

private:
    std::string own_;
    std::string relay_; ///< The last that named standbys.
    std::vector<std::string> standbys_;
    std::map<std::string, TimePoint> askedAt_; ///< By address.
    TimePoint nextExchange_;
};

} // namespace Cloverbarrow
