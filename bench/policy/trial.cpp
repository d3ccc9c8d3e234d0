/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "trial.h"

#include "core/requests/serviceshard.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>

namespace Cloverbarrow::Bench
{

namespace
{

constexpr Duration SameZoneDelay = microseconds(150); // One way.
constexpr Duration OtherZoneDelay = microseconds(1500); // One way.
constexpr Duration ForwardingCost = microseconds(100); // Processing time on the entry VM to which a call is forwarded.
constexpr Duration WarmUp = seconds(2);
constexpr Duration FaultAt = seconds(3);
constexpr Duration FaultSettleTime = seconds(1); // Calls that arrive before the fault or within this time after it are not counted.
constexpr Duration TickInterval = milliseconds(5);
constexpr Duration Deadline = seconds(2);
constexpr double StragglerFactor = 10;
constexpr double SurgeFactor = 1.5;
constexpr Duration SurgeLength = seconds(1);
// A noisy neighbour is active for 30 of 530 ms on average and triples service times, which lengthens them by this fraction on average. Loads are relative to
// the remaining capacity.
constexpr double NoiseOverhead = 30.0 / 530 * 2;

std::string zoneName(int number)
{
    return "zone-" + std::to_string(number);
}

Duration oneWayDelay(const std::string &from, const std::string &to)
{
    return from == to ? SameZoneDelay : OtherZoneDelay;
}

class Trial
{
public:
    Trial(const Deployment &deployment, const PolicyVariant &variant, double load, Fault fault, std::uint64_t seed)
        : deployment_(deployment)
        , variant_(variant)
        , fault_(fault)
        , random_(seed)
    {
        const double slots = deployment.backends * FakeBackendOptions{}.slots;
        callsPerSecond_ = load * slots / (std::chrono::duration<double>(deployment.meanServiceTime).count() * (1 + NoiseOverhead));
        addBackends(seed);
        addEntryVms(seed);
    }

    TrialResult run(Duration length)
    {
        const TimePoint end = events_.now() + length;
        start_ = events_.now();
        scheduleArrival();
        scheduleTick();
        scheduleShare();
        if (fault_ != Fault::None) {
            events_.scheduleAfter(FaultAt, [this] { injectFault(); });
        }
        events_.runUntil(end);
        countedSeconds_ = std::chrono::duration<double>(length - (fault_ == Fault::None ? WarmUp : FaultAt + FaultSettleTime)).count();
        return summarize();
    }

private:
    struct EntryVm {
        std::string zone;
        std::unique_ptr<ServiceShard> shard;
    };

    struct Call {
        TimePoint arrived;
        Duration extraDelay{0}; ///< Network and processing time that the events do not cover, added to the latency of the call.
    };

    void addBackends(std::uint64_t seed)
    {
        service_.name = deployment_.service;
        service_.echoesExchangeTag = true;
        service_.kinds = {{"read", {"GET"}, "/**", KindClass::Read, Deadline}};
        service_.limits.connectionsPerServer = variant_.connectionsPerServer;
        service_.retry.hedgePercent = variant_.hedgePercent;
        for (int zone = 0; zone < deployment_.zones; ++zone) {
            service_.allowedZones.push_back(zoneName(zone));
        }
        for (int number = 0; number < deployment_.backends; ++number) {
            const std::string name = "b" + std::to_string(number);
            const std::string zone = zoneName(number % deployment_.zones);
            auto backend = std::make_unique<FakeBackend>(events_, name, zone, seed * 1000 + static_cast<std::uint64_t>(number));
            FakeBackendOptions options;
            options.meanServiceTime = deployment_.meanServiceTime;
            backend->setOptions(options);
            service_.backendServers.push_back({name, name, zone, {}});
            backends_.push_back(std::move(backend));
        }
    }

    void addEntryVms(std::uint64_t seed)
    {
        for (int number = 0; number < deployment_.entryVms; ++number) {
            const std::string name = "entry-" + std::to_string(number);
            EntryVm vm{zoneName(number % deployment_.zones), nullptr};
            vm.shard = std::make_unique<ServiceShard>(
                Incarnation{name, "n"}, Location{vm.zone, {}}, service_.name, variant_.policy, seed * 77 + static_cast<std::uint64_t>(number));
            ServiceActions actions;
            vm.shard->handle(events_.now(), ServiceConfigured{1, service_}, actions);
            const int senderCount = variant_.dispatchers == 0 ? deployment_.entryVms : variant_.dispatchers;
            vm.shard->handle(events_.now(), FleetSizeChanged{senderCount, 1}, actions);
            entryVms_.push_back(std::move(vm));
        }
    }

    void scheduleArrival()
    {
        const bool isOverloaded = fault_ == Fault::Overload && events_.now() >= start_ + FaultAt;
        const bool isSurging = fault_ == Fault::Surge && events_.now() >= start_ + FaultAt && events_.now() < start_ + FaultAt + SurgeLength;
        const double rate = callsPerSecond_ * (isSurging || isOverloaded ? SurgeFactor : 1);
        const double wait = -std::log(1 - random_.uniform()) / rate;
        events_.scheduleAfter(Duration(static_cast<Duration::rep>(wait * 1e6)), [this] {
            arrive();
            scheduleArrival();
        });
    }

    void scheduleTick()
    {
        events_.scheduleAfter(TickInterval, [this] {
            for (std::size_t index = 0; index < entryVms_.size(); ++index) {
                handle(index, Tick{});
            }
            scheduleTick();
        });
    }

    void scheduleShare()
    {
        if (variant_.shareInterval == Duration(0)) {
            return;
        }
        events_.scheduleAfter(variant_.shareInterval, [this] {
            for (std::size_t index = 0; index < entryVms_.size(); ++index) {
                reportPeersInFlight(index);
            }
            scheduleShare();
        });
    }

    void reportPeersInFlight(std::size_t index)
    {
        for (std::size_t backend = 0; backend < backends_.size(); ++backend) {
            int count = 0;
            for (std::size_t peer = 0; peer < entryVms_.size(); ++peer) {
                const bool isSameZone = entryVms_[peer].zone == entryVms_[index].zone;
                if (peer != index && (isSameZone || !variant_.sharesWithinZoneOnly)) {
                    count += entryVms_[peer].shard->pool().backends()[backend].inFlight;
                }
            }
            events_.scheduleAfter(SameZoneDelay, [this, index, backend, count] { handle(index, PeersInFlightReported{backends_[backend]->name(), count}); });
        }
    }

    void arrive()
    {
        const auto index = random_.below(entryVms_.size());
        const RequestId id = ++lastCall_;
        calls_[id] = {events_.now(), Duration(0)};
        if (variant_.hasPerfectKnowledge) {
            waiting_.push_back({id, index});
            servePerfectly();
            return;
        }
        if (variant_.dispatchers == 0) {
            submit(index, id);
            return;
        }
        forwardToDispatcher(index, id);
    }

    /// Forwards a call to a dispatcher, preferably one in the zone of the entry VM @p from.
    void forwardToDispatcher(std::size_t from, RequestId id)
    {
        const auto count = static_cast<std::size_t>(variant_.dispatchers);
        std::size_t to = random_.below(count);
        for (std::size_t candidate = 0; candidate < count; ++candidate) {
            if (entryVms_[candidate].zone == entryVms_[from].zone) {
                to = candidate;
            }
        }
        if (to == from) {
            submit(to, id);
            return;
        }
        const Duration delay = oneWayDelay(entryVms_[from].zone, entryVms_[to].zone);
        calls_[id].extraDelay = delay + ForwardingCost;
        events_.scheduleAfter(delay + ForwardingCost, [this, to, id] { submit(to, id); });
    }

    void submit(std::size_t index, RequestId id)
    {
        RequestArrived event;
        event.request = id;
        event.deadline = events_.now() + Deadline;
        handle(index, event);
    }

    void handle(std::size_t index, const ServiceEvent &event)
    {
        ServiceActions actions;
        entryVms_[index].shard->handle(events_.now(), event, actions);
        for (const ServiceAction &action : actions) {
            if (const auto *start = std::get_if<StartAttempt>(&action)) {
                attempt(index, *start);
            } else if (const auto *answer = std::get_if<ReturnAnswer>(&action)) {
                finish(answer->request, true);
            } else if (const auto *refusal = std::get_if<Refuse>(&action)) {
                finish(refusal->request, false);
            }
        }
    }

    void attempt(std::size_t index, const StartAttempt &start)
    {
        retries_ += start.attempt > 1 ? 1 : 0;
        FakeBackend &backend = *backends_[static_cast<std::size_t>(std::stoi(start.backend.substr(1)))];
        const Duration delay = oneWayDelay(entryVms_[index].zone, backend.zone());
        events_.scheduleAfter(start.deadline - events_.now(), [this, index, start] {
            // The core ignores this event if the attempt has already ended.
            handle(index, AttemptEnded{start.request, start.attempt, LostAnswer{"deadline", true}, std::nullopt});
        });
        events_.scheduleAfter(delay, [this, index, delay, start, &backend] {
            backend.arrive(start.deadline, [this, index, delay, start](FakeBackend::Outcome done) {
                events_.scheduleAfter(delay, [this, index, start, done] { attemptEnded(index, start, done); });
            });
        });
    }

    void attemptEnded(std::size_t index, const StartAttempt &start, FakeBackend::Outcome done)
    {
        AttemptEnded ended{start.request, start.attempt, NotSent{"refused"}, std::nullopt};
        if (done.isConnected) {
            CompleteAnswer answer;
            answer.status = done.isError ? 500 : 200;
            ended.outcome = answer;
            ended.report = LoadReport{done.load};
            if (done.isError) {
                failedCalls_.insert_or_assign(start.request, true);
            }
        }
        handle(index, ended);
    }

    void finish(RequestId id, bool isAnswered)
    {
        const auto found = calls_.find(id);
        if (found == calls_.end()) {
            return;
        }
        const Call call = found->second;
        calls_.erase(found);
        const bool isError = failedCalls_.erase(id) > 0;
        const Duration from = fault_ == Fault::None ? WarmUp : FaultAt + FaultSettleTime;
        if (call.arrived < start_ + from) {
            return;
        }
        ++counted_;
        const bool isLate = !isAnswered && events_.now() - call.arrived >= Deadline;
        if (isLate || (isAnswered && isError)) {
            ++errors_;
        } else if (!isAnswered) {
            ++refused_;
        } else {
            latencies_.push_back(toMilliseconds(events_.now() - call.arrived + call.extraDelay));
        }
    }

    void servePerfectly()
    {
        while (!waiting_.empty()) {
            const auto [id, index] = waiting_.front();
            FakeBackend *chosen = nullptr;
            for (const auto &backend : backends_) {
                const bool isSameZone = backend->zone() == entryVms_[index].zone;
                const bool isBetter = !chosen || (isSameZone && chosen->zone() != entryVms_[index].zone);
                // With perfect knowledge, stragglers are avoided.
                if (backend->hasFreeSlot() && backend->options().slowFactor == 1 && isBetter) {
                    chosen = backend.get();
                }
            }
            if (!chosen) {
                return;
            }
            waiting_.pop_front();
            calls_[id].extraDelay = 2 * oneWayDelay(entryVms_[index].zone, chosen->zone());
            chosen->arrive(events_.now() + Deadline, [this, id = id](FakeBackend::Outcome) {
                finish(id, true);
                servePerfectly();
            });
        }
    }

    void injectFault()
    {
        for (const auto &backend : backends_) {
            FakeBackendOptions options = backend->options();
            const bool isFirst = backend == backends_.front();
            options.slowFactor = fault_ == Fault::Straggler && isFirst ? StragglerFactor : 1;
            options.failsFast = fault_ == Fault::FailFast && isFirst;
            options.refusesConnections = fault_ == Fault::ZoneDown && backend->zone() == zoneName(0);
            backend->setOptions(options);
        }
    }

    double quantile(double fraction) const
    {
        if (latencies_.empty()) {
            return 0;
        }
        const auto index = static_cast<std::size_t>(fraction * static_cast<double>(latencies_.size() - 1));
        return latencies_[index];
    }

    TrialResult summarize()
    {
        std::sort(latencies_.begin(), latencies_.end());
        const double counted = std::max(1.0, static_cast<double>(counted_));
        constexpr double Percent = 100;
        std::size_t busiest = 0;
        std::size_t total = 0;
        for (const auto &backend : backends_) {
            busiest = std::max(busiest, backend->served());
            total += backend->served();
        }
        TrialResult result;
        result.p50 = quantile(0.5);
        result.p99 = quantile(0.99);
        result.p999 = quantile(0.999);
        result.refusedPercent = Percent * static_cast<double>(refused_) / counted;
        result.errorPercent = Percent * static_cast<double>(errors_) / counted;
        result.retriesPercent = Percent * static_cast<double>(retries_) / static_cast<double>(std::max<RequestId>(1, lastCall_));
        result.busiestToMeanRatio = static_cast<double>(busiest) * static_cast<double>(backends_.size()) / static_cast<double>(std::max<std::size_t>(1, total));
        result.goodputPerSecond = static_cast<double>(latencies_.size()) / countedSeconds_;
        result.calls = counted_;
        return result;
    }

    Deployment deployment_;
    PolicyVariant variant_;
    Fault fault_;
    Random random_;
    EventQueue events_;
    TimePoint start_;
    double callsPerSecond_ = 0;
    Service service_;
    std::vector<std::unique_ptr<FakeBackend>> backends_;
    std::vector<EntryVm> entryVms_;
    RequestId lastCall_ = 0;
    std::map<RequestId, Call> calls_;
    std::map<RequestId, bool> failedCalls_;
    std::deque<std::pair<RequestId, std::size_t>> waiting_;
    std::vector<double> latencies_;
    double countedSeconds_ = 1;
    std::size_t counted_ = 0;
    std::size_t refused_ = 0;
    std::size_t errors_ = 0;
    std::size_t retries_ = 0;
};

} // namespace

TrialResult runTrial(const Deployment &deployment, const PolicyVariant &variant, double load, Fault fault, std::uint64_t seed, Duration length)
{
    return Trial(deployment, variant, load, fault, seed).run(length);
}

} // namespace Cloverbarrow::Bench
