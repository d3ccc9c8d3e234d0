/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashreport.h"

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <string>

namespace Cloverbarrow
{

/// Requests that are not sent to backend servers because too many servers have crashed while they processed copies of them. Immutable.
class RequestBlocklist
{
public:
    /// Number of crashed servers after which a request is blocked. One crash proves nothing, and two occur when a server crashes for another reason and the
    /// retry reaches another such server; a third one without an answer in between is caused by the request. Three is also what users tolerate.
    static constexpr std::size_t CrashesToBlock = 3;

    RequestBlocklist() = default;
    /// @param crashes that count.
    /// @param exonerated crashes that do not count: the caller has received an answer to the same request. They do not count against other callers either,
    /// except against one whose own copies have crashed enough servers.
    /// @param recentlyAnswered requests that are not blocked, whatever crashes are reported.
    /// @param suspected crashes inferred from answers that were just lost. They count against their caller until their servers answer.
    RequestBlocklist(std::span<const ServerCrash> crashes,
                     std::span<const ServerCrash> exonerated,
                     const std::set<RequestFingerprint> &recentlyAnswered = {},
                     std::span<const ServerCrash> suspected = {});

    bool blocks(const RequestFingerprint &fingerprint) const;
    /// @return whether the request is blocked because of the copies of this caller alone.
    bool blocksCaller(const RequestFingerprint &fingerprint) const;
    /// @return whether the request is blocked because of suspicions, which are cleared soon if the servers have not crashed.
    bool blocksTemporarily(const RequestFingerprint &fingerprint) const;
    /// @return whether the request is linked to a crash or a suspicion, or is about to be blocked for all callers, so that an answer to it must be reported.
    bool isSuspect(const RequestFingerprint &fingerprint) const;
    const std::set<RequestFingerprint> &suspects() const;
    /// @return servers whose crashes or suspected crashes count against the request.
    std::set<std::string> affectedServers(const RequestFingerprint &fingerprint) const;

    bool operator==(const RequestBlocklist &) const = default;

private:
    std::size_t crashedServerCount(const std::string &digest) const;

    std::set<RequestFingerprint> suspects_;
    std::map<RequestFingerprint, std::set<std::string>> affectedServers_;
    std::set<RequestFingerprint> blocked_;
    std::set<RequestFingerprint> temporarilyBlocked_;
    std::map<std::string, std::set<std::string>> crashedServers_; ///< Servers whose crashes count against all callers, by digest.
    std::set<RequestFingerprint> exonerated_;
};

} // namespace Cloverbarrow
