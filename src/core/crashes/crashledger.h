/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashnews.h"
#include "core/crashes/crashreport.h"
#include "core/crashes/crashverdicts.h"
#include "core/crashes/heardcrashnews.h"
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
    /// server after the other while another one ends them, and each end takes its time to be excused by those that had the answers.
    static constexpr Duration ExcuseLifetime = seconds(30);
    /// Longer than an end may be withdrawn.
    static constexpr Duration WitnessDelay = milliseconds(2000);
    /// A lost answer is told only then, unless another server is known under its content: a server that lives has answered its first probe by then, and when
    /// connections to all servers are reset at once, nobody needs to be told.
    static constexpr Duration FirstSuspicionDelay = milliseconds(50);
    /// A lost answer counts from then on. Other entry VMs that have had answers to the same content have excused it by then.
    static constexpr Duration ExcuseTime = milliseconds(50);
    /// Lost answers of which it is not known by then whether their servers have ended say nothing any more: as long as an entry may take to go.
    static constexpr Duration SuspicionLifetime = seconds(10);
    /// While something is not shown by the store, relays are told again, since news may get lost and who falls silent may have ended.
    static constexpr Duration NewsInterval = milliseconds(700);
    /// Own ends, own suspicions and own excuses that are kept; the oldest go first. Some 100 bytes each, in an object of at most a megabyte.
    static constexpr std::size_t MostKept = 512;

    /// @param self name under which this entry VM tells its report, @param process tells this process from others of that name.
    explicit CrashLedger(std::string self, std::string process = {});

    /// The answer of a server was lost, which may have ended.
    void suspected(TimePoint now, const RequestContent &content, const std::string &server);
    /// A server has ended while this entry VM waited there for an answer.
    void ended(TimePoint now, const RequestContent &content, const std::string &server);
    /// The server that may have ended has not.
    void cleared(TimePoint now, const std::string &server);
    /// The server that counted as ended has not.
    void heardAgain(TimePoint now, const std::string &server);
    /// A server has answered a request with this content.
    void answered(TimePoint now, const RequestContent &content);
    /// All reports that the store holds now. What the own one has that this process never told is of a former one, and is taken over.
    void told(TimePoint now, const std::vector<NamedCrashReport> &reports);
    /// Another entry VM has told its news beside the store, which may be away. While the store does not show what it tells, it counts here; when it
    /// still does not after WitnessDelay, a relay tells it as its own, since the other one may have ended.
    void heard(TimePoint now, const CrashNews &news);
    /// Whether this entry VM relays to others now, or has no relay itself.
    void setWitness(bool isWitness);
    void tick(TimePoint now);

    /// @return verdicts that have changed since the last call; else null.
    std::shared_ptr<const CrashVerdicts> takeVerdicts();
    /// @return what is to be told, where it has changed since the last call and what was told before is known.
    std::optional<CrashReport> takeReport();
    /// @return news to be told beside the store, where there are any since the last call.
    std::optional<CrashSpread> takeSpread(TimePoint now);
    /// @return all that the store does not show, own and heard.
    std::vector<CrashNews> allNews() const;

private:
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
    /// @return whether the end is known here without what was heard beside the store.
    bool isKnownOtherwise(const ServerEnd &end) const;
    bool isShownAsOwn(const ServerEnd &end) const;
    CrashNews ownNews(TimePoint now) const;
    /// Takes own news into @p spread, where they have changed or are to be repeated.
    void spreadOwn(TimePoint now, CrashSpread &spread);
    /// @return whether @p next says what @p last did not, or no longer says what is not known otherwise.
    bool isNewsAfter(const CrashNews &last, const CrashNews &next) const;
    /// @return whether two servers or more are known under one of its contents, so that followers should know before a third ends, or ends are excused.
    bool isWorthPassingOn(const CrashNews &news) const;
    std::vector<ServerEnd> counting() const;
    /// @return lost answers that are not excused, own and heard, of those that were known before @p until.
    std::vector<ServerEnd> suspicionsBefore(TimePoint until) const;
    /// @return how many servers have ended, or may have, under the content, also those that do not count yet.
    std::size_t serversKnownUnder(const RequestContent &content) const;
    bool isExcused(const ServerEnd &end) const;
    std::vector<ServerEnd> allExcused() const;
    bool hasOthersOf(const ServerEnd &end) const;
    void reconsider(TimePoint now);
    /// @param before excuses of others that were known already.
    void noteExcuses(TimePoint now, const std::set<ServerEnd> &before);
    void boundOwn();

    std::string self_;
    std::string process_;
    bool isWitness_ = false;
    std::map<ServerEnd, Own> own_;
    std::map<ServerEnd, TimePoint> suspected_; ///< With the time when the answer was lost.
    CrashReport shownOwn_; ///< What the store shows of this entry VM.
    std::map<ServerEnd, TimePoint> excused_; ///< By this entry VM.
    std::map<ServerEnd, TimePoint> others_; ///< With the time when they were first heard of here.
    std::set<ServerEnd> excusedByOthers_;
    std::map<ServerEnd, TimePoint> heardExcused_; ///< Beside the store.
    HeardCrashNews heard_;
    std::map<RequestContent, TimePoint> answeredAt_; ///< When an excuse of the content was last heard of.
    std::set<ServerEnd> everOwn_; ///< Of this process, also those that were withdrawn since.
    bool hasHeard_ = false; ///< Of what the store holds.
    CrashVerdicts verdicts_;
    bool areVerdictsNew_ = false;
    bool isReportStale_ = true;
    std::optional<CrashReport> taken_; ///< Last report that was given out.
    bool isNewsStale_ = false;
    std::size_t countedSuspicions_ = 0; ///< In the verdicts.
    CrashNews lastNews_; ///< Last own news that were given out.
    bool areFollowersTold_ = false; ///< Of these.
    bool wereFollowersTold_ = false; ///< Of earlier ones, so they have to hear of a withdrawal.
    TimePoint nextNews_; ///< When they are repeated.
    TimePoint nextExpiry_;
};

} // namespace Cloverbarrow
