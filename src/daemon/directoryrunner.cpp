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
    keeper_.emplace(settings.budgets, RelaySeat(own, settings.isFirstStart, seed, RelaySeat::standBackFor(settings.linkMbps)), seed, name_);
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
        server_->sweep(bootNow());
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

void DirectoryRunner::tellCrashes(const TellCrashes &action)
{
    const std::lock_guard lock(mutex_);
    keeper_->tellCrashes(action.order, action.report);
}

void DirectoryRunner::tellCrashes(const SpreadCrashNews &action)
{
    DirectoryActions actions;
    {
        const std::lock_guard lock(mutex_);
        keeper_->spreadCrashNews(bootNow(), action.spread, actions);
    }
    perform(actions);
}

void DirectoryRunner::tellCrashes(const SendCrashNews &action)
{
    DirectoryActions actions;
    {
        const std::lock_guard lock(mutex_);
        keeper_->sendCrashNews(action.relay, action.news, action.wantsAnswer, actions);
    }
    perform(actions);
}

bool DirectoryRunner::takeCrashNews(const std::string &text)
{
    try {
        CrashNewsMessage message = decodeCrashNews(text);
        for (const CrashNews &news : message.news) {
            logNews(news);
        }
        const std::string asker = message.answerTo;
        const std::string answerer = message.answerOf;
        events_.handle(ControlEvent(CrashNewsHeard{std::move(message)}));
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
        keeper_->crashNewsAsked(bootNow(), asker);
    }
    if (keeper_ && !answerer.empty()) {
        keeper_->crashNewsAnswered(answerer);
    }
}

void DirectoryRunner::logNews(const CrashNews &news)
{
    log_.info("crash news heard",
              {{"peer", news.entryVm},
               {"process", news.process},
               {"number", static_cast<std::int64_t>(news.number)},
               {"ends", static_cast<std::int64_t>(news.report.ends.size())},
               {"suspected", static_cast<std::int64_t>(news.suspected.size())}});
}

void DirectoryRunner::reportLimit(const LimitReport &report)
{
    const std::lock_guard lock(limitsMutex_);
    limits_.heard(report);
}

std::optional<std::string> DirectoryRunner::takeLimits(const std::string &text)
{
    LimitUpdate own;
    try {
        const std::lock_guard lock(limitsMutex_);
        own = limits_.take(decodeLimitUpdate(bootNow(), text));
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
        due = limits_.takeDue(bootNow(), peers);
    }
    for (const LimitExchange::Message &message : due) {
        relay_.exchange(message, [this, message](const std::optional<LimitUpdate> &answer) {
            {
                const std::lock_guard lock(limitsMutex_);
                limits_.answered(message, answer);
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
        learnt = limits_.takeLearnt();
    }
    if (!learnt.empty() && !isStopped_) {
        events_.handle(LimitsReported{std::move(learnt)});
    }
}

bool DirectoryRunner::hasUntoldCrashes()
{
    const std::lock_guard lock(mutex_);
    return keeper_->hasUntoldCrashes();
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
        return keeper_ ? keeper_->newsSince(collection, since) : std::nullopt;
    };
    const auto proof = [this](const std::string &follower) {
        std::optional<RelayProof> shown;
        {
            const std::lock_guard lock(mutex_);
            shown = keeper_ ? keeper_->proofFor(bootNow(), follower) : std::nullopt;
        }
        if (shown) {
            const std::lock_guard lock(limitsMutex_);
            shown->limits = limits_.version();
        }
        return shown;
    };
    const auto isStarting = [this] {
        const std::lock_guard lock(mutex_);
        return !keeper_ || keeper_->mayProveSoon();
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
        server_->answerWaiting();
    }
}

void DirectoryRunner::takeLimitVersion(const DirectoryEvent &event)
{
    const auto take = [this](const std::string &relay, const std::optional<RelayProof> &proof) {
        if (proof) {
            const std::lock_guard lock(limitsMutex_);
            limits_.shown(relay, proof->limits);
        }
    };
    if (const auto *checked = std::get_if<RelayChecked>(&event)) {
        take(checked->relay, checked->proof);
    } else if (const auto *compared = std::get_if<RelayCompared>(&event)) {
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
        void operator()(const CompareRelay &typed) const
        {
            runner.relay_.compare(typed, done());
        }
        void operator()(const ReadSeat &typed) const
        {
            runner.store_->readSeat(runner.zone_, typed, done());
        }
        void operator()(const WriteSeat &typed) const
        {
            runner.store_->writeSeat(runner.zone_, typed, done());
        }
        void operator()(const WriteCrashReport &typed) const
        {
            runner.store_->writeCrashReport(runner.name_, typed, done());
        }
        void operator()(const TellCrashNews &typed) const
        {
            for (const std::string &address : typed.addresses) {
                runner.relay_.tell(address, typed.message);
            }
        }
        void operator()(const ExchangeCrashNews &typed) const
        {
            runner.events_.handle(ControlEvent(CrashNewsWanted{typed.relay}));
        }
        void operator()(const PublishWitnessing &typed) const
        {
            runner.events_.handle(ControlEvent(WitnessingChanged{typed.isWitness}));
        }
        void operator()(const PublishCrashReports &typed) const
        {
            runner.events_.handle(ControlEvent(CrashReportsTold{typed.reports, typed.order}));
        }
        void operator()(const PublishDirectory &typed) const
        {
            runner.events_.handle(ControlEvent(DirectoryPublished{typed.intent}));
        }
        void operator()(const ReportDirectory &typed) const
        {
            runner.log_.info(typed.what, {{"detail", typed.detail}});
        }
        DirectoryDone done() const
        {
            return [&runner = runner](const DirectoryAnswer &answer) { runner.answered(answer); };
        }
    };
    for (const DirectoryAction &action : actions) {
        std::visit(Performer{*this}, action);
    }
}

} // namespace Cloverbarrow
