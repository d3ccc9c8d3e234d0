/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/answeredcontents.h"
#include "core/crashes/crashverdicts.h"
#include "core/crashes/serverendwatch.h"
#include "core/payouts/payoutledger.h"
#include "core/requests/callerpatience.h"
#include "core/requests/retrybudget.h"
#include "core/requests/serviceevents.h"
#include "core/servers/backendpool.h"
#include "core/servers/serverchooser.h"
#include "core/support/latest.h"
#include "core/support/random.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Everything one entry VM decides about the requests of one service: admission, the choice of a
/// backend server, retries, deadlines and payouts. Feed it events in time order and carry out the
/// actions it adds, in their order. Not thread-safe; the daemon keeps each shard under its own lock.
class ServiceShard
{
public:
    /// @param self this process, @param own where it stands, @param name of the service.
    ServiceShard(Incarnation self, Location own, std::string name, PickPolicy policy, std::uint64_t seed);

    /// @param actions receives what is to be done; existing entries stay.
    void handle(TimePoint now, const ServiceEvent &event, ServiceActions &actions);

    /// @return requests that have no final answer yet.
    std::size_t openRequests() const;
    /// @return payouts whose record is not yet as it should be.
    std::size_t openPayouts() const;
    const BackendPool &pool() const;

private:
    /// An attempt under way.
    struct Attempt {
        int number = 1;
        std::string backend;
        std::string address;
        TimePoint startedAt;
        StartState start; ///< How it found the server.
        std::optional<TimePoint> checkedAt; ///< When the server was probed because the answer takes long.
    };

    struct Request {
        RequestArrived arrival;
        int attempts = 0; ///< Started so far.
        int unsent = 0; ///< Of these, the ones of which nothing left this entry VM.
        std::vector<Attempt> running;
        std::optional<Choice> choice; ///< While a server is being chosen by probes.
        int probes = 0; ///< Servers asked so far.
        TimePoint giveUpAt; ///< When a choice without result ends.
        std::vector<std::string> tried; ///< Servers of all attempts.
        bool mayHaveRun = false; ///< An earlier attempt may have been run.
        bool isCallerGone = false;
        std::vector<std::string> lostAt; ///< Servers whose answers were lost.
    };

    /// What to do after an attempt.
    enum class Verdict {
        Pass,
        RetryOrPass,
        RetryOrRefuse,
        Refuse,
    };

    void on(TimePoint now, const RequestArrived &event, ServiceActions &actions);
    void on(TimePoint now, const CallerGone &event, ServiceActions &actions);
    void on(TimePoint now, const AttemptEnded &event, ServiceActions &actions);
    void on(TimePoint now, const ProbePermitted &event, ServiceActions &actions);
    void on(TimePoint now, const ProbeEnded &event, ServiceActions &actions);
    void on(TimePoint now, const PayoutStoreAnswered &event, ServiceActions &actions);
    void on(TimePoint now, const ServiceConfigured &event, ServiceActions &actions);
    void on(TimePoint now, const LeavingChanged &event, ServiceActions &actions);
    void on(TimePoint now, const FleetSizeChanged &event, ServiceActions &actions);
    void on(TimePoint now, const PeersInFlightTold &event, ServiceActions &actions);
    void on(TimePoint now, const CrashVerdictsChanged &event, ServiceActions &actions);
    void on(TimePoint now, const LimitsReported &event, ServiceActions &actions);
    void on(TimePoint now, const Tick &event, ServiceActions &actions);

    /// Notes that an answer was lost, and finds out whether its server has ended.
    void watchForEnd(TimePoint now, const Attempt &attempt, const AttemptEnded &event, ServiceActions &actions);
    /// Takes what an answer or a probe has shown of a server that is watched.
    void noteLifeSign(TimePoint now, const std::string &backend, LifeSign sign, ServiceActions &actions);
    void noteAnswered(TimePoint now, const RequestContent &content, ServiceActions &actions);
    ServerEndWatch::Standing standingOf(const std::string &backend) const;
    void tellFound(const std::string &backend, const ServerEndWatch::Found &found, ServiceActions &actions);
    /// Servers whose entries are gone have ended, if answers of them were lost just before.
    void watchEntries(TimePoint now, ServiceActions &actions);
    void probeWatched(TimePoint now, ServiceActions &actions);
    /// Ends requests that wait for a server and are not to be passed on any more.
    void refuseWaitingSuspects(TimePoint now, ServiceActions &actions);
    /// @return whether the request is not to be passed on, by what all entry VMs know and this one has seen itself.
    bool isRefusedForEnds(TimePoint now, const RequestContent &content) const;
    /// @return whether one more attempt may end a server beyond those that are borne, were all lost answers ends.
    bool mayEndTooMany(TimePoint now, const Request &request) const;
    Problem crashProblem(const RequestContent &content, Fate fate) const;
    std::optional<Problem> admissionProblem(TimePoint now, const RequestArrived &event) const;
    /// @return most requests that this entry VM may hold for the rest of them to be answered in time.
    std::size_t room(Duration timeLeft) const;
    bool isPayout(const Request &request) const;
    KindClass kindClass(const Request &request) const;
    /// Starts the next attempt, or lets the request wait for a server with room.
    void start(TimePoint now, Request &request, ServiceActions &actions);
    bool tryStart(TimePoint now, Request &request, ServiceActions &actions);
    void startAt(TimePoint now, const Backend &backend, Request &request, ServiceActions &actions);
    /// @return whether servers are probed before a request is sent to one of them.
    bool probesFirst() const;
    void beginChoice(TimePoint now, Request &request, bool isRescue, ServiceActions &actions);
    void proceedWithChoice(TimePoint now, Request &request, ServiceActions &actions);
    /// Gives waiting requests the servers that news have shown to have room, in the order in which they should be served.
    void dispatch(TimePoint now, ServiceActions &actions);
    std::vector<RequestId> choosingInOrder(TimePoint now) const;
    ChoiceNeed needOf(TimePoint now, const Request &request) const;
    /// @return how long until the latency objective is missed, counted from the caller's first request; negative when it is.
    Duration objectiveLeft(TimePoint now, const Request &request) const;
    void askServers(TimePoint now, Request &request, ServiceActions &actions);
    /// Chooses without probes: by what servers told before, or any when none has told anything.
    void chooseByOldReports(TimePoint now, Request &request, ServiceActions &actions);
    /// Sends the request to the server that was taken for it, if one was.
    void startChosen(TimePoint now, std::optional<std::size_t> index, Request &request, ServiceActions &actions);
    /// Ends choices that have lasted too long. @return whether the request has got its final answer.
    bool giveUpChoice(TimePoint now, Request &request, ServiceActions &actions);
    /// @return why a request is refused for want of room, with what is known of the servers.
    std::string noRoomDetail(TimePoint now, const Request &request) const;
    void tickChoices(TimePoint now, ServiceActions &actions);
    int maxAttempts(const Request &request) const;
    /// Probes the server of an attempt that takes long, once.
    void checkServer(TimePoint now, Request &request, ServiceActions &actions);
    /// @return whether the server of the only attempt has not answered a probe that was sent while it works.
    bool isServerSilent(TimePoint now, const Request &request) const;
    /// @return whether another attempt beside the only one is allowed at all.
    bool mayHedge(TimePoint now, const Request &request) const;
    /// Sends reads at servers that have fallen silent to a second one, where servers answer probes.
    void rescue(TimePoint now, ServiceActions &actions);
    /// Sends slow reads to a second server as well, where servers do not answer probes.
    void hedge(TimePoint now, ServiceActions &actions);
    bool takeHedge(TimePoint now);
    /// @param latencyMs mean latency of the servers.
    static bool isSlow(TimePoint now, const Request &request, double latencyMs);
    void cancelRunning(TimePoint now, Request &request, ServiceActions &actions);
    /// Takes the attempt off those under way. @return it, or nothing when it has ended before.
    std::optional<Attempt> takeRunning(RequestId request, int number);
    /// Tells when the server was ejected just now. @param after what ended.
    void reportEjection(TimePoint now, const std::string &backend, const char *after, ServiceActions &actions);
    /// Takes what a server told of itself, with an answer or a probe.
    void takeTold(TimePoint now, const std::string &backend, const std::optional<LoadReport> &report, const std::optional<Duration> &warmUp);
    /// Takes what an answer said of a limit. @param askedAt when the request was sent that it answers.
    void takeLimitNotice(
        TimePoint now, TimePoint askedAt, const std::string &backend, NoticeSource source, const std::optional<LimitNotice> &notice, ServiceActions &actions);
    /// Tells that the limit on a server's requests has changed. @param source nothing when a peer has told.
    void reportLimit(TimePoint now, const std::string &backend, std::optional<NoticeSource> source, bool isChanged, ServiceActions &actions) const;
    /// Asks servers that are not heard of whether their limits still stand.
    void checkLimits(TimePoint now, ServiceActions &actions);
    /// @return after what time a caller should retry, where bounds keep all servers from a request for longer than it is held; else nothing.
    std::optional<Duration> boundedFor(TimePoint now, Duration objective) const;
    void noteLeaving(const std::string &backend, ServiceActions &actions);
    AttemptQuality qualityOf(const Attempt &attempt, const AttemptOutcome &outcome) const;
    void learn(TimePoint now, const Attempt &attempt, const AttemptEnded &event, ServiceActions &actions);
    void startWaiting(TimePoint now, ServiceActions &actions);
    /// Refuses a waiting request that can wait no longer. @return whether it waits no more.
    bool expire(TimePoint now, RequestId id, ServiceActions &actions);
    void expireWaiting(TimePoint now, ServiceActions &actions);
    Verdict judge(const Request &request, const AttemptOutcome &outcome) const;
    /// @param isUnsent nothing of the last attempt left, so no server saw it and no budget is drawn on.
    bool mayRetry(TimePoint now, const Request &request, bool isUnsent);
    /// @return whether an attempt that is begun now might end before the deadline.
    bool hasTimeForAttempt(TimePoint now, const Request &request) const;
    void conclude(TimePoint now, Request &request, const Attempt &attempt, const AttemptEnded &event, Verdict verdict, ServiceActions &actions);
    /// @return when the caller of a request that was not run should come back, after its last attempt.
    Duration comeBackAfter(const Attempt &attempt, const Request &request) const;
    void refuse(const Request &request, Problem problem, ServiceActions &actions);
    void applyCap();

    Incarnation self_;
    std::string name_;
    std::int64_t version_ = 0;
    Service service_;
    BackendPool pool_;
    ServerChooser chooser_;
    RetryBudget retryBudget_;
    RetryBudget hedgeBudget_;
    CallerPatience patience_;
    PayoutLedger ledger_;
    Random random_;
    Latest<int> entryVms_{1};
    std::uint64_t leavingOrder_ = 0; ///< Of the newest LeavingChanged.
    Latest<std::shared_ptr<const CrashVerdicts>> crashVerdicts_{std::make_shared<const CrashVerdicts>()};
    ServerEndWatch endWatch_;
    AnsweredContents answered_;
    int lowestPriority_ = 0; ///< The greatest number that a request has come with.
    std::map<RequestId, Request> requests_;
    std::deque<RequestId> waiting_;
};

} // namespace Cloverbarrow
