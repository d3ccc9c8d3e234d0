/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/serviceshard.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

// Servers whose probes tell another story than their requests: they answer probes well and reset requests, or the other way round.

using namespace Cloverbarrow;

namespace
{

/// A shard before servers of which some lie.
class Lying
{
public:
    explicit Lying(int servers)
    {
        Service service;
        service.name = "liquidacion";
        service.echoesExchangeTag = true;
        service.choiceProbes = {100, "/health"};
        service.retry.hedgesFromBudget = true;
        for (int number = 1; number <= servers; ++number) {
            const std::string digits = std::to_string(number);
            service.backendServers.push_back({"b" + digits, "127.0.0.1:" + std::to_string(9000 + number), "bog-a", {}, 2});
        }
        handle(ServiceConfigured{1, service});
    }

    /// Payouts one after the other. @return how many were lost.
    int payOut(Duration duration, Duration every)
    {
        int lost = 0;
        for (const TimePoint until = now_ + duration; now_ < until;) {
            RequestArrived arrived;
            arrived.request = ++lastRequest_;
            arrived.kindClass = KindClass::Write;
            arrived.callerTimeLeft = seconds(2);
            arrived.deadline = now_ + seconds(2);
            arrived.maxAttempts = 2;
            arrived.latencyObjective = milliseconds(200);
            handle(arrived);
            for (const TimePoint next = now_ + every; now_ < next;) {
                now_ += milliseconds(5);
                handle(Tick{});
            }
        }
        for (const auto &[server, count] : lostAt) {
            lost += count;
        }
        return lost;
    }

    std::set<std::string> liars; ///< Answer probes well and reset requests.
    std::set<std::string> calledIll; ///< Say that they are ill and run requests well.
    bool isLinkCut = false; ///< Nothing reaches any server.
    std::map<std::string, int> lostAt;
    std::map<std::string, int> answeredAt;
    int refused = 0;

private:
    void handle(const ServiceEvent &event)
    {
        ServiceActions actions;
        shard_.handle(now_, event, actions);
        for (const ServiceAction &action : actions) {
            take(action);
        }
    }

    void take(const ServiceAction &action)
    {
        // What fails at once leaves its slots free and its VM quick, so a server that lies looks best.
        const LoadReport told = liars.empty() ? LoadReport{0, 0, 2, 1.0} : LoadReport{0, 0, 2, 3.0};
        const LoadReport load = toldBy(action, told);
        if (const auto *probe = std::get_if<StartProbe>(&action)) {
            const bool isWell = !isLinkCut && !calledIll.contains(probe->backend);
            const LifeSign sign = isLinkCut ? LifeSign::Silent : LifeSign::Answered;
            handle(ProbeEnded{probe->backend, isWell, false, isLinkCut ? std::nullopt : std::optional(load), probe->request, sign, probe->isExtra});
        } else if (const auto *start = std::get_if<StartAttempt>(&action)) {
            end(*start);
        } else if (std::holds_alternative<Refuse>(action)) {
            ++refused;
        }
    }

    LoadReport toldBy(const ServiceAction &action, const LoadReport &others) const
    {
        const auto *probe = std::get_if<StartProbe>(&action);
        return probe && liars.contains(probe->backend) ? LoadReport{0, 0, 2, 1.0} : others;
    }

    void end(const StartAttempt &start)
    {
        AttemptEnded ended{start.request, start.attempt, AnsweredWhole{}, std::nullopt};
        const bool isLost = isLinkCut || liars.contains(start.backend);
        if (isLost) {
            ended.outcome = LostAnswer{"reset by the server"};
        }
        ++(isLost ? lostAt : answeredAt)[start.backend];
        handle(ended);
    }

    TimePoint now_ = TimePoint(seconds(50));
    RequestId lastRequest_ = 0;
    ServiceShard shard_{{"entry-1", "p"}, {"bog-a", "bogota"}, "liquidacion", LoadReportPick{}, 7};
};

} // namespace

TEST_CASE("A server that answers probes well and fails requests is found by its requests", "[choice][lying]")
{
    Lying service(6);
    service.liars = {"b1"};
    // Three until it is ejected for a second, then one at 1, 3 and 7 s.
    CHECK(service.payOut(seconds(10), milliseconds(20)) <= 7);
    CHECK(service.lostAt["b1"] >= 3);
    SECTION("and used again after it has become well")
    {
        service.liars.clear();
        service.payOut(seconds(20), milliseconds(20));
        CHECK(service.answeredAt["b1"] >= 10);
    }
}

TEST_CASE("A server that calls itself ill and runs requests well is used", "[choice][lying]")
{
    Lying service(3);
    service.calledIll = {"b1", "b2", "b3"};
    CHECK(service.payOut(seconds(3), milliseconds(50)) == 0);
    CHECK(service.refused == 0);
}

TEST_CASE("While an entry VM's own link is cut few servers are ejected, and soon after none is shut out", "[choice][lying]")
{
    Lying service(8);
    service.payOut(seconds(1), milliseconds(20));
    service.isLinkCut = true;
    service.payOut(seconds(3), milliseconds(50));
    service.isLinkCut = false;
    service.answeredAt.clear();
    service.refused = 0;
    service.payOut(seconds(1), milliseconds(20));
    CHECK(service.refused == 0);
    // A third was ejected, for seconds.
    CHECK(service.answeredAt.size() >= 5);
    service.payOut(seconds(40), milliseconds(50));
    CHECK(service.answeredAt.size() == 8);
}
