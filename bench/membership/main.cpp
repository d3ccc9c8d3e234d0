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
constexpr Duration Round = seconds(1);

std::size_t wireBytes(const Heartbeat &heartbeat)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    toWire(heartbeat).write(&protocol);
    return buffer->available_read();
}

/// What a fleet did after it had found itself.
struct Seen {
    int suspicions = 0;
    int wronglyDead = 0; ///< Members that count as dead at the end of a round although they live.
    int roundsToDead = 0; ///< From a real death until all others count it as dead.
    double payloadPerSecond = 0; ///< Bytes sent and received by one member, without headers.
};

class Gossip
{
public:
    /// @param isCorroborated whether suspects are asked about.
    /// @param cutShare share of the fleet that cannot talk with member 0, in either direction.
    Gossip(int count, bool isCorroborated, double cutShare)
        : isCorroborated_(isCorroborated)
        , cut_(static_cast<std::size_t>(cutShare * count))
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

    Seen run()
    {
        Seen seen;
        for (int round = 0; round < Rounds; ++round) {
            now_ += Round;
            const bool isCounted = round >= WarmUpRounds;
            exchangeAll(isCounted, seen);
            checkAll();
            if (isCounted) {
                lookAround(seen);
            }
        }
        seen.payloadPerSecond /= static_cast<double>(members_.size()) * (Rounds - WarmUpRounds);
        seen.roundsToDead = killOne();
        return seen;
    }

private:
    bool canTalk(std::size_t from, std::size_t to) const
    {
        const std::size_t other = from == 0 ? to : from;
        const bool concernsFirst = from == 0 || to == 0;
        return isAlive_[from] && isAlive_[to] && !(concernsFirst && other != 0 && other <= cut_);
    }

    void exchangeAll(bool isCounted, Seen &seen)
    {
        for (std::size_t index = 0; index < members_.size(); ++index) {
            if (!isAlive_[index]) {
                continue;
            }
            members_[index]->startRound();
            for (const std::string &address : members_[index]->heartbeatTargets(random_)) {
                const std::size_t to = byAddress_[address];
                if (!canTalk(index, to)) {
                    suspect(index, address, isCounted, seen);
                    continue;
                }
                exchange(index, to, isCounted, seen);
            }
        }
    }

    void exchange(std::size_t from, std::size_t to, bool isCounted, Seen &seen)
    {
        const Heartbeat there{members_[from]->self(), members_[from]->updatesFor(members_[to]->self().peerAddress), {}};
        const Heartbeat back{members_[to]->self(), members_[to]->updatesFor(members_[from]->self().peerAddress), {}};
        members_[to]->merge(now_, there.sender, there.members);
        members_[from]->merge(now_, back.sender, back.members);
        if (isCounted) {
            seen.payloadPerSecond += 2 * static_cast<double>(wireBytes(there) + wireBytes(back));
        }
    }

    void suspect(std::size_t index, const std::string &address, bool isCounted, Seen &seen)
    {
        const auto suspicion = members_[index]->contactFailed(now_, address, random_);
        if (!suspicion) {
            return;
        }
        seen.suspicions += isCounted ? 1 : 0;
        for (const std::string &asked : suspicion->indirectProbeAddresses) {
            const std::size_t helper = byAddress_[asked];
            if (isCorroborated_ && canTalk(index, helper) && canTalk(helper, byAddress_[address])) {
                members_[index]->confirmAlive(suspicion->subject);
            }
        }
    }

    void checkAll()
    {
        for (std::size_t index = 0; index < members_.size(); ++index) {
            members_[index]->expireSuspects(now_);
        }
    }

    void lookAround(Seen &seen) const
    {
        for (std::size_t index = 0; index < members_.size(); ++index) {
            for (std::size_t other = 0; other < members_.size(); ++other) {
                const Incarnation &id = members_[other]->self().id;
                if (other == index) {
                    continue;
                }
                seen.wronglyDead += members_[index]->stateOf(id) == MemberState::Dead ? 1 : 0;
            }
        }
    }

    int killOne()
    {
        const std::size_t victim = members_.size() - 1;
        isAlive_[victim] = false;
        Seen ignored;
        for (int round = 1; round <= 100; ++round) {
            now_ += Round;
            exchangeAll(false, ignored);
            checkAll();
            bool isKnown = true;
            for (std::size_t index = 0; index < victim; ++index) {
                isKnown = isKnown && members_[index]->stateOf(members_[victim]->self().id) == MemberState::Dead;
            }
            if (isKnown) {
                return round;
            }
        }
        return -1;
    }

    bool isCorroborated_;
    std::size_t cut_;
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
        for (const double cut : {0.0, 0.5, 0.9}) {
            for (const bool isCorroborated : {true, false}) {
                const Seen seen = Gossip(count, isCorroborated, cut).run();
                const double perHour = 3600.0 / (Rounds - WarmUpRounds);
                std::printf("| %d | %.0f%% | %s | %.1f | %.0f | %d | %.0f |\n",
                            count,
                            cut * 100,
                            isCorroborated ? "yes" : "no",
                            seen.suspicions * perHour / count,
                            seen.wronglyDead * perHour,
                            seen.roundsToDead,
                            seen.payloadPerSecond);
            }
        }
    }
    return 0;
}
