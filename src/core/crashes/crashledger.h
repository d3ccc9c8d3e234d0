/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashreport.h"
#include "core/crashes/crashverdicts.h"
#include "core/support/time.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// What one entry VM knows of requests under which servers ended: what it saw, and what the others tell. All entry VMs that know the same
/// reports reach the same verdicts; ends and excuses are only added to each other, so it does not matter in which order they are heard.
class CrashLedger
{
public:
    /// How long an end counts. A caller that comes back later ends three servers again at most; one that was refused wrongly is served again.
    static constexpr Duration EndLifetime = seconds(3600);
    /// An end is told only then, unless there are others of its content: the retry of a request that is not the cause is mostly answered
    /// by then, and nothing needs to be told. 0.4 s is longer than the usual work of most kinds of requests, and small against the
    /// time in which all entry VMs must know.
    static constexpr Duration FirstEndDelay = milliseconds(400);
    /// A content of which an excuse was just heard is not refused for so long, whatever ends are told of: a request that is sent all the time is in hand at one
    /// server after the other while another one ends them, and each end takes its time to be excused by those that had the answers. Chosen, not measured.
    static constexpr Duration ExcuseLifetime = seconds(30);
    /// Longer than an end may be withdrawn.
    static constexpr Duration WitnessDelay = milliseconds(2000);
    /// Entry VMs of which a report is kept that the store does not show; many more than end servers at once.
    static constexpr std::size_t MostHeard = 64;
    /// Own ends and own excuses that are kept; the oldest go first. Some 100 bytes each, in an object of at most a megabyte.
    static constexpr std::size_t MostKept = 512;

    /// @param self name under which this entry VM tells its report.
    explicit CrashLedger(std::string self);

    /// A server has ended while this entry VM waited there for an answer.
    void ended(TimePoint now, const RequestContent &content, const std::string &server);
    /// The server has not ended after all.
    void heardAgain(const std::string &server);
    /// A server has answered a request with this content.
    void answered(TimePoint now, const RequestContent &content);
    /// All reports that the store holds now. What the own one has that this process never told is of a former one, and is taken over.
    void told(TimePoint now, const std::vector<NamedCrashReport> &reports);
    /// Another entry VM tells this relay its report beside the store, which may be away. While the store does not show what it tells, it counts here; when it
    /// still does not after WitnessDelay, this entry VM tells it as its own, since the other one may have ended.
    void heard(TimePoint now, const NamedCrashReport &report);
    void tick(TimePoint now);

    /// @return verdicts that have changed since the last call; else null.
    std::shared_ptr<const CrashVerdicts> takeVerdicts();
    /// @return what is to be told, where it has changed since the last call and what was told before is known.
    std::optional<CrashReport> takeReport();

private:
    struct Heard {
        TimePoint at;
        CrashReport report;
    };

    struct Own {
        TimePoint seenAt;
        bool isTold = false;
    };

    /// Forgets what is too old.
    void expire(TimePoint now);
    void takeOver(TimePoint now, const CrashReport &former);
    void addOwn(const ServerEnd &end, const Own &own);
    /// Takes over what was heard and is not shown by the store in time.
    void witness(TimePoint now);
    std::vector<ServerEnd> counting() const;
    std::vector<ServerEnd> allExcused() const;
    bool hasOthersOf(const ServerEnd &end) const;
    void reconsider();
    /// @param before excuses of others that were known already.
    void noteExcuses(TimePoint now, const std::set<ServerEnd> &before);
    void boundOwn();

    std::string self_;
    std::map<ServerEnd, Own> own_;
    std::map<ServerEnd, TimePoint> excused_; ///< By this entry VM.
    std::map<ServerEnd, TimePoint> others_; ///< With the time when they were first heard of here.
    std::set<ServerEnd> excusedByOthers_;
    std::map<std::string, Heard> heard_; ///< By entry VM.
    std::map<RequestContent, TimePoint> answeredAt_; ///< When an excuse of the content was last heard of.
    std::set<ServerEnd> everOwn_; ///< Of this process, also those that were withdrawn since.
    bool hasHeard_ = false; ///< Of what the store holds.
    CrashVerdicts verdicts_;
    bool areVerdictsNew_ = false;
    bool isReportStale_ = true;
    std::optional<CrashReport> taken_; ///< Last report that was given out.
    TimePoint nextExpiry_;
};

} // namespace Cloverbarrow
