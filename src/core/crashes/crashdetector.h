/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/requestfingerprint.h"
#include "core/support/time.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// What a probe or an attempt has shown about the liveness of a server.
enum class ServerLiveness {
    Answered, ///< The server itself answered, with any status.
    Rejected, ///< Nothing listens at the address, the connection was closed at once, or another server answered.
    Unresponsive,
};

/// Detects whether a backend server has crashed after answers of it were lost. A lost answer alone proves little: overloaded servers reset
/// connections, answers are truncated on the way, and entry VMs lose their network. A crashed server rejects several probes in a row, or its directory
/// entry is removed.
class CrashDetector
{
public:
    /// Consecutive rejected probes after which a server is considered crashed.
    static constexpr int RejectedProbesForCrash = 3;
    /// Three probes take about 250 ms, within which a server that is overloaded for a moment has answered one of them.
    static constexpr Duration ProbeInterval = milliseconds(120);
    /// Time after a lost answer before a server can be considered crashed. Many requests probe a server at once, so several probes may be rejected at the
    /// same moment.
    static constexpr Duration MinDetectionTime = milliseconds(200);
    /// A server that answers within this time has not crashed. A crashed one takes some seconds to restart, and may have its former id then.
    static constexpr Duration RecoveryLimit = milliseconds(1500);
    /// Observations this soon after the lost answer are ignored: they were in flight when it was lost and do not show the state after it.
    static constexpr Duration SettleTime = milliseconds(30);
    /// Longest time that the removal of a directory entry may take. The entry of an unresponsive server is removed at its third missed heartbeat: after 4.5 s
    /// with heartbeats every 1.5 s.
    static constexpr Duration EntryRemovalLimit = seconds(10);

    struct Finding {
        std::vector<RequestFingerprint> crashFingerprints; ///< Requests that the server was processing, if its crash was just detected.
        bool hasRecovered = false; ///< A server that was considered crashed has answered.
        bool isSuspected = false; ///< The server may have crashed on a request that was not linked to it before.
        bool isSuspicionCleared = false; ///< A suspected server has answered.
    };

    /// State of the directory entry of a server whose answer was lost.
    enum class DirectoryStatus {
        Serving,
        Leaving, ///< Its entry will be removed in any case.
        Unlisted, ///< Its entry has been removed already.
    };

    /// The server's answer to a request with this fingerprint was lost.
    Finding answerLost(TimePoint now,
                       const std::string &server,
                       const RequestFingerprint &fingerprint,
                       DirectoryStatus directoryStatus = DirectoryStatus::Serving);
    Finding livenessObserved(TimePoint now, const std::string &server, ServerLiveness liveness);
    /// @param servers that have directory entries now. @param crashed is called for servers that are found to have crashed.
    void directoryUpdated(TimePoint now,
                          std::span<const std::string> servers,
                          const std::function<void(const std::string &server, const Finding &finding)> &crashed);
    /// @return servers to probe now. Stops watching servers whose time limits have passed.
    std::vector<std::string> takeDueProbes(TimePoint now);
    /// A due probe could not be sent, so it is due again at once.
    void probeNotSent(const std::string &server, TimePoint now);

private:
    struct WatchedServer {
        std::string server;
        TimePoint lostAt;
        TimePoint nextProbe;
        std::vector<RequestFingerprint> fingerprints;
        DirectoryStatus directoryStatus = DirectoryStatus::Serving;
        int rejectedProbes = 0;
        bool hasCrashed = false;
    };

    std::vector<WatchedServer>::iterator find(const std::string &server);

    std::vector<WatchedServer> watched_;
};

} // namespace Cloverbarrow
