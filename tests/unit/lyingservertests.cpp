/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/serviceshard.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

// Servers whose health according to probes differs from that according to requests: they pass probes and reset requests, or fail probes and execute
// requests.

using namespace Cloverbarrow;

namespace
{

/// A shard with simulated servers, some of which answer probes and requests inconsistently.
class InconsistentServers
{
public:
    explicit InconsistentServers(int servers)
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

    /// Sends payouts one after another. @return total number of payouts with a lost answer.
    int sendPayouts(Duration duration, Duration every)
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
        for (const auto &[server, count] : lostByServer) {
            lost += count;
        }
        return lost;
    }

    std::set<std::string> onlyProbesPass; ///< Servers that pass probes and reset requests.
    std::set<std::string> onlyProbesFail; ///< Servers that fail probes and execute requests.
    bool isLinkCut = false; ///< The link of the entry VM is cut; no server is reachable.
    std::map<std::string, int> lostByServer;
    std::map<std::string, int> answeredByServer;
    int refused = 0;

private:
    void handle(const ServiceEvent &event)
    {
        ServiceActions actions;
        shard_.handle(now_, event, actions);
        for (const ServiceAction &action : actions) {
            perform(action);
        }
    }

    void perform(const ServiceAction &action)
    {
        // A server that fails requests at once has free slots and a fast VM, so its load report is the best one.
        const LoadReport usualReport = onlyProbesPass.empty() ? LoadReport{0, 0, 2, 1.0} : LoadReport{0, 0, 2, 3.0};
        const LoadReport load = reportFor(action, usualReport);
        if (const auto *probe = std::get_if<StartProbe>(&action)) {
            const bool isHealthy = !isLinkCut && !onlyProbesFail.contains(probe->backend);
            const ServerLiveness liveness = isLinkCut ? ServerLiveness::Unresponsive : ServerLiveness::Answered;
            handle(
                ProbeEnded{probe->backend, isHealthy, false, isLinkCut ? std::nullopt : std::optional(load), probe->request, liveness, probe->isStatusCheck});
        } else if (const auto *start = std::get_if<StartAttempt>(&action)) {
            end(*start);
        } else if (std::holds_alternative<Refuse>(action)) {
            ++refused;
        }
    }

    LoadReport reportFor(const ServiceAction &action, const LoadReport &usualReport) const
    {
        const auto *probe = std::get_if<StartProbe>(&action);
        return probe && onlyProbesPass.contains(probe->backend) ? LoadReport{0, 0, 2, 1.0} : usualReport;
    }

    void end(const StartAttempt &start)
    {
        AttemptEnded ended{start.request, start.attempt, CompleteAnswer{}, std::nullopt};
        const bool isLost = isLinkCut || onlyProbesPass.contains(start.backend);
        if (isLost) {
            ended.outcome = LostAnswer{"reset by the server"};
        }
        ++(isLost ? lostByServer : answeredByServer)[start.backend];
        handle(ended);
    }

    TimePoint now_ = TimePoint(seconds(50));
    RequestId lastRequest_ = 0;
    ServiceShard shard_{{"entry-1", "p"}, {"bog-a", "bogota"}, "liquidacion", LoadReportPick{}, 7};
};

} // namespace

TEST_CASE("A server that passes probes and fails requests is ejected for its requests", "[choice][lying]")
{
    InconsistentServers service(6);
    service.onlyProbesPass = {"b1"};
    // Three losses until it is ejected for one second, then one each after 1, 3 and 7 s.
    CHECK(service.sendPayouts(seconds(10), milliseconds(20)) <= 7);
    CHECK(service.lostByServer["b1"] >= 3);
    SECTION("and is used again after it has recovered")
    {
        service.onlyProbesPass.clear();
        service.sendPayouts(seconds(20), milliseconds(20));
        CHECK(service.answeredByServer["b1"] >= 10);
    }
}

TEST_CASE("A server that fails probes and executes requests is still used", "[choice][lying]")
{
    InconsistentServers service(3);
    service.onlyProbesFail = {"b1", "b2", "b3"};
    CHECK(service.sendPayouts(seconds(3), milliseconds(50)) == 0);
    CHECK(service.refused == 0);
}

TEST_CASE("An interruption of the entry VM's own link ejects few servers, and all are used again soon after it", "[choice][lying]")
{
    InconsistentServers service(8);
    service.sendPayouts(seconds(1), milliseconds(20));
    service.isLinkCut = true;
    service.sendPayouts(seconds(3), milliseconds(50));
    service.isLinkCut = false;
    service.answeredByServer.clear();
    service.refused = 0;
    service.sendPayouts(seconds(1), milliseconds(20));
    CHECK(service.refused == 0);
    // At most a third of the servers is still ejected, for some seconds.
    CHECK(service.answeredByServer.size() >= 5);
    service.sendPayouts(seconds(40), milliseconds(50));
    CHECK(service.answeredByServer.size() == 8);
}
