/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/measuring/measuringshares.h"
#include "core/membership/membership.h"
#include "fakestore.h"
#include "generate.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr int Machines = 4;
constexpr int Budget = 4;
constexpr Duration Window = seconds(1);
constexpr int Steps = 500;

/// One entry VM with its own clock and its own, possibly wrong, view of who lives.
struct Machine {
    std::unique_ptr<ProbeShares> shares;
    std::unique_ptr<Membership> members;
    int life = 0;
    bool isPaused = false;
};

/// Work of a machine that waits to be done; that of a paused machine waits until it wakes.
struct Pending {
    std::size_t machine = 0;
    int life = 0;
    bool isProbe = false;
    int share = 0;
    StoreCall call;
};

/// A measurement that was sent.
struct Probe {
    TimePoint at;
    std::size_t machine = 0;
    int share = 0;
    bool isHolder = false; ///< False when the share had been taken from the sender.
};

/// Entry VMs that share one budget while they pause, wake, die, restart and lose the platform's answers.
class BudgetModel
{
public:
    BudgetModel()
        : machines_(Machines)
        , random_(1)
    {
        for (std::size_t index = 0; index < machines_.size(); ++index) {
            restart(index, true);
        }
    }

    void step()
    {
        now_ += microseconds(*rc::gen::weightedElement<int>({{6, 100'000}, {3, 900'000}, {1, 8'000'000}}));
        const auto index = pick<std::size_t>(0, machines_.size());
        switch (*rc::gen::weightedElement<int>({{12, 0}, {12, 1}, {1, 2}, {1, 3}, {1, 4}})) {
        case 0:
            tickAll();
            break;
        case 1:
            workSome();
            break;
        case 2:
            togglePause(index);
            break;
        case 3:
            restart(index, *rc::gen::arbitrary<bool>());
            break;
        default:
            talk();
        }
    }

    /// Lets all machines tick and work, so that claims really happen.
    void run(Duration time)
    {
        const TimePoint end = now_ + time;
        while (now_ < end) {
            now_ += milliseconds(100);
            talk();
            tickAll();
            workAll();
        }
    }

    /// In every window: the budget, and for each share one measurement of its holder and one of a former holder.
    void check() const
    {
        for (const Probe &first : probes_) {
            int all = 0;
            int ofHolder = 0;
            int ofFormer = 0;
            for (const Probe &probe : probes_) {
                const bool isInWindow = probe.at >= first.at && probe.at < first.at + Window;
                const bool isSameShare = isInWindow && probe.share == first.share;
                all += isInWindow ? 1 : 0;
                ofHolder += isSameShare && probe.isHolder ? 1 : 0;
                ofFormer += isSameShare && !probe.isHolder ? 1 : 0;
            }
            RC_ASSERT(all <= Budget);
            RC_ASSERT(ofHolder <= 1);
            RC_ASSERT(ofFormer <= 1);
        }
    }

    /// Pauses the machine that has a measurement of @p share in hand. @return whether there was one.
    bool pauseWithProbeInHand(int share)
    {
        for (int round = 0; round < 400; ++round) {
            now_ += milliseconds(100);
            talk();
            tickAll();
            for (const Pending &pending : pending_) {
                if (pending.isProbe && pending.share == share && !machines_[pending.machine].isPaused) {
                    machines_[pending.machine].isPaused = true;
                    return true;
                }
            }
            workAll();
        }
        return false;
    }

    /// Ends the process that has just measured and starts another one on its address, which claims the share anew.
    void restartAfterProbe()
    {
        const std::size_t before = probes_.size();
        for (int round = 0; round < 400 && probes_.size() == before; ++round) {
            now_ += milliseconds(100);
            talk();
            tickAll();
            workAll();
        }
        if (probes_.size() > before) {
            restart(probes_.back().machine, true);
        }
    }

    void wakeAll()
    {
        for (Machine &machine : machines_) {
            machine.isPaused = false;
        }
        workAll();
    }

    std::size_t probeCount() const
    {
        return probes_.size();
    }

private:
    void restart(std::size_t index, bool keepsAddress)
    {
        Machine &machine = machines_[index];
        // Only a process that has ended can be started again; what it had handed to the network may still go out.
        machine.isPaused = false;
        ++machine.life;
        const std::string name = "entry-" + std::to_string(index);
        Member self;
        self.id = {name, std::to_string(machine.life)};
        // Sometimes a new machine under the old name: then nothing tells that the old process has ended.
        self.peerAddress = keepsAddress ? "127.0.0.1:" + std::to_string(9000 + index) : "127.0.0.1:" + std::to_string(++lastPort_);
        machine.shares = std::make_unique<ProbeShares>(ShareHolder{self.id, self.peerAddress});
        machine.members = std::make_unique<Membership>(self, std::vector<std::string>{});
        machine.shares->configure({{"reclamos", Budget, Window}});
        if (self.peerAddress == "127.0.0.1:" + std::to_string(9000 + index)) {
            // The same address proves the death of all earlier lives there, whose sends are over too.
            std::erase_if(pending_, [index](const Pending &pending) { return pending.machine == index && pending.isProbe; });
        }
    }

    /// At most two are paused at a time, so that the others go on.
    void togglePause(std::size_t index)
    {
        const auto paused = std::count_if(machines_.begin(), machines_.end(), [](const Machine &machine) { return machine.isPaused; });
        machines_[index].isPaused = !machines_[index].isPaused && paused < 2;
    }

    void talk()
    {
        for (Machine &machine : machines_) {
            if (machine.isPaused) {
                continue;
            }
            machine.members->startRound();
            for (Machine &other : machines_) {
                if (&other == &machine) {
                    continue;
                }
                // Some calls are lost and nobody vouches, so that the living are taken for dead.
                if (other.isPaused || pick(0, 4) == 0) {
                    machine.members->contactFailed(now_, other.members->self().peerAddress, random_);
                } else {
                    other.members->merge(now_, machine.members->self(), machine.members->updatesFor(other.members->self().peerAddress));
                }
            }
            machine.members->expireSuspects(now_);
        }
    }

    void tickAll()
    {
        for (std::size_t index = 0; index < machines_.size(); ++index) {
            Machine &machine = machines_[index];
            if (machine.isPaused) {
                continue;
            }
            std::vector<StoreCall> calls;
            std::vector<ProbePermit> permits;
            machine.shares->tick(now_, *machine.members, random_, calls, permits);
            for (StoreCall &call : calls) {
                pending_.push_back({index, machine.life, false, 0, std::move(call)});
            }
            for (const ProbePermit &permit : permits) {
                pending_.push_back({index, machine.life, true, permit.share, {}});
            }
        }
    }

    void workAll()
    {
        for (std::size_t position = 0; position < pending_.size();) {
            position += work(position) ? 0 : 1;
        }
    }

    /// @return whether the table at the platform names this life of the machine as the share's holder.
    bool isHolder(const Pending &pending) const
    {
        const auto found = store_.objects().find(shareTableObject("reclamos"));
        const auto table = found == store_.objects().end() ? std::nullopt : decodeShares(found->second.value);
        const Incarnation id{"entry-" + std::to_string(pending.machine), std::to_string(pending.life)};
        return table && table->shares.at(static_cast<std::size_t>(pending.share)).holder.id == id;
    }

    void workSome()
    {
        for (int count = 0; count < 4 && !pending_.empty(); ++count) {
            work(pick<std::size_t>(0, pending_.size()));
        }
    }

    /// @return whether the work was done.
    bool work(std::size_t position)
    {
        if (machines_[pending_[position].machine].isPaused) {
            return false;
        }
        const Pending pending = std::move(pending_[position]);
        pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(position));
        Machine &machine = machines_[pending.machine];
        const bool isAlive = machine.life == pending.life;
        if (pending.isProbe) {
            // Also that of a process which has died since: it had been handed to the network.
            probes_.push_back({now_, pending.machine, pending.share, isHolder(pending)});
            if (isAlive) {
                machine.shares->probeFinished(now_, "reclamos", pending.share);
            }
            return true;
        }
        const StoreFate fate =
            *rc::gen::weightedElement<StoreFate>({{8, StoreFate::Normal}, {1, StoreFate::Down}, {1, StoreFate::LostAfter}, {1, StoreFate::LostBefore}});
        const StoreResult result = store_.call(pending.call, fate);
        if (isAlive) {
            machine.shares->handleStoreResult(now_, pending.call.object, result, *machine.members, random_);
        }
        return true;
    }

    TimePoint now_ = TimePoint(seconds(1000));
    FakeStore store_;
    std::vector<Machine> machines_;
    Random random_;
    std::vector<Pending> pending_;
    std::vector<Probe> probes_;
    int lastPort_ = 20'000;
};

} // namespace

TEST_CASE("The measuring budget holds in every window", "[budget][property]")
{
    CHECK(rc::check("with entry VMs pausing, waking, dying, restarting and losing the platform", [] {
        BudgetModel model;
        model.run(seconds(5));
        for (int step = 0; step < Steps; ++step) {
            model.step();
        }
        model.run(seconds(60));
        model.check();
        RC_CLASSIFY(model.probeCount() > 100, "many probes");
    }));
}

TEST_CASE("Holders that freeze one after another and wake together stay within the budget", "[budget][property]")
{
    CHECK(rc::check("each with a measurement in hand", [] {
        BudgetModel model;
        model.run(seconds(60));
        int frozen = 0;
        for (int holder = 0; holder < Machines - 1; ++holder) {
            frozen += model.pauseWithProbeInHand(0) ? 1 : 0;
            model.run(seconds(60));
        }
        model.wakeAll();
        model.run(seconds(60));
        model.check();
        RC_CLASSIFY(frozen >= 2, "two or more frozen");
    }));
}

TEST_CASE("A process that follows another on its address keeps the distance of its measurements", "[budget][property]")
{
    CHECK(rc::check("after many restarts right after a measurement", [] {
        BudgetModel model;
        model.run(seconds(60));
        for (int round = 0; round < 20; ++round) {
            model.restartAfterProbe();
            model.run(seconds(3));
        }
        model.check();
    }));
}

TEST_CASE("Shares are really used when all is well", "[budget]")
{
    std::size_t probes = 0;
    rc::check("calm run", [&probes] {
        BudgetModel model;
        model.run(seconds(120));
        model.check();
        probes = std::max(probes, model.probeCount());
    });
    CHECK(probes > 100);
}
