/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/fleetestimate.h"
#include "core/directory/limitexchange.h"
#include "core/requests/fleetbudgets.h"
#include "core/servers/backendpool.h"
#include "core/support/random.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow::Tests
{

/// What the zone's server is like.
struct BoundedServer {
    double coldRequestsPerSecond = 0; ///< That it bears while it is cold, which is all the while; 0 for a warm server.
    Duration answersAfter{0};
    bool probesNameLimit = false;
};

/// A request that has reached the server.
struct Arrival {
    TimePoint at;
    bool isTold = false; ///< The server had told the entry VM of the present limit, or of a lower one since, half a second before or earlier.
};

/// The entry VMs of one availability zone with their relay, and one server with a bound on its requests, before entry VMs that all want to send all the
/// while. No network, and time passes as the test says.
class BoundedZone
{
public:
    BoundedZone(int entryVms, const FleetBudgets &budgets, const BoundedServer &server, std::uint64_t seed);

    void pass(Duration duration);
    /// The server names a limit from now on. @param perSecond nothing for none.
    void nameLimit(const std::optional<double> &perSecond);
    /// The process ends and starts again: it knows nothing, its sends of before have arrived.
    void restart(std::size_t index);
    /// Another entry VM relays from now on; followers notice one after the other.
    void handOver(std::size_t next);
    /// Entry VMs that have a share in the limit of the server have no requests for it from now on.
    void silenceSenders();
    void setCut(std::size_t index, bool isCut);

    TimePoint now() const;
    const std::vector<Arrival> &arrivals() const;
    /// @return most arrivals in any @p window.
    int mostIn(Duration window) const;
    /// @return entry VMs that know of a limit.
    int knowingLimit() const;

private:
    struct Node {
        Node(std::string ownName, const FleetBudgets &budgets, std::uint64_t process);

        std::string name;
        FleetEstimate estimate;
        BackendPool pool{LoadReportPick{}, {"bog-a", "bogota"}};
        LimitExchange limits;
        std::uint64_t process;
        std::optional<FleetRank> place;
        std::optional<FleetRank> configured;
        TimePoint toldAt;
        TimePoint nextAsk;
        TimePoint nextSend;
        TimePoint nextProbe;
        std::optional<TimePoint> limitToldAt; ///< Of the present limit, by the server.
        std::size_t follows = 0;
        TimePoint changesAt;
        bool isCut = false;
        bool hasRequests = true;
        bool hasAsked = false; ///< A relay, and was answered.
    };

    /// An answer on its way.
    struct Answer {
        TimePoint at;
        TimePoint askedAt;
        std::size_t node = 0;
        std::uint64_t process = 0; ///< That has asked.
    };

    void turn(std::size_t index);
    void send(std::size_t index);
    void probe(std::size_t index);
    void deliverAnswers();
    void takeNotice(Node &node, TimePoint askedAt, NoticeSource source, const std::optional<double> &limit);
    void follow(Node &node);
    void ask(std::size_t index);
    void exchangeLimits(std::size_t index);
    void takePlace(Node &node, const std::optional<FleetRank> &place);
    void configure(Node &node);
    bool reachesRelay(std::size_t index) const;

    FleetBudgets budgets_;
    BoundedServer server_;
    Random random_;
    TimePoint now_ = TimePoint(seconds(1000));
    std::vector<Node> nodes_;
    std::uint64_t processes_ = 0;
    std::size_t relay_ = 0;
    std::optional<double> limit_;
    std::deque<Answer> answers_; ///< By time.
    std::vector<Arrival> arrivals_;
};

} // namespace Cloverbarrow::Tests
