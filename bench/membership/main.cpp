/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/membership/membership.h"
#include "net/wire.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace Cloverbarrow;

namespace
{

constexpr int Rounds = 300;
constexpr int WarmUpRounds = 60;
constexpr Duration RoundTime = seconds(1);

std::size_t wireBytes(const Heartbeat &heartbeat)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    toWire(heartbeat).write(&protocol);
    return buffer->available_read();
}

/// Measurements on a fleet after the warm-up, when all entry VMs have found each other.
struct GossipResult {
    int suspicions = 0; ///< Suspicions raised by all entry VMs.
    int wronglyDead = 0; ///< Live members that a peer considers dead, summed over the peers and the ends of all rounds.
    int roundsToDead = 0; ///< Rounds from the crash of an entry VM until all peers consider it dead, or -1 if that does not happen within 100 rounds.
    double payloadPerSecond = 0; ///< Bytes sent and received by each member, without headers.
};

class SimulatedFleet
{
public:
    /// @param hasIndirectProbes whether peers are asked to probe a suspected member.
    /// @param cutFraction fraction of the fleet that cannot exchange messages with member 0, in either direction.
    SimulatedFleet(int count, bool hasIndirectProbes, double cutFraction)
        : hasIndirectProbes_(hasIndirectProbes)
        , unreachableCount_(static_cast<std::size_t>(cutFraction * count))
        , random_(3)
    {
        for (int number = 0; number < count; ++number) {
            Member self;
            self.id = {"entry-" + std::to_string(number), "0123456789abcde" + std::to_string(number % 10)};
            self.peerAddress = "10.0.0." + std::to_string(number) + ":7001";
            self.adminAddress = "10.0.0." + std::to_string(number) + ":7003";
            self.zone = "zone-" + std::to_string(number % 8);
            self.region = "region-" + std::to_string(number % 3);
            byAddress_[self.peerAddress] = members_.size();
            members_.push_back(std::make_unique<Membership>(self, std::vector<std::string>{"10.0.0.0:7001", "10.0.0.1:7001", "10.0.0.2:7001"}));
            isAlive_.push_back(true);
        }
    }

    GossipResult run()
    {
        GossipResult result;
        for (int round = 0; round < Rounds; ++round) {
            now_ += RoundTime;
            const bool isCounted = round >= WarmUpRounds;
            exchangeAll(isCounted, result);
            expireAllSuspects();
            if (isCounted) {
                countWronglyDead(result);
            }
        }
        result.payloadPerSecond /= static_cast<double>(members_.size()) * (Rounds - WarmUpRounds);
        result.roundsToDead = measureDetection();
        return result;
    }

private:
    bool canReach(std::size_t from, std::size_t to) const
    {
        const std::size_t peer = from == 0 ? to : from;
        const bool involvesFirst = from == 0 || to == 0;
        return isAlive_[from] && isAlive_[to] && !(involvesFirst && peer != 0 && peer <= unreachableCount_);
    }

    void exchangeAll(bool isCounted, GossipResult &result)
    {
        for (std::size_t index = 0; index < members_.size(); ++index) {
            if (!isAlive_[index]) {
                continue;
            }
            members_[index]->startRound();
            for (const std::string &address : members_[index]->heartbeatTargets(random_)) {
                const std::size_t to = byAddress_[address];
                if (!canReach(index, to)) {
                    handleFailedContact(index, address, isCounted, result);
                    continue;
                }
                exchange(index, to, isCounted, result);
            }
        }
    }

    void exchange(std::size_t from, std::size_t to, bool isCounted, GossipResult &result)
    {
        const Heartbeat request{members_[from]->self(), members_[from]->updatesFor(members_[to]->self().peerAddress), {}};
        const Heartbeat reply{members_[to]->self(), members_[to]->updatesFor(members_[from]->self().peerAddress), {}};
        members_[to]->merge(now_, request.sender, request.members);
        members_[from]->merge(now_, reply.sender, reply.members);
        if (isCounted) {
            result.payloadPerSecond += 2 * static_cast<double>(wireBytes(request) + wireBytes(reply));
        }
    }

    void handleFailedContact(std::size_t index, const std::string &address, bool isCounted, GossipResult &result)
    {
        const auto suspicion = members_[index]->contactFailed(now_, address, random_);
        if (!suspicion) {
            return;
        }
        result.suspicions += isCounted ? 1 : 0;
        for (const std::string &probeAddress : suspicion->indirectProbeAddresses) {
            const std::size_t helper = byAddress_[probeAddress];
            if (hasIndirectProbes_ && canReach(index, helper) && canReach(helper, byAddress_[address])) {
                members_[index]->confirmAlive(suspicion->subject);
            }
        }
    }

    void expireAllSuspects()
    {
        for (std::size_t index = 0; index < members_.size(); ++index) {
            members_[index]->expireSuspects(now_);
        }
    }

    void countWronglyDead(GossipResult &result) const
    {
        for (std::size_t index = 0; index < members_.size(); ++index) {
            for (std::size_t peer = 0; peer < members_.size(); ++peer) {
                const Incarnation &id = members_[peer]->self().id;
                if (peer == index) {
                    continue;
                }
                result.wronglyDead += members_[index]->stateOf(id) == MemberState::Dead ? 1 : 0;
            }
        }
    }

    int measureDetection()
    {
        const std::size_t victim = members_.size() - 1;
        isAlive_[victim] = false;
        GossipResult unusedResult;
        for (int round = 1; round <= 100; ++round) {
            now_ += RoundTime;
            exchangeAll(false, unusedResult);
            expireAllSuspects();
            bool isDeadEverywhere = true;
            for (std::size_t index = 0; index < victim; ++index) {
                isDeadEverywhere = isDeadEverywhere && members_[index]->stateOf(members_[victim]->self().id) == MemberState::Dead;
            }
            if (isDeadEverywhere) {
                return round;
            }
        }
        return -1;
    }

    bool hasIndirectProbes_;
    std::size_t unreachableCount_;
    TimePoint now_ = TimePoint(seconds(100));
    Random random_;
    std::vector<std::unique_ptr<Membership>> members_;
    std::vector<bool> isAlive_;
    std::map<std::string, std::size_t> byAddress_;
};

} // namespace

int main()
{
    std::printf("| entry VMs | cut from the first | peers asked | suspicions an hour and entry VM | wrongly dead member-seconds an hour | death known "
                "everywhere after s | payload bytes/s |\n|---|---|---|---|---|---|---|\n");
    for (const int count : {4, 8, 16, 32, 64, 128}) {
        for (const double cutFraction : {0.0, 0.5, 0.9}) {
            for (const bool hasIndirectProbes : {true, false}) {
                const GossipResult result = SimulatedFleet(count, hasIndirectProbes, cutFraction).run();
                const double perHour = 3600.0 / (Rounds - WarmUpRounds);
                std::printf("| %d | %.0f%% | %s | %.1f | %.0f | %d | %.0f |\n",
                            count,
                            cutFraction * 100,
                            hasIndirectProbes ? "yes" : "no",
                            result.suspicions * perHour / count,
                            result.wronglyDead * perHour,
                            result.roundsToDead,
                            result.payloadPerSecond);
            }
        }
    }
    return 0;
}
