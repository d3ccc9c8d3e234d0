/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/measuring/probeshares.h"
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

constexpr int EntryVms = 4;
constexpr int Budget = 4;
constexpr Duration Window = seconds(1);
constexpr int Steps = 500;

/// One entry VM with its own, possibly wrong, membership view.
struct EntryVm {
    std::unique_ptr<ProbeShares> shares;
    std::unique_ptr<Membership> members;
    int process = 0;
    bool isPaused = false;
};

/// A store call or probe that an entry VM has issued and that has not been performed yet. Those of a paused entry VM wait until it resumes.
struct Pending {
    std::size_t entryVm = 0;
    int process = 0;
    bool isProbe = false;
    int share = 0;
    StoreCall call;
};

/// A probe that was sent.
struct Probe {
    TimePoint at;
    std::size_t entryVm = 0;
    int share = 0;
    bool isHolder = false; ///< False when the share had been claimed by another process.
};

/// Simulates entry VMs that share one probe budget while they pause, resume, crash, restart and lose the platform's answers.
class BudgetModel
{
public:
    BudgetModel()
        : entryVms_(EntryVms)
        , random_(1)
    {
        for (std::size_t index = 0; index < entryVms_.size(); ++index) {
            restart(index, true);
        }
    }

    void step()
    {
        now_ += microseconds(*rc::gen::weightedElement<int>({{6, 100'000}, {3, 900'000}, {1, 8'000'000}}));
        const auto index = pick<std::size_t>(0, entryVms_.size());
        switch (*rc::gen::weightedElement<int>({{12, 0}, {12, 1}, {1, 2}, {1, 3}, {1, 4}})) {
        case 0:
            tickAll();
            break;
        case 1:
            performSome();
            break;
        case 2:
            togglePause(index);
            break;
        case 3:
            restart(index, *rc::gen::arbitrary<bool>());
            break;
        default:
            exchangeHeartbeats();
        }
    }

    /// Advances the clock with all entry VMs running, so that they claim shares and send probes.
    void advance(Duration time)
    {
        const TimePoint end = now_ + time;
        while (now_ < end) {
            now_ += milliseconds(100);
            exchangeHeartbeats();
            tickAll();
            performAll();
        }
    }

    /// Checks that every window stays within the budget, and has at most one probe of the holder and one of a former holder for each share.
    void check() const
    {
        for (const Probe &first : probes_) {
            int allProbes = 0;
            int holderProbes = 0;
            int formerHolderProbes = 0;
            for (const Probe &probe : probes_) {
                const bool isInWindow = probe.at >= first.at && probe.at < first.at + Window;
                const bool isSameShare = isInWindow && probe.share == first.share;
                allProbes += isInWindow ? 1 : 0;
                holderProbes += isSameShare && probe.isHolder ? 1 : 0;
                formerHolderProbes += isSameShare && !probe.isHolder ? 1 : 0;
            }
            RC_ASSERT(allProbes <= Budget);
            RC_ASSERT(holderProbes <= 1);
            RC_ASSERT(formerHolderProbes <= 1);
        }
    }

    /// Pauses an entry VM that has a probe of @p share in flight. @return whether there was one.
    bool pauseWithProbeInFlight(int share)
    {
        for (int round = 0; round < 400; ++round) {
            now_ += milliseconds(100);
            exchangeHeartbeats();
            tickAll();
            for (const Pending &pending : pending_) {
                if (pending.isProbe && pending.share == share && !entryVms_[pending.entryVm].isPaused) {
                    entryVms_[pending.entryVm].isPaused = true;
                    return true;
                }
            }
            performAll();
        }
        return false;
    }

    /// Restarts the process that has just sent a probe under the same address, so that the new process claims the share again.
    void restartAfterProbe()
    {
        const std::size_t before = probes_.size();
        for (int round = 0; round < 400 && probes_.size() == before; ++round) {
            now_ += milliseconds(100);
            exchangeHeartbeats();
            tickAll();
            performAll();
        }
        if (probes_.size() > before) {
            restart(probes_.back().entryVm, true);
        }
    }

    void wakeAll()
    {
        for (EntryVm &entryVm : entryVms_) {
            entryVm.isPaused = false;
        }
        performAll();
    }

    std::size_t probeCount() const
    {
        return probes_.size();
    }

private:
    void restart(std::size_t index, bool keepsAddress)
    {
        EntryVm &entryVm = entryVms_[index];
        // The former process has ended, but what it had passed to the network may still be sent.
        entryVm.isPaused = false;
        ++entryVm.process;
        const std::string name = "entry-" + std::to_string(index);
        Member self;
        self.id = {name, std::to_string(entryVm.process)};
        // With another address this is a new entry VM with the old name, so that nothing proves that the former process has ended.
        self.peerAddress = keepsAddress ? "127.0.0.1:" + std::to_string(9000 + index) : "127.0.0.1:" + std::to_string(++lastPort_);
        entryVm.shares = std::make_unique<ProbeShares>(ShareHolder{self.id, self.peerAddress});
        entryVm.members = std::make_unique<Membership>(self, std::vector<std::string>{});
        entryVm.shares->configure({{"reclamos", Budget, Window}});
        if (self.peerAddress == "127.0.0.1:" + std::to_string(9000 + index)) {
            // The same address proves that all earlier processes at it have ended, and that they send nothing any more.
            std::erase_if(pending_, [index](const Pending &pending) { return pending.entryVm == index && pending.isProbe; });
        }
    }

    /// Pauses or resumes an entry VM; at most two are paused at a time, so that the others make progress.
    void togglePause(std::size_t index)
    {
        const auto paused = std::count_if(entryVms_.begin(), entryVms_.end(), [](const EntryVm &entryVm) { return entryVm.isPaused; });
        entryVms_[index].isPaused = !entryVms_[index].isPaused && paused < 2;
    }

    void exchangeHeartbeats()
    {
        for (EntryVm &entryVm : entryVms_) {
            if (entryVm.isPaused) {
                continue;
            }
            entryVm.members->startRound();
            for (EntryVm &other : entryVms_) {
                if (&other == &entryVm) {
                    continue;
                }
                // Some calls are lost and no peer confirms that the entry VM is alive, so that running entry VMs are considered dead.
                if (other.isPaused || pick(0, 4) == 0) {
                    entryVm.members->contactFailed(now_, other.members->self().peerAddress, random_);
                } else {
                    other.members->merge(now_, entryVm.members->self(), entryVm.members->updatesFor(other.members->self().peerAddress));
                }
            }
            entryVm.members->expireSuspects(now_);
        }
    }

    void tickAll()
    {
        for (std::size_t index = 0; index < entryVms_.size(); ++index) {
            EntryVm &entryVm = entryVms_[index];
            if (entryVm.isPaused) {
                continue;
            }
            std::vector<StoreCall> calls;
            std::vector<ProbePermit> permits;
            entryVm.shares->tick(now_, *entryVm.members, random_, calls, permits);
            for (StoreCall &call : calls) {
                pending_.push_back({index, entryVm.process, false, 0, std::move(call)});
            }
            for (const ProbePermit &permit : permits) {
                pending_.push_back({index, entryVm.process, true, permit.share, {}});
            }
        }
    }

    void performAll()
    {
        for (std::size_t position = 0; position < pending_.size();) {
            position += perform(position) ? 0 : 1;
        }
    }

    /// @return whether the platform's share table names this process of the entry VM as the share's holder.
    bool isHolder(const Pending &pending) const
    {
        const auto found = store_.objects().find(shareTableObject("reclamos"));
        const auto table = found == store_.objects().end() ? std::nullopt : decodeShares(found->second.value);
        const Incarnation id{"entry-" + std::to_string(pending.entryVm), std::to_string(pending.process)};
        return table && table->shares.at(static_cast<std::size_t>(pending.share)).holder.id == id;
    }

    void performSome()
    {
        for (int count = 0; count < 4 && !pending_.empty(); ++count) {
            perform(pick<std::size_t>(0, pending_.size()));
        }
    }

    /// Performs a store call or probe unless its entry VM is paused. @return whether it was performed.
    bool perform(std::size_t position)
    {
        if (entryVms_[pending_[position].entryVm].isPaused) {
            return false;
        }
        const Pending pending = std::move(pending_[position]);
        pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(position));
        EntryVm &entryVm = entryVms_[pending.entryVm];
        const bool isAlive = entryVm.process == pending.process;
        if (pending.isProbe) {
            // Includes probes of processes that have ended since, which had passed them to the network.
            probes_.push_back({now_, pending.entryVm, pending.share, isHolder(pending)});
            if (isAlive) {
                entryVm.shares->probeFinished(now_, "reclamos", pending.share);
            }
            return true;
        }
        const StoreCallOutcome outcome = *rc::gen::weightedElement<StoreCallOutcome>(
            {{8, StoreCallOutcome::Normal}, {1, StoreCallOutcome::Unavailable}, {1, StoreCallOutcome::AnswerLost}, {1, StoreCallOutcome::RequestLost}});
        const StoreResult result = store_.call(pending.call, outcome);
        if (isAlive) {
            entryVm.shares->handleStoreResult(now_, pending.call.object, result, *entryVm.members, random_);
        }
        return true;
    }

    TimePoint now_ = TimePoint(seconds(1000));
    FakeStore store_;
    std::vector<EntryVm> entryVms_;
    Random random_;
    std::vector<Pending> pending_;
    std::vector<Probe> probes_;
    int lastPort_ = 20'000;
};

} // namespace

TEST_CASE("The probe budget is not exceeded in any window", "[budget][property]")
{
    CHECK(rc::check("with entry VMs that pause, resume, crash, restart and lose the platform's answers", [] {
        BudgetModel model;
        model.advance(seconds(5));
        for (int step = 0; step < Steps; ++step) {
            model.step();
        }
        model.advance(seconds(60));
        model.check();
        RC_CLASSIFY(model.probeCount() > 100, "many probes");
    }));
}

TEST_CASE("Holders that are suspended one after another and resume together stay within the probe budget", "[budget][property]")
{
    CHECK(rc::check("each with a probe in flight", [] {
        BudgetModel model;
        model.advance(seconds(60));
        int suspended = 0;
        for (int holder = 0; holder < EntryVms - 1; ++holder) {
            suspended += model.pauseWithProbeInFlight(0) ? 1 : 0;
            model.advance(seconds(60));
        }
        model.wakeAll();
        model.advance(seconds(60));
        model.check();
        RC_CLASSIFY(suspended >= 2, "two or more suspended");
    }));
}

TEST_CASE("A process that restarts under the same address keeps the interval between probes", "[budget][property]")
{
    CHECK(rc::check("after many restarts, each right after a probe", [] {
        BudgetModel model;
        model.advance(seconds(60));
        for (int round = 0; round < 20; ++round) {
            model.restartAfterProbe();
            model.advance(seconds(3));
        }
        model.check();
    }));
}

TEST_CASE("Shares of the probe budget are used when nothing fails", "[budget]")
{
    std::size_t probes = 0;
    rc::check("run without failures", [&probes] {
        BudgetModel model;
        model.advance(seconds(120));
        model.check();
        probes = std::max(probes, model.probeCount());
    });
    CHECK(probes > 100);
}
