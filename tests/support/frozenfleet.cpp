/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "frozenfleet.h"

#include "net/crashjson.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace Cloverbarrow::Tests
{

namespace
{

constexpr Duration Step = milliseconds(30);
constexpr Duration NetworkDelay = milliseconds(1);
constexpr Duration CallTimeout = milliseconds(400);
constexpr Duration ListTimeout = seconds(10);
constexpr double RequestsPerSecond = 5.5;
// A retry is answered by another server before the server that lost the answer answers a probe.
constexpr Duration RetryTime = milliseconds(250);
constexpr Duration ServerSilence = seconds(1);

std::string addressOf(std::size_t index)
{
    return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7200";
}

std::int64_t secondOf(TimePoint now)
{
    return std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
}

ControlSettings settingsOf(const std::string &name)
{
    ControlSettings settings;
    settings.self.id = {name, "1"};
    settings.hasDirectory = true;
    return settings;
}

} // namespace

FrozenFleet::EntryVm::EntryVm(std::size_t index, std::uint64_t seed)
    : name("vm-" + std::to_string(index))
    , address(addressOf(index))
    , zone(index % Zones)
    , manager(FleetBudgets{},
              RelayElection(address, false, seed, Duration(0), "zone-" + std::to_string(zone)),
              seed,
              DirectoryIdentity{name, "zone-" + std::to_string(zone)})
    , control(settingsOf(name))
{
}

FrozenFleet::FrozenFleet(std::size_t entryVms)
{
    for (std::size_t index = 0; index < entryVms; ++index) {
        byAddress_[addressOf(index)] = vms_.emplace_back(std::make_unique<EntryVm>(index, index + 1)).get();
    }
}

void FrozenFleet::advance(Duration duration, double lostFraction)
{
    const double losses = RequestsPerSecond * std::chrono::duration<double>(Step).count() * lostFraction;
    for (const TimePoint until = now_ + duration; now_ < until;) {
        const TimePoint next = now_ + Step;
        while (!queue_.empty() && queue_.begin()->first <= next) {
            const auto event = queue_.extract(queue_.begin());
            now_ = event.key();
            event.mapped()();
        }
        now_ = next;
        for (const auto &vm : vms_) {
            if (!isFrozen(*vm)) {
                if (static_cast<double>(random_.below(1'000'000)) < losses * 1'000'000) {
                    loseAnswer(*vm);
                }
                tick(*vm);
            }
        }
    }
}

void FrozenFleet::freezeThird(Duration duration)
{
    for (std::size_t index = 0; index < vms_.size(); index += 3) {
        vms_[index]->frozenUntil = now_ + duration;
        vms_[index]->wasFrozen = true;
    }
}

void FrozenFleet::acceptVersion()
{
    ++version_;
    acceptedAt_ = now_;
    for (const auto &vm : vms_) {
        for (const WatchDirectory &watch : vm->watches) {
            if (watch.relay.empty() && watch.collection == Collection::Routing) {
                answer(*vm, watch.call, DirectoryChanged{Collection::Routing, {planEntry()}, version_, version_});
            }
        }
        std::erase_if(vm->watches, [](const WatchDirectory &watch) { return watch.relay.empty() && watch.collection == Collection::Routing; });
    }
}

CrashUpdateWork FrozenFleet::mostWork() const
{
    CrashUpdateWork most;
    for (const auto &vm : vms_) {
        for (const auto &[second, work] : vm->work) {
            most.offered = std::max(most.offered, work.offered);
            most.admitted = std::max(most.admitted, work.admitted);
            most.updates = std::max(most.updates, work.updates);
            most.rebuilds = std::max(most.rebuilds, work.rebuilds);
        }
    }
    return most;
}

Duration FrozenFleet::versionDelay() const
{
    Duration longest{0};
    for (const auto &vm : vms_) {
        if (!vm->wasFrozen) {
            longest = std::max(longest, vm->version == version_ ? vm->versionAt - acceptedAt_ : Duration::max());
        }
    }
    return longest;
}

double FrozenFleet::microsecondsPerUpdate() const
{
    return updates_ == 0 ? 0 : updateSeconds_ * 1e6 / static_cast<double>(updates_);
}

void FrozenFleet::after(Duration duration, std::function<void()> action)
{
    queue_.emplace(now_ + duration, std::move(action));
}

void FrozenFleet::atVm(EntryVm &vm, std::function<void()> action)
{
    if (isFrozen(vm)) {
        queue_.emplace(vm.frozenUntil, std::move(action));
        return;
    }
    after(NetworkDelay, [this, &vm, action = std::move(action)] {
        if (isFrozen(vm)) {
            queue_.emplace(vm.frozenUntil, action);
        } else {
            action();
        }
    });
}

void FrozenFleet::call(const std::string &address, Duration timeout, std::function<void(EntryVm &)> onArrival, std::function<void()> onTimeout)
{
    EntryVm &receiver = at(address);
    const auto isAnswered = std::make_shared<bool>(false);
    const TimePoint until = now_ + timeout;
    atVm(receiver, [this, &receiver, isAnswered, until, onArrival = std::move(onArrival)] {
        // An answer after the timeout is ignored, but the receiver has handled the call.
        *isAnswered = now_ < until;
        onArrival(receiver);
    });
    after(timeout, [isAnswered, onTimeout = std::move(onTimeout)] {
        if (!*isAnswered) {
            onTimeout();
        }
    });
}

bool FrozenFleet::isFrozen(const EntryVm &vm) const
{
    return now_ < vm.frozenUntil;
}

FrozenFleet::EntryVm &FrozenFleet::at(const std::string &address)
{
    return *byAddress_.at(address);
}

void FrozenFleet::tick(EntryVm &vm)
{
    receiveUpdates(vm);
    handle(vm, ControlTick{});
    DirectoryActions actions;
    vm.manager.tick(now_, actions);
    perform(vm, actions);
    sendUpdates(vm);
    const std::uint64_t rebuilds = vm.control.crashUpdateCounts().blocklistRebuilds;
    vm.work[secondOf(now_)].rebuilds += rebuilds - std::exchange(vm.rebuildsSeen, rebuilds);
}

void FrozenFleet::loseAnswer(EntryVm &vm)
{
    const std::string server = "i-" + std::to_string(random_.below(300));
    const RequestFingerprint fingerprint{"request-" + std::to_string(++requests_), "caller-" + std::to_string(random_.below(1000))};
    handle(vm, ServerSuspected{server, fingerprint});
    after(RetryTime, [this, &vm, fingerprint] { atVm(vm, [this, &vm, fingerprint] { handle(vm, SuspectAnswered{fingerprint}); }); });
    after(ServerSilence, [this, &vm, server] { atVm(vm, [this, &vm, server] { handle(vm, ServerRecovered{server, false}); }); });
}

void FrozenFleet::receiveUpdates(EntryVm &vm)
{
    const auto start = std::chrono::steady_clock::now();
    std::vector<CrashUpdateMessage> messages;
    for (const std::string &text : vm.intake.takeBatch()) {
        messages.push_back(decodeCrashUpdates(text));
        updates_ += messages.back().updates.size();
        vm.work[secondOf(now_)].updates += static_cast<int>(messages.back().updates.size());
    }
    const bool hasRefused = vm.intake.takeHasRefused();
    for (CrashUpdateMessage &message : mergedMessages(messages)) {
        handle(vm, CrashUpdatesReceived{std::move(message), hasRefused});
    }
    updateSeconds_ += std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    for (const CrashUpdateMessage &message : messages) {
        if (!message.replyTo.empty()) {
            vm.manager.crashUpdatesRequested(now_, message.replyTo);
        }
        if (!message.replyFrom.empty()) {
            vm.manager.crashUpdatesReceived(message.replyFrom);
        }
    }
}

void FrozenFleet::sendUpdates(EntryVm &vm)
{
    for (const CrashUpdateOutbox::Delivery &due : vm.outbox.takeDue(now_)) {
        const auto onOutcome = [this, &vm, receiver = due.receiver](CrashUpdateOutbox::Outcome outcome) {
            atVm(vm, [this, &vm, receiver, outcome] { vm.outbox.onOutcome(now_, receiver, outcome); });
        };
        const auto onArrival =
            [this, onOutcome, text = encodeCrashUpdates(due.message), isUrgent = due.isUrgent, until = now_ + CallTimeout](EntryVm &receiver) {
                const bool isAdmitted = receiver.intake.offer(now_, text, isUrgent);
                ++receiver.work[secondOf(now_)].offered;
                receiver.work[secondOf(now_)].admitted += isAdmitted ? 1 : 0;
                if (now_ < until) {
                    onOutcome(isAdmitted ? CrashUpdateOutbox::Outcome::Accepted : CrashUpdateOutbox::Outcome::Refused);
                }
            };
        call(due.receiver, CallTimeout, onArrival, [onOutcome] { onOutcome(CrashUpdateOutbox::Outcome::Unanswered); });
    }
}

void FrozenFleet::handle(EntryVm &vm, const ControlEvent &event)
{
    ControlActions actions;
    vm.control.handle(now_, event, actions);
    DirectoryActions sent;
    for (const ControlAction &action : actions) {
        if (const auto *broadcast = std::get_if<BroadcastCrashUpdates>(&action)) {
            vm.manager.broadcastCrashUpdates(now_, broadcast->broadcast, sent);
        } else if (const auto *all = std::get_if<SendAllCrashUpdates>(&action)) {
            vm.manager.sendCrashUpdates(*all, sent);
        } else if (const auto *report = std::get_if<PublishCrashReport>(&action)) {
            vm.manager.setCrashReport(report->order, report->report);
        }
    }
    perform(vm, sent);
}

void FrozenFleet::answer(EntryVm &vm, int callNumber, DirectoryEvent event)
{
    atVm(vm, [this, &vm, callNumber, event = std::move(event)] {
        DirectoryActions actions;
        vm.manager.handle(now_, {callNumber, event}, actions);
        perform(vm, actions);
        answerWatches(vm);
    });
}

void FrozenFleet::answerWatches(EntryVm &relay)
{
    for (const auto &vm : vms_) {
        std::erase_if(vm->watches, [this, &relay, &vm](const WatchDirectory &watch) {
            if (watch.relay != relay.address) {
                return false;
            }
            auto update = relay.manager.updateSince(watch.collection, watch.since);
            if (!update || update->entries.empty()) {
                return false;
            }
            answer(*vm, watch.call, DirectoryChanged{watch.collection, {planEntry()}, update->revision, update->storeRevision});
            return true;
        });
    }
}

void FrozenFleet::perform(EntryVm &vm, const DirectoryActions &actions)
{
    for (const DirectoryAction &action : actions) {
        std::visit([this, &vm](const auto &typed) { perform(vm, typed); }, action);
    }
}

void FrozenFleet::perform(EntryVm &vm, const ListDirectory &action)
{
    if (action.relay.empty()) {
        std::vector<DirectoryEntry> entries;
        if (action.collection == Collection::Routing) {
            entries.push_back(planEntry());
        }
        answer(vm, action.call, DirectoryListed{action.collection, entries, false, {}, version_, version_, version_});
        return;
    }
    const auto fail = [this, &vm, action] { answer(vm, action.call, DirectoryCallFailed{action.collection, "no list"}); };
    const auto list = [this, &vm, action, fail](EntryVm &relay) {
        const auto update = relay.manager.updateSince(action.collection, 0);
        if (!update) {
            fail();
            return;
        }
        std::vector<DirectoryEntry> entries;
        if (action.collection == Collection::Routing) {
            DirectoryEntry entry = planEntry();
            std::get<RoutingPlan>(*entry.value).version = std::stoll(update->entries.front().text);
            entries.push_back(std::move(entry));
        }
        answer(vm, action.call, DirectoryListed{action.collection, entries, false, {}, update->revision, update->storeRevision, update->revision});
    };
    call(action.relay, ListTimeout, list, fail);
}

void FrozenFleet::perform(EntryVm &vm, const WatchDirectory &action)
{
    vm.watches.push_back(action);
    if (!action.relay.empty() && !isFrozen(at(action.relay))) {
        answerWatches(at(action.relay));
    } else if (action.relay.empty() && action.collection == Collection::Routing && action.since < version_) {
        vm.watches.pop_back();
        answer(vm, action.call, DirectoryChanged{Collection::Routing, {planEntry()}, version_, version_});
    }
}

void FrozenFleet::perform(EntryVm &vm, const CheckRelay &action)
{
    const auto fail = [this, &vm, relay = action.relay] { answer(vm, 0, RelayChecked{relay, std::nullopt}); };
    const auto check = [this, &vm, action, until = now_ + CallTimeout](EntryVm &relay) {
        if (now_ < until) {
            answer(vm, 0, RelayChecked{action.relay, relay.manager.proofFor(now_, action.follower)});
        }
    };
    call(action.relay, CallTimeout, check, fail);
}

void FrozenFleet::perform(EntryVm &vm, const SendCrashUpdates &action)
{
    for (const std::string &address : action.addresses) {
        vm.outbox.add(address, action.message, action.isUrgent);
    }
}

void FrozenFleet::perform(EntryVm &vm, const PublishDirectory &action)
{
    const std::int64_t version = std::stoll(action.intent->value);
    if (version > vm.version) {
        vm.version = version;
        vm.versionAt = now_;
    }
}

template<typename Action>
void FrozenFleet::perform(EntryVm &vm, const Action &action)
{
    if constexpr (std::is_same_v<Action, ReadLeaderRecord>) {
        LeaderRecordAnswered record{true, addressOf(vm.zone), 1, {}};
        for (std::size_t zone = 0; zone < Zones; ++zone) {
            if (zone != vm.zone) {
                record.otherRelays.push_back(addressOf(zone));
            }
        }
        answer(vm, 0, record);
    } else if constexpr (std::is_same_v<Action, CheckDirectory>) {
        answer(vm, 0, DirectoryChecked{true});
    } else if constexpr (std::is_same_v<Action, WriteLeaderRecord>) {
        answer(vm, 0, LeaderRecordAnswered{});
    } else if constexpr (std::is_same_v<Action, WriteCrashReport>) {
        answer(vm, 0, CrashReportWritten{action.expectedRevision + 1, action.report});
    } else if constexpr (std::is_same_v<Action, ExchangeCrashUpdates>) {
        handle(vm, CrashUpdatesRequested{action.relay});
    } else if constexpr (std::is_same_v<Action, PublishProxyReporting>) {
        handle(vm, ProxyReporterChanged{action.isProxyReporter});
    } else if constexpr (std::is_same_v<Action, PublishCrashReports>) {
        handle(vm, CrashReportsReceived{action.reports, action.sequence});
    }
}

DirectoryEntry FrozenFleet::planEntry() const
{
    RoutingPlan plan;
    plan.version = version_;
    plan.versionText = std::to_string(version_);
    Service service;
    service.name = "board-reads";
    plan.services.push_back(service);
    return {"main", version_, plan, false, plan.versionText};
}

} // namespace Cloverbarrow::Tests
