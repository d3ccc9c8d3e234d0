/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/fleetestimate.h"
#include "core/requests/fleetbudgets.h"
#include "core/servers/backendpool.h"
#include "core/support/random.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <vector>

using namespace Cloverbarrow;

namespace
{

constexpr Duration Step = milliseconds(20);
constexpr Duration AskEvery = milliseconds(400);
// A relay whose zone has another one is followed no longer than this.
constexpr Duration HandOver = seconds(1);

/// The entry VMs of one availability zone with their relay, and one server that is cold all the while.
class ColdZone
{
public:
    ColdZone(int entryVms, const FleetBudgets &budgets, double requestsPerSecond, std::uint64_t seed)
        : budgets_(budgets)
        , requestsPerSecond_(requestsPerSecond)
        , random_(seed)
    {
        for (int number = 0; number < entryVms; ++number) {
            nodes_.push_back(Node("vm-" + std::to_string(number), budgets));
            configure(nodes_.back());
        }
    }

    /// Everyone wants to send all the while. @return most requests that arrived in any second.
    int pass(Duration duration)
    {
        for (const TimePoint until = now_ + duration; now_ < until;) {
            now_ += Step;
            for (std::size_t index = 0; index < nodes_.size(); ++index) {
                turn(index);
            }
            while (!arrivals_.empty() && arrivals_.front() <= now_ - seconds(1)) {
                arrivals_.pop_front();
            }
            most_ = std::max(most_, static_cast<int>(arrivals_.size()));
        }
        return most_;
    }

    /// The process ends and starts again: it knows nothing, its sends of before have arrived.
    void restart(std::size_t index)
    {
        Node &node = nodes_[index % nodes_.size()];
        node = Node(node.name, budgets_);
        configure(node);
    }

    /// Another entry VM relays from now on; followers notice one after the other.
    void handOver(std::size_t next)
    {
        relay_ = next % nodes_.size();
    }

    void setCut(std::size_t index, bool isCut)
    {
        nodes_[index % nodes_.size()].isCut = isCut;
    }

    int sent() const
    {
        return sent_;
    }

private:
    struct Node {
        Node(std::string ownName, const FleetBudgets &budgets)
            : name(std::move(ownName))
            , estimate(budgets.zones)
        {
        }

        std::string name;
        FleetEstimate estimate;
        BackendPool pool{LoadReportPick{}, {"bog-a", "bogota"}};
        std::optional<FleetPlace> place;
        std::optional<FleetPlace> configured;
        TimePoint toldAt;
        TimePoint nextAsk;
        std::size_t follows = 0;
        TimePoint changesAt;
        bool isCut = false;
    };

    void turn(std::size_t index)
    {
        Node &node = nodes_[index];
        follow(node);
        const bool isRelay = index == relay_;
        if (isRelay) {
            take(node, node.estimate.ownPlace(now_));
        } else {
            node.estimate.stopCounting();
        }
        if (!isRelay && now_ >= node.nextAsk) {
            ask(index);
        }
        if (now_ - node.toldAt > FleetEstimate::PlaceLasts) {
            node.place.reset();
        }
        if (node.place != node.configured) {
            configure(node);
        }
        while (node.pool.takeNamed(now_, "cold")) {
            node.pool.release("cold", AttemptQuality::Neutral, Duration(0), now_);
            arrivals_.push_back(now_);
            ++sent_;
        }
    }

    void follow(Node &node)
    {
        if (node.follows == relay_) {
            node.changesAt = TimePoint();
        } else if (node.changesAt == TimePoint()) {
            node.changesAt = now_ + Duration(random_.below(static_cast<std::size_t>(HandOver.count())));
        } else if (now_ >= node.changesAt) {
            node.follows = relay_;
            node.changesAt = TimePoint();
        }
    }

    void ask(std::size_t index)
    {
        Node &node = nodes_[index];
        node.nextAsk = now_ + AskEvery * 3 / 4 + Duration(random_.below(static_cast<std::size_t>((AskEvery / 2).count())));
        if (node.isCut || node.follows != relay_ || nodes_[relay_].isCut) {
            return;
        }
        take(node, nodes_[relay_].estimate.followerAsked(now_, node.name));
    }

    void take(Node &node, const std::optional<FleetPlace> &place)
    {
        if (place) {
            node.place = place;
            node.toldAt = now_;
        }
    }

    void configure(Node &node)
    {
        node.configured = node.place;
        Service service;
        service.name = "polizas";
        service.coldStart = coldStartAllowance(budgets_, requestsPerSecond_);
        service.place = node.place;
        service.backendServers.push_back({"cold", "127.0.0.1:9001", "bog-a", {}, 2, seconds(86'400)});
        node.pool.configure(service, now_);
    }

    FleetBudgets budgets_;
    double requestsPerSecond_;
    Random random_;
    TimePoint now_ = TimePoint(seconds(1000));
    std::vector<Node> nodes_;
    std::size_t relay_ = 0;
    std::deque<TimePoint> arrivals_;
    int sent_ = 0;
    int most_ = 0;
};

} // namespace

TEST_CASE("A cold server never gets more in a second than it bears, whatever becomes of the fleet", "[property][cold][fleet]")
{
    CHECK(rc::check("with entry VMs that start anew, are cut off and take the relay over", [] {
        const int entryVms = *rc::gen::inRange(1, 90);
        FleetBudgets budgets;
        budgets.coldOverage = *rc::gen::element(1.0, 1.5, 2.0);
        budgets.coldSlack = *rc::gen::element(0.0, 3.0, 8.0);
        const double perSecond = *rc::gen::element(0.5, 1.0, 2.5, 5.0, 40.0);
        ColdZone zone(entryVms, budgets, perSecond, *rc::gen::arbitrary<std::uint64_t>());
        int most = zone.pass(seconds(4));
        const int troubles = *rc::gen::inRange(0, 12);
        for (int trouble = 0; trouble < troubles; ++trouble) {
            const auto index = static_cast<std::size_t>(*rc::gen::inRange(0, 90));
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                zone.restart(index);
                break;
            case 1:
                zone.handOver(index);
                break;
            case 2:
                zone.setCut(index, true);
                break;
            case 3:
                zone.setCut(index, false);
                break;
            default:
                for (std::size_t all = 0; all < 90; ++all) {
                    zone.restart(all);
                }
                break;
            }
            most = zone.pass(milliseconds(*rc::gen::inRange(10, 3000)));
        }
        RC_ASSERT(most <= perSecond * budgets.coldOverage + budgets.coldSlack);
    }));
}

TEST_CASE("A cold server is used at the rate that it bears while all is well", "[property][cold][fleet]")
{
    CHECK(rc::check("whatever the number of entry VMs", [] {
        ColdZone zone(*rc::gen::inRange(1, 90), FleetBudgets{}, 2.5, *rc::gen::arbitrary<std::uint64_t>());
        zone.pass(seconds(4));
        const int before = zone.sent();
        zone.pass(seconds(10));
        // Places that nobody has are a quarter of 4 at most, and half of one server's senders may stand on such.
        RC_ASSERT(zone.sent() - before >= 8);
    }));
}
