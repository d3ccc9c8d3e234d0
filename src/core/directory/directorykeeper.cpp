/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/directorykeeper.h"

namespace Cloverbarrow
{

namespace
{
// A watch that hangs is noticed by the store not answering a cheap call meanwhile.
constexpr Duration CheckInterval = milliseconds(1500);

Collection collectionOf(const DirectoryEvent &event)
{
    return std::visit(
        [](const auto &typed) {
            if constexpr (requires { typed.collection; }) {
                return typed.collection;
            } else {
                return Collection::Routing;
            }
        },
        event);
}

} // namespace

DirectoryKeeper::DirectoryKeeper(const FleetBudgets &budgets, std::uint64_t seed)
    : budgets_(budgets)
    , random_(seed)
    , routing_(Collection::Routing)
    , servers_(Collection::Servers)
{
}

void DirectoryKeeper::tick(TimePoint now, DirectoryActions &actions)
{
    routing_.tick(now, actions);
    servers_.tick(now, actions);
    if (registry_.tick(now)) {
        publish(actions);
    }
    if (hasAnswered_ && !isChecking_ && now >= nextCheck_) {
        isChecking_ = true;
        actions.emplace_back(CheckDirectory{});
    }
}

void DirectoryKeeper::handle(TimePoint now, const DirectoryAnswer &answer, DirectoryActions &actions)
{
    const bool isCheck = std::holds_alternative<DirectoryChecked>(answer.event);
    if (!isCheck && !watchOf(collectionOf(answer.event)).takes(answer.call)) {
        return;
    }
    std::visit([this, now, &actions](const auto &typed) { on(now, typed, actions); }, answer.event);
}

void DirectoryKeeper::on(TimePoint now, const DirectoryListed &event, DirectoryActions &actions)
{
    const bool isWhole = watchOf(event.collection).listed(now, event);
    bool isNews = false;
    if (event.collection == Collection::Routing) {
        isNews = takePlans(event.entries, actions);
    } else {
        isNews = registry_.listed(now, event.entries);
        // A page alone is no whole list; only with the last one is what no page named gone.
        isNews = (isWhole && registry_.listEnded(now)) || isNews || isWhole;
    }
    if (isNews) {
        publish(actions);
    }
    storeAnswered(now, actions);
}

void DirectoryKeeper::on(TimePoint now, const DirectoryChanged &event, DirectoryActions &actions)
{
    storeAnswered(now, actions);
    watchOf(event.collection).changed(now, event);
    const bool isNews = event.collection == Collection::Routing ? takePlans(event.entries, actions) : registry_.changed(now, event.entries);
    if (isNews) {
        publish(actions);
    }
}

void DirectoryKeeper::on(TimePoint now, const DirectoryHistoryGone &event, DirectoryActions &actions)
{
    storeAnswered(now, actions);
    actions.emplace_back(ReportDirectory{"history gone", event.collection == Collection::Routing ? "routing" : "servers"});
    registry_.listBroken();
    watchOf(event.collection).historyGone(now);
}

void DirectoryKeeper::on(TimePoint now, const DirectoryCallFailed &event, DirectoryActions &actions)
{
    if (event.collection == Collection::Servers) {
        registry_.listBroken();
    }
    watchOf(event.collection).failed(now, random_);
    storeFailed(event.reason, actions);
}

void DirectoryKeeper::on(TimePoint now, const DirectoryChecked &event, DirectoryActions &actions)
{
    isChecking_ = false;
    nextCheck_ = now + CheckInterval;
    if (event.hasAnswered) {
        storeAnswered(now, actions);
    } else {
        storeFailed("a check had no answer", actions);
    }
}

CollectionWatch &DirectoryKeeper::watchOf(Collection collection)
{
    return collection == Collection::Routing ? routing_ : servers_;
}

bool DirectoryKeeper::takePlans(const std::vector<DirectoryEntry> &entries, DirectoryActions &actions)
{
    bool isNews = false;
    for (const DirectoryEntry &entry : entries) {
        const auto *plan = entry.value ? std::get_if<RoutingPlan>(&*entry.value) : nullptr;
        if (!plan) {
            continue;
        }
        if (plan_ && plan->version <= plan_->version) {
            continue;
        }
        actions.emplace_back(ReportDirectory{"configuration version", plan->versionText});
        plan_ = *plan;
        isNews = true;
    }
    return isNews;
}

void DirectoryKeeper::storeAnswered(TimePoint now, DirectoryActions &actions)
{
    hasAnswered_ = true;
    if (!isStoreLost_) {
        return;
    }
    isStoreLost_ = false;
    registry_.storeReturned(now);
    actions.emplace_back(ReportDirectory{"store regained", ""});
    // Watches that were under way may never be answered, and lists begin anew.
    registry_.listBroken();
    routing_.renew(now);
    servers_.renew(now);
}

void DirectoryKeeper::storeFailed(const std::string &reason, DirectoryActions &actions)
{
    if (!isStoreLost_) {
        isStoreLost_ = true;
        actions.emplace_back(ReportDirectory{"store lost", reason});
    }
}

void DirectoryKeeper::publish(DirectoryActions &actions)
{
    if (!plan_ || !servers_.isComplete()) {
        return;
    }
    auto intent = std::make_shared<IntentInForce>();
    intent->version = ++published_;
    intent->value = plan_->versionText;
    intent->configuration.routes = plan_->routes;
    intent->configuration.callerLimits = plan_->limits;
    for (Service service : plan_->services) {
        service.retry = repeatRulesFor(budgets_);
        service.choiceProbes.probesPerSecond = probesPerSecondFor(budgets_);
        for (Registration &registration : registry_.of(service.name)) {
            if (registration.isDraining) {
                intent->intent.drains.push_back(service.name + "/" + registration.server.name);
            }
            service.backendServers.push_back(std::move(registration.server));
        }
        intent->configuration.services.push_back(std::move(service));
    }
    actions.emplace_back(PublishDirectory{std::move(intent)});
}

} // namespace Cloverbarrow
