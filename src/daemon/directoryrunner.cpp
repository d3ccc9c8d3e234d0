/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/directoryrunner.h"

#include "core/support/address.h"
#include "net/bootclock.h"

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
    DirectoryActions actions;
    {
        const std::lock_guard lock(mutex_);
        keeper_->tellCrashes(action.order, action.report, actions);
    }
    perform(actions);
}

bool DirectoryRunner::takeCrashReport(const std::string &text)
{
    try {
        const DirectoryEntry entry = store_->decode(Collection::Crashes, text);
        const auto *report = entry.value ? std::get_if<CrashReport>(&*entry.value) : nullptr;
        if (!report) {
            log_.warn("crash report left out", {{"reason", entry.fault}});
            return false;
        }
        events_.handle(ControlEvent(CrashReportHeard{{entry.name, *report}}));
        return true;
    } catch (const std::exception &exception) {
        log_.warn("crash report left out", {{"reason", exception.what()}});
        return false;
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
        const std::lock_guard lock(mutex_);
        return keeper_ ? keeper_->proofFor(bootNow(), follower) : std::nullopt;
    };
    const auto isStarting = [this] {
        const std::lock_guard lock(mutex_);
        return !keeper_ || keeper_->mayProveSoon();
    };
    const auto crashReport = [this](const std::string &text) { return takeCrashReport(text); };
    server_ = std::make_unique<RelayServer>(address, RelaySource{look, proof, isStarting, crashReport});
}

void DirectoryRunner::answered(const DirectoryAnswer &answer)
{
    if (isStopped_) {
        return;
    }
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
        void operator()(const TellRelaysCrashes &typed) const
        {
            for (const std::string &relay : typed.relays) {
                runner.relay_.tell(relay, {runner.name_, typed.report});
            }
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
