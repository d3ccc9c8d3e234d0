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

/// Properties of the simulated backend server.
struct SimulatedServer {
    double coldRequestsPerSecond = 0; ///< Rate that it tolerates while cold, which it stays throughout; 0 for a warm server.
    Duration responseTime{0}; ///< Time between the arrival of a request and its answer.
    bool probesAnnounceLimit = false; ///< Whether answers to probes contain the request limit, too.
};

/// A request that has reached the backend server.
struct Arrival {
    TimePoint at;
    bool isLimitKnown = false; ///< Whether the entry VM had received the current limit, or a lower one since, at least 0.5 s before sending.
};

/// Simulates the entry VMs of one availability zone, their relay and one backend server with a limited request rate. All entry VMs have requests for the
/// server all the time. There is no network, and the clock advances only in advance().
class SimulatedZone
{
public:
    SimulatedZone(int entryVms, const FleetBudgets &budgets, const SimulatedServer &server, std::uint64_t seed);

    void advance(Duration duration);
    /// Sets the limit that the server announces from now on. @param perSecond requests per second; no value removes the limit.
    void announceLimit(const std::optional<double> &perSecond);
    /// Restarts the process of an entry VM: its state is lost, and requests that it sent before have arrived at the server.
    void restart(std::size_t index);
    /// Replaces an entry VM by one with another address.
    void replace(std::size_t index);
    /// Replaces the entry VMs that have a share of the server's limit, except for the relay.
    void replaceSenders();
    /// Makes another entry VM the relay; each follower switches to it after a random delay.
    void changeRelay(std::size_t next);
    /// Entry VMs that have a share of the server's limit get no more requests for it.
    void stopSenders();
    /// Disconnects an entry VM from the other ones, or connects it again.
    void setDisconnected(std::size_t index, bool isDisconnected);

    TimePoint now() const;
    const std::vector<Arrival> &arrivals() const;
    /// @return the highest number of arrivals in any interval of length @p window.
    int maxArrivalsIn(Duration window) const;
    /// @return the number of entry VMs that have a limit of the server in force.
    int entryVmsWithLimit() const;

private:
    struct EntryVm {
        EntryVm(std::string entryVmName, const FleetBudgets &budgets, std::uint64_t process);

        std::string name;
        FleetEstimate estimate;
        BackendPool pool{LoadReportPick{}, {"bog-a", "bogota"}};
        LimitExchange limits;
        std::uint64_t process;
        std::optional<FleetRank> rank;
        std::optional<FleetRank> configuredRank;
        TimePoint rankReceivedAt;
        TimePoint nextRelayCall;
        TimePoint nextSend;
        TimePoint nextProbe;
        std::optional<TimePoint> limitReceivedAt; ///< When the server first sent the current limit to this entry VM.
        std::size_t followedRelay = 0; ///< Index of the entry VM that this one uses as its relay.
        TimePoint relayChangeAt; ///< When it switches to the new relay; zero while none is pending.
        bool isDisconnected = false;
        bool hasRequests = true;
        bool hasReachedRelay = false; ///< Whether a relay has answered a request of this process.
    };

    /// An answer in flight.
    struct Answer {
        TimePoint at;
        TimePoint sentAt;
        std::size_t entryVm = 0;
        std::uint64_t process = 0; ///< Process that sent the request.
    };

    void stepEntryVm(std::size_t index);
    void send(std::size_t index);
    void probe(std::size_t index);
    void deliverAnswers();
    void applyNotice(EntryVm &entryVm, TimePoint sentAt, NoticeSource source, const std::optional<double> &limit);
    void updateFollowedRelay(EntryVm &entryVm);
    void callRelay(std::size_t index);
    void exchangeLimits(std::size_t index);
    void setRank(EntryVm &entryVm, const std::optional<FleetRank> &rank);
    void configure(EntryVm &entryVm);
    bool reachesRelay(std::size_t index) const;

    FleetBudgets budgets_;
    SimulatedServer server_;
    Random random_;
    TimePoint now_ = TimePoint(seconds(1000));
    std::vector<EntryVm> entryVms_;
    std::uint64_t processCount_ = 0;
    std::size_t relay_ = 0;
    std::optional<double> limit_;
    std::deque<Answer> answers_; ///< Ordered by time.
    std::vector<Arrival> arrivals_;
};

} // namespace Cloverbarrow::Tests
