/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashreport.h"
#include "core/crashes/crashupdate.h"
#include "core/crashes/peercrashupdates.h"
#include "core/crashes/requestblocklist.h"
#include "core/support/time.h"
#include "core/support/tokenbucket.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Tracks which requests crash backend servers, from local observations and from the reports of peers. Entry VMs that have the same reports build
/// the same blocklist; crashes and exonerations are only ever merged, so the order in which they are received does not matter.
class PoisonRequestTracker
{
public:
    /// How long a crash counts. A caller that sends a poison request again later crashes at most three more servers; one that was blocked wrongly is served
    /// again.
    static constexpr Duration CrashLifetime = seconds(3600);
    /// Delay before a crash is reported if no other server has crashed on the same request. The retry of a request that is not the cause is usually answered by
    /// then, and no report is needed. 0.4 s is longer than most kinds of requests take, and short compared with the time within which all entry VMs must have
    /// the report.
    static constexpr Duration FirstCrashDelay = milliseconds(400);
    /// How long a request is not blocked after it was exonerated, whatever crashes are reported. While a poison request crashes servers one after the other,
    /// a frequent request is in flight at each of them, and it takes time until the entry VMs that received its answers exonerate it from each crash.
    static constexpr Duration ExonerationLifetime = seconds(30);
    /// Delay after which a proxy reporter reports a peer's crash on its behalf. Longer than the time within which a crash can be withdrawn.
    static constexpr Duration ProxyReportDelay = milliseconds(2000);
    /// Delay before a lost answer is reported, unless another server is linked to the same request. A live server has answered its first probe by then, so that
    /// nothing is reported when connections to all servers are reset at once.
    static constexpr Duration FirstSuspicionDelay = milliseconds(50);
    /// Delay before a lost answer counts. Peers that have received answers to the same request have exonerated it by then.
    static constexpr Duration SuspicionGracePeriod = milliseconds(50);
    /// Time after which a lost answer is dropped if its server has neither crashed nor answered: the longest that the removal of a directory entry may take.
    static constexpr Duration SuspicionLifetime = seconds(10);
    /// Interval at which updates are sent again to relays while the store does not contain them, since updates may get lost and a process that stops sending
    /// them may have crashed.
    static constexpr Duration ResendInterval = milliseconds(700);
    /// How often a relay forwards updates to its followers. Each time costs a message to every follower, so without a limit a wave of lost answers at many
    /// entry VMs takes all of their processor time.
    static constexpr double ForwardsPerSecond = 10;
    static constexpr double ForwardBurst = 5;
    /// Minimum interval between rebuilds of the blocklist for updates of peers and for suspicions that have become due, unless one of them changes whether a
    /// request is blocked. A relay receives those of the whole fleet, and a rebuild takes time for each known crash.
    static constexpr Duration MinRebuildInterval = milliseconds(30);
    /// Most local crashes, suspicions and exonerations of each sort that are kept; the oldest are evicted first. An entry takes about 100 bytes, in a store
    /// object of at most 1 MB.
    static constexpr std::size_t MaxEntries = 512;

    /// @param localEntryVm name under which this entry VM publishes its report.
    /// @param process distinguishes this process from others of the same name.
    explicit PoisonRequestTracker(std::string localEntryVm, std::string process = {});

    /// The answer of a server was lost, so the server may have crashed.
    void serverSuspected(TimePoint now, const RequestFingerprint &fingerprint, const std::string &server);
    /// A server crashed while this entry VM waited for its answer.
    void serverCrashed(TimePoint now, const RequestFingerprint &fingerprint, const std::string &server);
    /// A suspected server has turned out not to have crashed.
    void suspicionCleared(TimePoint now, const std::string &server);
    /// A server that was considered crashed has answered again.
    void serverRecovered(TimePoint now, const std::string &server);
    /// A server has answered a request with this fingerprint. This also exonerates it from crashes of servers that processed copies of other callers, but not
    /// those callers, whose copies may differ in their headers.
    void requestAnswered(TimePoint now, const RequestFingerprint &fingerprint);
    /// Replaces the reports read from the store by @p reports, which are all that it holds. Crashes in this entry VM's report that this process never published
    /// come from a former process and are adopted.
    void reportsReceived(TimePoint now, const std::vector<NamedCrashReport> &reports);
    /// Applies an update that a peer sent directly, since the store may be unreachable. It counts while the store does not contain it; if the store still
    /// does not contain it after ProxyReportDelay, a proxy reporter adds it to its own report, since the peer may have crashed.
    void updateReceived(TimePoint now, const CrashUpdate &update);
    /// Messages of peers were refused for lack of capacity, so silence of a peer does not show that it has terminated.
    void updatesRefused(TimePoint now);
    /// Set while this entry VM is a relay or has no relay itself.
    void setProxyReporter(bool isProxyReporter);
    void tick(TimePoint now);

    /// @return the blocklist if it has changed since the last call; otherwise null.
    std::shared_ptr<const RequestBlocklist> takeBlocklist();
    /// @return the report to publish, if it has changed since the last call and the earlier report was read from the store.
    std::optional<CrashReport> takeReport();
    /// @return updates to send directly to other entry VMs, if there are any since the last call.
    std::optional<CrashBroadcast> takeBroadcast(TimePoint now);
    /// @return local and received updates that the store does not contain.
    std::vector<CrashUpdate> pendingUpdates() const;
    const CrashUpdateCounts &updateCounts() const;

private:
    struct LocalCrash {
        TimePoint seenAt;
        bool isPublished = false;
    };

    /// Drops entries whose lifetime is over.
    void expire(TimePoint now);
    void adoptReport(TimePoint now, const CrashReport &formerReport);
    void addLocalCrash(const ServerCrash &crash, const LocalCrash &localCrash);
    /// Reports crashes that peers sent directly and that did not reach the store in time.
    void reportByProxy(TimePoint now);
    /// @return whether the crash is known locally or from the store, not only from updates that peers sent directly.
    bool isLocalOrStored(const ServerCrash &crash) const;
    bool isInStoredLocalReport(const ServerCrash &crash) const;
    CrashUpdate makeLocalUpdate(TimePoint now) const;
    /// Adds the local update to @p broadcast if it has changed or is due to be sent again.
    void addLocalUpdate(TimePoint now, CrashBroadcast &broadcast);
    /// @return whether @p next adds something to @p last, or withdraws something that is known from @p last alone.
    bool isSignificantChange(const CrashUpdate &last, const CrashUpdate &next) const;
    /// @return whether followers need the update: it exonerates requests, or two or more servers are linked to one of its requests, and followers have to be
    /// notified before a third one crashes.
    bool needsForwarding(const CrashUpdate &update) const;
    /// @return whether two or more servers are linked to one of its requests.
    bool isNearThreshold(const CrashUpdate &update) const;
    std::vector<ServerCrash> countedCrashes() const;
    /// @return local and received suspicions that arose by @p until and are not exonerated.
    std::vector<ServerCrash> suspicionsBefore(TimePoint until) const;
    /// @return number of servers that have crashed, or may have, while they processed the request, including those that do not count yet.
    std::size_t affectedServerCount(const RequestFingerprint &fingerprint) const;
    /// @return number of servers that count against the request, for this caller alone or for all callers, whichever are more.
    std::size_t linkedServerCount(const RequestFingerprint &fingerprint) const;
    bool isExonerated(const ServerCrash &crash) const;
    /// @return whether a copy of the request that crashed the server was answered, for whichever caller.
    bool isExoneratedForAnyCaller(const ServerCrash &crash) const;
    /// @return whether a crash of the server under a copy of the request is known locally or from the store.
    bool isCopyLocalOrStored(const ServerCrash &crash) const;
    /// Exonerates the request of a caller from crashes that copies of other callers have caused.
    void exonerateFromOtherCallers(TimePoint now, const RequestFingerprint &fingerprint);
    std::vector<ServerCrash> allExonerated() const;
    bool hasCrashOnOtherServer(const ServerCrash &crash) const;
    /// @return whether the blocklist may be rebuilt again for changes that are not urgent.
    bool mayRebuild(TimePoint now) const;
    /// Applies received updates and suspicions that have become due to the blocklist.
    void applyUpdates(TimePoint now);
    void rebuildBlocklist(TimePoint now);
    /// @return whether a report that has not been applied yet may block a request or end its being blocked.
    bool changesDecision(const CrashReport &report) const;
    /// @return whether one of the requests is not blocked although enough servers are linked to it, or have crashed while they processed it for any caller.
    bool hasRequestToBlock(const std::vector<ServerCrash> &crashes) const;
    void addAffectedServers(const std::vector<ServerCrash> &crashes);
    void addCrashedServers(const std::vector<ServerCrash> &crashes);
    /// @param before exonerations by peers that were received earlier.
    void recordNewExonerations(TimePoint now, const std::set<ServerCrash> &before);
    void enforceSizeLimits();

    std::string localEntryVm_;
    std::string process_;
    bool isProxyReporter_ = false;
    std::map<ServerCrash, LocalCrash> localCrashes_;
    std::map<ServerCrash, TimePoint> suspected_; ///< Value: when the answer was lost.
    CrashReport storedLocalReport_; ///< Report of this entry VM as read from the store.
    std::map<ServerCrash, TimePoint> localExonerations_; ///< Exonerated by this entry VM.
    std::map<ServerCrash, TimePoint> storedPeerCrashes_; ///< From the store. Value: when the crash was first received.
    std::set<ServerCrash> storedPeerExonerations_;
    std::map<ServerCrash, TimePoint> directPeerExonerations_; ///< Received directly from peers.
    PeerCrashUpdates peerUpdates_;
    std::map<RequestFingerprint, TimePoint> exoneratedAt_; ///< When each request was last exonerated.
    std::set<ServerCrash> localCrashHistory_; ///< Crashes that this process has ever had in localCrashes_, including withdrawn ones.
    bool hasStoredReports_ = false; ///< Whether the reports in the store have been received.
    RequestBlocklist blocklist_;
    bool hasBlocklistChanged_ = false;
    bool isRebuildDue_ = false; ///< Whether updates were received, or suspicions have become due, since the blocklist was last rebuilt.
    bool isRebuildUrgent_ = false; ///< Whether the next rebuild changes which requests are blocked.
    std::optional<TimePoint> updatesAppliedAt_; ///< When the blocklist was last rebuilt because of updates.
    std::map<RequestFingerprint, std::set<std::string>> affectedServers_; ///< Servers that have crashed, or may have.
    std::map<std::string, std::set<std::string>> crashedServers_; ///< Servers whose crashes count against all callers, by the digest of the request.
    bool isReportStale_ = true;
    std::optional<CrashReport> lastReport_; ///< Last report that takeReport() returned.
    bool isUpdateStale_ = false;
    std::size_t countedSuspicions_ = 0; ///< Number of suspicions in the blocklist.
    CrashUpdate lastLocalUpdate_; ///< Last local update that takeBroadcast() returned.
    bool areFollowersNotified_ = false; ///< Whether followers have that update.
    bool wereFollowersNotified_ = false; ///< Whether followers have an earlier update, so that they need withdrawals too.
    CrashUpdateCounts updateCounts_;
    TokenBucket forwardTokens_{ForwardsPerSecond, ForwardBurst};
    TimePoint nextResend_; ///< When the local update is due to be sent again.
    TimePoint nextExpiry_;
};

} // namespace Cloverbarrow
