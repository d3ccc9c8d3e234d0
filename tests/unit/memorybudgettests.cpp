/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/memorybudget.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace Cloverbarrow;

namespace
{

constexpr std::size_t MB = 1'000'000;
constexpr std::size_t MiB = 1024 * 1024;

std::shared_ptr<MemoryBudget> budgetOf(std::size_t maxBytes)
{
    return std::make_shared<MemoryBudget>(maxBytes);
}

/// Reserves @p bytes as often as the budget allows.
std::vector<MemoryReservation> reserveAll(const std::shared_ptr<MemoryBudget> &budget, MemoryUse use, std::size_t bytes)
{
    std::vector<MemoryReservation> reservations;
    MemoryReservation next(budget, use);
    while (next.resize(bytes)) {
        reservations.push_back(std::move(next));
        next = MemoryReservation(budget, use);
    }
    return reservations;
}

} // namespace

TEST_CASE("Large bodies that arrive at the same time do not exceed the memory budget", "[memory]")
{
    const auto budget = budgetOf(100 * MB);
    const auto requests = reserveAll(budget, MemoryUse::Request, 4 * MB);
    CHECK(requests.size() == 12);
    CHECK(budget->counts().refusedRequests == 1);
    SECTION("answers and small requests still find room")
    {
        CHECK_FALSE(reserveAll(budget, MemoryUse::Answer, 4 * MB).empty());
        CHECK(reserveAll(budget, MemoryUse::Request, MemoryBudget::SmallBytes).size() >= 32);
    }
    SECTION("and whatever follows, its limit holds")
    {
        const auto answers = reserveAll(budget, MemoryUse::Answer, MB);
        const auto small = reserveAll(budget, MemoryUse::Answer, MemoryBudget::SmallBytes);
        CHECK(small.size() >= 32);
        CHECK(budget->counts().peakBytes <= 100 * MB);
        CHECK(budget->counts().refusedAnswers == 2);
    }
}

TEST_CASE("The longest body is accepted on a VM with 112 MB while no other large one is held", "[memory]")
{
    const auto budget = budgetOf(MemoryBudget::shareOf(112 * MB));
    MemoryReservation longest(budget, MemoryUse::Request);
    CHECK(budget->longestBody() >= 64 * MiB);
    REQUIRE(longest.resize(64 * MiB));
    MemoryReservation second(budget, MemoryUse::Request);
    CHECK_FALSE(second.resize(64 * MiB));
    CHECK(second.resize(MemoryBudget::SmallBytes));
    longest.resize(0);
    CHECK(second.resize(64 * MiB));
}

TEST_CASE("The memory budget leaves room for the program on small and large VMs", "[memory]")
{
    CHECK(MemoryBudget::shareOf(112 * MB) == 112 * MB - 40 * MiB);
    CHECK(MemoryBudget::shareOf(512 * MB) == 384 * MB);
    CHECK(MemoryBudget::shareOf(0) > 0);
    CHECK(MemoryBudget::shareOf(48 * MB) <= 48 * MB - 40 * MiB);
}

TEST_CASE("Reserved memory is returned once, with the last owner of the reservation", "[memory]")
{
    const auto budget = budgetOf(MB);
    {
        MemoryReservation first(budget, MemoryUse::Request);
        REQUIRE(first.resize(1000));
        MemoryReservation second = std::move(first);
        CHECK(budget->counts().usedBytes == 1000);
        REQUIRE(second.resize(400));
        CHECK(budget->counts().usedBytes == 400);
        second = MemoryReservation();
        CHECK(budget->counts().usedBytes == 0);
        REQUIRE(second.resize(5 * MB));
    }
    CHECK(budget->counts().usedBytes == 0);
    CHECK(budget->counts().peakBytes == 1000);
}

TEST_CASE("A reservation that cannot grow stays as it is", "[memory]")
{
    const auto budget = budgetOf(MB);
    MemoryReservation reservation(budget, MemoryUse::Request);
    REQUIRE(reservation.resize(1000));
    CHECK_FALSE(reservation.resize(2 * MB));
    CHECK(reservation.bytes() == 1000);
    CHECK(budget->counts().usedBytes == 1000);
    budget->setMaxBytes(500);
    CHECK_FALSE(reservation.resize(1001));
    CHECK(reservation.resize(999));
}
