/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "directorystore.h"
#include "store.h"

#include <catch2/catch.hpp>

#include <functional>
#include <future>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Standins;

namespace
{

/// Waits for the one answer about a seat.
SeatAnswered seatAfter(const std::function<void(DirectoryDone)> &call)
{
    std::promise<SeatAnswered> done;
    call([&done](const DirectoryAnswer &answer) { done.set_value(std::get<SeatAnswered>(answer.event)); });
    return done.get_future().get();
}

} // namespace

TEST_CASE("Reading the seat of a zone tells the relays of other zones as well", "[platform][relay]")
{
    DirectoryStore server;
    HttpClient client(1);
    Platform::Store store(client, server.address());
    const auto read = [&store](const std::string &zone) {
        return seatAfter([&store, &zone](DirectoryDone done) { store.readSeat(zone, ReadSeat{true}, std::move(done)); });
    };
    SECTION("when nobody relays")
    {
        const SeatAnswered seat = read("bog-a");
        CHECK(seat.hasAnswered);
        CHECK(seat.revision == 0);
        CHECK(seat.others.empty());
    }
    SECTION("when all zones have a relay")
    {
        const SeatAnswered taken = seatAfter([&store](DirectoryDone done) { store.writeSeat("bog-a", WriteSeat{"10.0.0.1:7200", 0}, std::move(done)); });
        CHECK(taken.holder == "10.0.0.1:7200");
        seatAfter([&store](DirectoryDone done) { store.writeSeat("bog-b", WriteSeat{"10.0.0.2:7200", 0}, std::move(done)); });
        const SeatAnswered seat = read("bog-a");
        CHECK(seat.holder == "10.0.0.1:7200");
        CHECK(seat.revision == taken.revision);
        CHECK(seat.others == std::vector<std::string>{"10.0.0.2:7200"});
    }
    SECTION("when another has taken the seat first")
    {
        seatAfter([&store](DirectoryDone done) { store.writeSeat("bog-a", WriteSeat{"10.0.0.1:7200", 0}, std::move(done)); });
        const SeatAnswered seat = seatAfter([&store](DirectoryDone done) { store.writeSeat("bog-a", WriteSeat{"10.0.0.9:7200", 0}, std::move(done)); });
        CHECK(seat.holder == "10.0.0.1:7200");
    }
    SECTION("not while the store refuses calls")
    {
        server.setBusy(true);
        CHECK_FALSE(read("bog-a").hasAnswered);
    }
    client.stop();
}
