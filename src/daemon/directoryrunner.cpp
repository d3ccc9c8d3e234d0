/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/directoryrunner.h"

#include "core/support/address.h"
#include "net/bootclock.h"
#include "net/crashjson.h"
#include "net/relaymessages.h"

#include <utility>

namespace Cloverbarrow
{

DirectoryRunner::DirectoryRunner(const DirectorySettings &settings,
                                 std::string name,
                                 std::string zone,
                                 std::uint64_t seed,
                                 std::unique_ptr<DirectoryClient> client,
                                 HttpClient &http,
                                 EventHandler &events)
    : name_(std::move(name))
    , zone_(std::move(zone))
    , events_(events)
    , log_("directory")
    , store_(std::move(client))
    , relay_(http, *store_)
    , limits_(seed)
{
    std::string own;
    if (!settings.relayAddress.empty()) {
        startRelay(settings.relayAddress);
        own = withPort(settings.relayAddress, server_->port());
    }
    const std::lock_guard lock(mutex_);
    keeper_.emplace(settings.budgets, RelayElection(own, settings.isFirstStart, seed, RelayElection::electionDelayFor(settings.linkMbps)), seed, name_);
}

void DirectoryRunner::tick()
{
    DirectoryActions actions;
    {
        const std::lock_guard lock(mutex_);
        keeper_->tick(bootNow(), actions);
    }
    perform(actions);
    exchangeLimits();
    if (server_) {
        server_->checkTimeouts(bootNow());
    }
}

void DirectoryRunner::setBudgets(const FleetBudgets &budgets)
{
    DirectoryActions actions;
    {
        const std::lock_guard lock(mutex_);
        keeper_->setBudgets(bootNow(), budgets, actions);
    }
    perform(actions);
}

void DirectoryRunner::tellCrashes(const PublishCrashReport &action)
{
    const std::lock_guard lock(mutex_);
    keeper_->setCrashReport(action.order, action.report);
}

void DirectoryRunner::tellCrashes(const BroadcastCrashUpdates &action)
{
    DirectoryActions actions;
    {
        const std::lock_guard lock(mutex_);
        keeper_->broadcastCrashUpdates(bootNow(), action.broadcast, actions);
    }
    perform(actions);
}

void DirectoryRunner::tellCrashes(const SendAllCrashUpdates &action)
{
    DirectoryActions actions;
    {
        const std::lock_guard lock(mutex_);
        keeper_->sendCrashUpdates(action.relay, action.updates, action.wantsReply, actions);
    }
    perform(actions);
}

bool DirectoryRunner::takeCrashNews(const std::string &text)
{
    try {
        CrashUpdateMessage message = decodeCrashUpdates(text);
        for (const CrashUpdate &news : message.updates) {
            logNews(news);
        }
        const std::string asker = message.replyTo;
        const std::string answerer = message.replyFrom;
        events_.handle(ControlEvent(CrashUpdatesReceived{std::move(message)}));
        takeNewsPeer(asker, answerer);
        return true;
    } catch (const std::exception &exception) {
        log_.warn("crash news left out", {{"reason", exception.what()}});
        return false;
    }
}

void DirectoryRunner::takeNewsPeer(const std::string &asker, const std::string &answerer)
{
    const std::lock_guard lock(mutex_);
    if (keeper_ && !asker.empty()) {
        keeper_->crashUpdatesRequested(bootNow(), asker);
    }
    if (keeper_ && !answerer.empty()) {
        keeper_->crashUpdatesReceived(answerer);
    }
}

void DirectoryRunner::logNews(const CrashUpdate &news)
{
    log_.info("crash news heard",
              {{"peer", news.entryVm},
               {"process", news.process},
               {"number", static_cast<std::int64_t>(news.sequenceNumber)},
               {"ends", static_cast<std::int64_t>(news.report.crashes.size())},
               {"suspected", static_cast<std::int64_t>(news.suspected.size())}});
}

void DirectoryRunner::reportLimit(const LimitReport &report)
{
    const std::lock_guard lock(limitsMutex_);
    limits_.serverReported(report);
}

std::optional<std::string> DirectoryRunner::takeLimits(const std::string &text)
{
    LimitUpdate own;
    try {
        const std::lock_guard lock(limitsMutex_);
        own = limits_.onUpdate(decodeLimitUpdate(bootNow(), text));
    } catch (const std::exception &exception) {
        log_.warn("request limits left out", {{"reason", exception.what()}});
        return std::nullopt;
    }
    passOnLimits();
    return encodeLimitUpdate(bootNow(), own);
}

void DirectoryRunner::exchangeLimits()
{
    LimitPeers peers;
    {
        const std::lock_guard lock(mutex_);
        peers = keeper_->limitPeers();
    }
    std::vector<LimitExchange::Message> due;
    {
        const std::lock_guard lock(limitsMutex_);
        due = limits_.takeDueMessages(bootNow(), peers);
    }
    for (const LimitExchange::Message &message : due) {
        relay_.exchangeLimits(message, [this, message](const std::optional<LimitUpdate> &answer) {
            {
                const std::lock_guard lock(limitsMutex_);
                limits_.onAnswer(message, answer);
            }
            passOnLimits();
        });
    }
}

void DirectoryRunner::passOnLimits()
{
    std::vector<LimitReport> learnt;
    {
        const std::lock_guard lock(limitsMutex_);
        learnt = limits_.takeLearned();
    }
    if (!learnt.empty() && !isStopped_) {
        events_.handle(LimitsReported{std::move(learnt)});
    }
}

bool DirectoryRunner::hasUntoldCrashes()
{
    const std::lock_guard lock(mutex_);
    return keeper_->hasUnwrittenCrashReport();
}

void DirectoryRunner::stop()
{
    isStopped_ = true;
    server_.reset();
}

std::uint64_t DirectoryRunner::calls() const
{
    return store_->calls();
}

void DirectoryRunner::startRelay(const std::string &address)
{
    const auto look = [this](Collection collection, std::int64_t since) {
        const std::lock_guard lock(mutex_);
        return keeper_ ? keeper_->updateSince(collection, since) : std::nullopt;
    };
    const auto proof = [this](const std::string &follower) {
        std::optional<RelayProof> shown;
        {
            const std::lock_guard lock(mutex_);
            shown = keeper_ ? keeper_->proofFor(bootNow(), follower) : std::nullopt;
        }
        if (shown) {
            const std::lock_guard lock(limitsMutex_);
            shown->limitVersion = limits_.version();
        }
        return shown;
    };
    const auto isStarting = [this] {
        const std::lock_guard lock(mutex_);
        return !keeper_ || keeper_->mayHaveProofSoon();
    };
    const auto crashNews = [this](const std::string &text) { return takeCrashNews(text); };
    server_ =
        std::make_unique<RelayServer>(address, RelaySource{look, proof, isStarting, crashNews, [this](const std::string &text) { return takeLimits(text); }});
}

void DirectoryRunner::answered(const DirectoryAnswer &answer)
{
    if (isStopped_) {
        return;
    }
    takeLimitVersion(answer.event);
    DirectoryActions actions;
    {
        const std::lock_guard lock(mutex_);
        keeper_->handle(bootNow(), answer, actions);
    }
    perform(actions);
    if (server_) {
        server_->answerWaitingFollowers();
    }
}

void DirectoryRunner::takeLimitVersion(const DirectoryEvent &event)
{
    const auto take = [this](const std::string &relay, const std::optional<RelayProof> &proof) {
        if (proof) {
            const std::lock_guard lock(limitsMutex_);
            limits_.versionAnnounced(relay, proof->limitVersion);
        }
    };
    if (const auto *checked = std::get_if<RelayChecked>(&event)) {
        take(checked->relay, checked->proof);
    } else if (const auto *compared = std::get_if<RelayRevisionsRead>(&event)) {
        take(compared->relay, compared->proof);
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
                runner.relay_.list(typed, done());
            }
        }
        void operator()(const WatchDirectory &typed) const
        {
            if (typed.relay.empty()) {
                runner.store_->watch(typed, done());
            } else {
                runner.relay_.watch(typed, done());
            }
        }
        void operator()(const CheckDirectory &) const
        {
            runner.store_->check(done());
        }
        void operator()(const CheckRelay &typed) const
        {
            runner.relay_.check(typed, done());
        }
        void operator()(const ReadRelayRevisions &typed) const
        {
            runner.relay_.compare(typed, done());
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
            for (const std::string &address : typed.addresses) {
                runner.relay_.sendCrashUpdates(address, typed.message);
            }
        }
        void operator()(const ExchangeCrashUpdates &typed) const
        {
            runner.events_.handle(ControlEvent(CrashUpdatesRequested{typed.relay}));
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
            return [&runner = runner](const DirectoryAnswer &answer) { runner.answered(answer); };
        }
    };
    for (const DirectoryAction &action : actions) {
        std::visit(Performer{*this}, action);
    }
}

} // namespace Cloverbarrow
