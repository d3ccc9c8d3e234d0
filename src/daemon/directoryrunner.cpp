/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/directoryrunner.h"

#include "core/support/address.h"
#include "core/support/httpstatus.h"
#include "net/bootclock.h"
#include "net/forwarding.h"
#include "net/relaymessages.h"
#include "net/rolloutmessages.h"

#include <utility>

namespace Cloverbarrow
{

DirectoryRunner::DirectoryRunner(const DirectorySettings &settings,
                                 std::string name,
                                 std::string zone,
                                 std::uint64_t seed,
                                 std::unique_ptr<DirectoryClient> client,
                                 HttpClient &http,
                                 std::shared_ptr<MemoryBudget> memory,
                                 EventHandler &events)
    : name_(std::move(name))
    , zone_(std::move(zone))
    , events_(events)
    , log_("directory")
    , store_(std::move(client))
    , relayClient_(http, *store_)
    , crashUpdates_(
          events,
          [this](const CrashUpdateOutbox::Delivery &delivery, CrashUpdateRunner::OutcomeCallback done) {
              relayClient_.sendCrashUpdates(delivery, std::move(done));
          },
          [this](const std::string &requester, const std::string &replier) { recordCrashUpdatePeer(requester, replier); },
          [this](const CrashUpdatesAnswered &answer) {
              handleAnswer({0, answer});
          })
    , limitExchange_(seed)
    , quotas_(http, settings.quotaTolerance, seed, [this] { return quotaPeers(); })
    , slowServers_(seed, events, [this] { return isOpen() && !isStopped_; })
{
    slowServers_.setEnabled(settings.budgets.sharesSlowServers);
    std::string relayAddress;
    if (!settings.relayAddress.empty()) {
        startRelayServer(settings.relayAddress, std::move(memory));
        relayAddress = withPort(settings.relayAddress, relayServer_->port());
    }
    const std::lock_guard lock(mutex_);
    manager_.emplace(settings.budgets,
                     RelayElection(relayAddress, settings.isFirstStart, seed, RelayElection::electionDelayFor(settings.linkMbps), zone_),
                     seed,
                     DirectoryIdentity{name_, zone_});
}

void DirectoryRunner::tick()
{
    DirectoryActions actions;
    {
        const std::lock_guard lock(mutex_);
        manager_->tick(bootNow(), actions);
    }
    perform(actions);
    exchangeLimits();
    if (relayServer_) {
        relayServer_->checkTimeouts(bootNow());
    }
}

void DirectoryRunner::setBudgets(const FleetBudgets &budgets)
{
    slowServers_.setEnabled(budgets.sharesSlowServers);
    DirectoryActions actions;
    {
        const std::lock_guard lock(mutex_);
        manager_->setBudgets(bootNow(), budgets, actions);
    }
    perform(actions);
}

void DirectoryRunner::requestConfirmation()
{
    DirectoryActions actions;
    {
        const std::lock_guard lock(mutex_);
        manager_->requestConfirmation(bootNow(), actions);
    }
    perform(actions);
}

bool DirectoryRunner::isConfirmed()
{
    const std::lock_guard lock(mutex_);
    return manager_->isConfirmed() && answersInProgress_ == 0;
}

void DirectoryRunner::publishCrashes(const PublishCrashReport &action)
{
    const std::lock_guard lock(mutex_);
    manager_->setCrashReport(action.order, action.report);
}

void DirectoryRunner::publishCrashes(const BroadcastCrashUpdates &action)
{
    DirectoryActions actions;
    {
        const std::lock_guard lock(mutex_);
        manager_->broadcastCrashUpdates(bootNow(), action.broadcast, actions);
    }
    perform(actions);
}

void DirectoryRunner::publishCrashes(const SendAllCrashUpdates &action)
{
    DirectoryActions actions;
    {
        const std::lock_guard lock(mutex_);
        manager_->sendCrashUpdates(action, actions);
    }
    perform(actions);
}

bool DirectoryRunner::isOpen()
{
    const std::lock_guard lock(forwardHandlerMutex_);
    return forwardHandler_ != nullptr;
}

std::optional<CrashUpdatesResponse> DirectoryRunner::acceptCrashUpdates(const std::string &text, bool isUrgent)
{
    // The relay server listens before the core exists, and after a restart of the whole fleet messages arrive in between.
    return isOpen() ? std::optional(crashUpdates_.accept(text, isUrgent)) : std::nullopt;
}

void DirectoryRunner::recordCrashUpdatePeer(const std::string &requester, const std::string &replier)
{
    const std::lock_guard lock(mutex_);
    if (manager_ && !requester.empty()) {
        manager_->crashUpdatesRequested(bootNow(), requester);
    }
    if (manager_ && !replier.empty()) {
        manager_->crashUpdatesReceived(replier);
    }
}

void DirectoryRunner::reportLimit(const LimitReport &report)
{
    const std::lock_guard lock(limitsMutex_);
    limitExchange_.serverReported(report);
}

void DirectoryRunner::reportVersionOutcome(const std::string &service, const VersionOutcome &outcome)
{
    const std::lock_guard lock(mutex_);
    manager_->recordVersionOutcome(service, outcome);
}

bool DirectoryRunner::acceptRolloutReports(const std::string &text)
{
    try {
        const RolloutReports reports = decodeRolloutReports(text);
        const std::lock_guard lock(mutex_);
        if (manager_) {
            manager_->rolloutReportsReceived(bootNow(), reports);
        }
        return true;
    } catch (const std::exception &exception) {
        log_.warn("rollout reports rejected", {{"reason", exception.what()}});
        return false;
    }
}

std::optional<std::string> DirectoryRunner::acceptLimitUpdate(const std::string &text)
{
    LimitUpdate reply;
    try {
        const std::lock_guard lock(limitsMutex_);
        reply = limitExchange_.onUpdate(decodeLimitUpdate(bootNow(), text));
    } catch (const std::exception &exception) {
        log_.warn("request limit update rejected", {{"reason", exception.what()}});
        return std::nullopt;
    }
    forwardLearnedLimits();
    return encodeLimitUpdate(bootNow(), reply);
}

void DirectoryRunner::exchangeLimits()
{
    LimitPeers peers;
    {
        const std::lock_guard lock(mutex_);
        peers = manager_->limitPeers();
    }
    std::vector<LimitExchange::Message> due;
    {
        const std::lock_guard lock(limitsMutex_);
        due = limitExchange_.takeDueMessages(bootNow(), peers);
    }
    for (const LimitExchange::Message &message : due) {
        relayClient_.exchangeLimits(message, [this, message](const std::optional<LimitUpdate> &answer) {
            {
                const std::lock_guard lock(limitsMutex_);
                limitExchange_.onAnswer(message, answer);
            }
            forwardLearnedLimits();
        });
    }
}

void DirectoryRunner::forwardLearnedLimits()
{
    if (!isOpen()) {
        return;
    }
    std::vector<LimitReport> learned;
    {
        const std::lock_guard lock(limitsMutex_);
        learned = limitExchange_.takeLearned();
    }
    if (!learned.empty() && !isStopped_) {
        events_.handle(LimitsReported{std::move(learned)});
    }
}

bool DirectoryRunner::hasUnwrittenCrashReport()
{
    const std::lock_guard lock(mutex_);
    return manager_->hasUnwrittenCrashReport();
}

void DirectoryRunner::stop()
{
    isStopped_ = true;
    if (relayServer_) {
        relayServer_->stop();
    }
}

QuotaRunner &DirectoryRunner::quotas()
{
    return quotas_;
}

CrashUpdateRunner &DirectoryRunner::crashUpdates()
{
    return crashUpdates_;
}

SlowServerRunner &DirectoryRunner::slowServers()
{
    return slowServers_;
}

QuotaPeers DirectoryRunner::quotaPeers()
{
    const std::lock_guard lock(mutex_);
    return manager_ ? QuotaPeers{manager_->localAddress(), manager_->quotaGranters(), manager_->entryVms(), manager_->hasQuotas()} : QuotaPeers{};
}

std::uint64_t DirectoryRunner::storeCallCount() const
{
    return store_->calls();
}

void DirectoryRunner::startRelayServer(const std::string &address, std::shared_ptr<MemoryBudget> memory)
{
    const auto collectionUpdate = [this](Collection collection, std::int64_t since) {
        const std::lock_guard lock(mutex_);
        return manager_ ? manager_->updateSince(collection, since) : std::nullopt;
    };
    const auto proof = [this](const ProofRequest &request) {
        ProofAnswer answer;
        std::optional<RelayProof> &current = answer.proof;
        {
            const std::lock_guard lock(mutex_);
            const TimePoint now = bootNow();
            if (manager_ && request.reportsStore) {
                manager_->storeReported(now);
            }
            current = manager_ ? manager_->proofFor(now, request.follower) : std::nullopt;
            answer.referral = manager_ ? manager_->referral(now) : std::nullopt;
        }
        if (current) {
            const std::lock_guard lock(limitsMutex_);
            current->limitVersion = limitExchange_.version();
        }
        return answer;
    };
    const auto isStarting = [this] {
        const std::lock_guard lock(mutex_);
        return !manager_ || manager_->mayHaveProofSoon();
    };
    const auto acceptUpdates = [this](const std::string &text, bool isUrgent) { return acceptCrashUpdates(text, isUrgent); };
    relayServer_ = std::make_unique<RelayServer>(
        address,
        RelaySource{collectionUpdate,
                    proof,
                    isStarting,
                    acceptUpdates,
                    [this](const std::string &text) { return acceptLimitUpdate(text); },
                    [this](const std::string &text) { return quotas_.acceptClaims(text); },
                    [this](const std::string &text) { return acceptRolloutReports(text); },
                    [this](const std::shared_ptr<CallerConnection> &connection, HttpRequest request) { acceptForwarded(connection, std::move(request)); },
                    [this](const std::string &follower, const std::string &text) { return slowServers_.accept(follower, text); }},
        std::move(memory));
}

void DirectoryRunner::setForwardedRequestHandler(RequestHandler handler)
{
    const std::lock_guard lock(forwardHandlerMutex_);
    forwardHandler_ = std::move(handler);
}

void DirectoryRunner::acceptForwarded(const std::shared_ptr<CallerConnection> &connection, HttpRequest request)
{
    RequestHandler handler;
    {
        const std::lock_guard lock(forwardHandlerMutex_);
        handler = forwardHandler_;
    }
    if (handler) {
        handler(connection, std::move(request));
        return;
    }
    const Problem problem{HttpStatus::ServiceUnavailable, ExecutionStatus::NotExecuted, "admit", "entry VM", "this entry VM is starting", std::nullopt, true};
    const std::string tag(findHeader(request.headers, ForwardTagHeader).value_or(""));
    connection->answer(forwardedRefusal(problem, tag), false);
}

std::size_t DirectoryRunner::unfinishedConnections() const
{
    return relayServer_ ? relayServer_->unfinishedConnections() : 0;
}

ConnectionCounts DirectoryRunner::connectionCounts() const
{
    return relayServer_ ? relayServer_->connectionCounts() : ConnectionCounts();
}

void DirectoryRunner::handleAnswer(const DirectoryAnswer &answer)
{
    if (isStopped_) {
        return;
    }
    recordLimitVersion(answer.event);
    DirectoryActions actions;
    {
        const std::lock_guard lock(mutex_);
        ++answersInProgress_;
        manager_->handle(bootNow(), answer, actions);
    }
    perform(actions);
    --answersInProgress_;
    if (relayServer_) {
        relayServer_->answerWaitingFollowers();
    }
}

DirectoryCallback DirectoryRunner::proofCallback(std::string relay, SlowServerRunner::Request request)
{
    return [this, relay = std::move(relay), request = std::move(request)](const DirectoryAnswer &answer) {
        const auto *checked = std::get_if<RelayChecked>(&answer.event);
        const auto *read = std::get_if<RelayRevisionsRead>(&answer.event);
        const auto *proof = checked ? &checked->proof : read ? &read->proof : nullptr;
        if (proof && *proof) {
            slowServers_.onAnswer(relay, request, (*proof)->slowServers);
        }
        handleAnswer(answer);
    };
}

void DirectoryRunner::recordLimitVersion(const DirectoryEvent &event)
{
    const auto recordVersion = [this](const std::string &relay, const std::optional<RelayProof> &proof) {
        if (proof) {
            const std::lock_guard lock(limitsMutex_);
            limitExchange_.versionAnnounced(relay, proof->limitVersion);
        }
    };
    if (const auto *checked = std::get_if<RelayChecked>(&event)) {
        recordVersion(checked->relay, checked->proof);
    } else if (const auto *revisionsRead = std::get_if<RelayRevisionsRead>(&event)) {
        recordVersion(revisionsRead->relay, revisionsRead->proof);
    }
}

void DirectoryRunner::perform(const DirectoryActions &actions)
{
    struct Performer {
        DirectoryRunner &runner;

        void operator()(const ListDirectory &typed) const
        {
            if (typed.relay.empty()) {
                runner.store_->list(typed, done());
            } else {
                runner.relayClient_.list(typed, done());
            }
        }
        void operator()(const WatchDirectory &typed) const
        {
            if (typed.relay.empty()) {
                runner.store_->watch(typed, done());
            } else {
                runner.relayClient_.watch(typed, done());
            }
        }
        void operator()(const CheckDirectory &) const
        {
            runner.store_->check(done());
        }
        void operator()(const CheckRelay &typed) const
        {
            auto request = runner.slowServers_.requestTo(typed.relay);
            std::string text = request.text;
            runner.relayClient_.check(typed, std::move(text), runner.proofCallback(typed.relay, std::move(request)));
        }
        void operator()(const ReadRelayRevisions &typed) const
        {
            auto request = runner.slowServers_.requestTo(typed.relay);
            std::string text = request.text;
            runner.relayClient_.readRevisions(typed, std::move(text), runner.proofCallback(typed.relay, std::move(request)));
        }
        void operator()(const ReadLeaderRecord &typed) const
        {
            runner.store_->readLeaderRecord(runner.zone_, typed, done());
        }
        void operator()(const WriteLeaderRecord &typed) const
        {
            runner.store_->writeLeaderRecord(runner.zone_, typed, done());
        }
        void operator()(const WriteCrashReport &typed) const
        {
            runner.store_->writeCrashReport(runner.name_, typed, done());
        }
        void operator()(const SendCrashUpdates &typed) const
        {
            runner.crashUpdates_.send(typed);
        }
        void operator()(const SendRolloutReports &typed) const
        {
            runner.relayClient_.sendRolloutReports(typed.address, typed.reports);
        }
        void operator()(const WriteRolloutStatus &typed) const
        {
            runner.log_.info("rollout decided",
                             {{"service", typed.service},
                              {"version", typed.status.targetVersion},
                              {"state", std::int64_t(static_cast<int>(typed.status.state))},
                              {"share", typed.status.share}});
            runner.store_->writeRolloutStatus(typed, done());
        }
        void operator()(const ExchangeCrashUpdates &typed) const
        {
            runner.events_.handle(ControlEvent(CrashUpdatesRequested{typed.relay}));
        }
        void operator()(const PublishForwardingPeers &typed) const
        {
            runner.events_.handle(ForwardingPeersChanged{typed.peers, typed.order});
        }
        void operator()(const PublishProxyReporting &typed) const
        {
            runner.events_.handle(ControlEvent(ProxyReporterChanged{typed.isProxyReporter}));
        }
        void operator()(const PublishCrashReports &typed) const
        {
            runner.events_.handle(ControlEvent(CrashReportsReceived{typed.reports, typed.sequence}));
        }
        void operator()(const PublishDirectory &typed) const
        {
            runner.events_.handle(ControlEvent(DirectoryPublished{typed.intent}));
        }
        void operator()(const LogDirectoryEvent &typed) const
        {
            runner.log_.info(typed.message, {{"detail", typed.detail}});
        }
        DirectoryCallback done() const
        {
            return [&runner = runner](const DirectoryAnswer &answer) { runner.handleAnswer(answer); };
        }
    };
    for (const DirectoryAction &action : actions) {
        std::visit(Performer{*this}, action);
    }
}

} // namespace Cloverbarrow
