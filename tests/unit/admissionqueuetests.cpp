/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/admissionqueue.h"

#include <catch2/catch.hpp>

#include <set>

using namespace Cloverbarrow;

namespace
{

constexpr TimePoint Start = TimePoint(seconds(50));

AdmissionQueue queueOf(int requests, int bytes = 1000)
{
    return {{requests, bytes, seconds(1), milliseconds(400)}, Start, 7};
}

std::optional<AdmissionRefusalCause> causeOf(const AdmissionDecision &decision)
{
    const auto *refused = std::get_if<AdmissionRefused>(&decision);
    return refused ? std::optional(refused->cause) : std::nullopt;
}

bool isHeld(const AdmissionDecision &decision)
{
    return std::holds_alternative<AdmissionHeld>(decision);
}

} // namespace

TEST_CASE("Requests that arrive before the configuration are served oldest first with their arrival times, and later ones at once", "[startup]")
{
    AdmissionQueue queue = queueOf(4);
    CHECK(isHeld(queue.offer(Start + milliseconds(5), {1, 10, seconds(2)})));
    CHECK(isHeld(queue.offer(Start + milliseconds(8), {2, 10, seconds(9)})));
    const auto released = queue.release();
    REQUIRE(released.size() == 2);
    CHECK(released[0].id == 1);
    CHECK(released[0].arrivedAt == Start + milliseconds(5));
    CHECK(released[1].id == 2);
    CHECK(std::holds_alternative<AdmissionOver>(queue.offer(Start + milliseconds(9), {3, 10, seconds(2)})));
    CHECK(queue.expire(Start + seconds(60)).empty());
    CHECK(queue.release().empty());
}

TEST_CASE("No more requests or bytes are held than allowed, and those of disconnected callers take no room", "[startup]")
{
    AdmissionQueue queue = queueOf(2);
    CHECK(isHeld(queue.offer(Start, {1, 600, seconds(2)})));
    CHECK(causeOf(queue.offer(Start, {2, 401, seconds(2)})) == AdmissionRefusalCause::TooManyBytes);
    CHECK(isHeld(queue.offer(Start, {3, 400, seconds(2)})));
    CHECK(causeOf(queue.offer(Start, {4, 0, seconds(2)})) == AdmissionRefusalCause::TooManyRequests);
    queue.remove(1);
    CHECK(isHeld(queue.offer(Start, {5, 600, seconds(2)})));
    AdmissionQueue disabled = queueOf(0);
    CHECK_FALSE(isHeld(disabled.offer(Start, {1, 10, seconds(2)})));
}

TEST_CASE("A request is held for a quarter of its caller's time at most, and never served after its refusal", "[startup]")
{
    AdmissionQueue queue = queueOf(4);
    CHECK(isHeld(queue.offer(Start, {1, 10, seconds(2)})));
    CHECK(isHeld(queue.offer(Start, {2, 10, std::nullopt})));
    CHECK(queue.expire(Start + milliseconds(499)).empty());
    const auto expired = queue.expire(Start + milliseconds(500));
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].id == 1);
    CHECK(expired[0].cause == AdmissionRefusalCause::Expired);
    CHECK(queue.expire(Start + seconds(1)).size() == 1);
    CHECK(queue.release().empty());
}

// Guards against a wait in vain, after which the caller has less time left for another entry VM.
TEST_CASE("A request that would be refused after its wait is refused on arrival", "[startup]")
{
    AdmissionQueue queue = queueOf(4);
    CHECK(causeOf(queue.offer(Start, {1, 10, milliseconds(1500)})) == AdmissionRefusalCause::NotInTime);
    CHECK(isHeld(queue.offer(Start + milliseconds(100), {2, 10, milliseconds(1500)})));
    // The configuration may never come.
    CHECK(isHeld(queue.offer(Start + milliseconds(1600), {3, 10, seconds(2)})));
    CHECK(causeOf(queue.offer(Start + milliseconds(1601), {4, 10, seconds(2)})) == AdmissionRefusalCause::NotInTime);
}

TEST_CASE("A process that is told to stop refuses the requests that it holds, and later ones", "[startup]")
{
    AdmissionQueue queue = queueOf(4);
    CHECK(isHeld(queue.offer(Start, {1, 10, seconds(2)})));
    const auto stopped = queue.stop(Start + milliseconds(1));
    REQUIRE(stopped.size() == 1);
    CHECK(stopped[0].cause == AdmissionRefusalCause::Stopping);
    CHECK(causeOf(queue.offer(Start + milliseconds(2), {2, 10, seconds(2)})) == AdmissionRefusalCause::Stopping);
    CHECK(queue.release().empty());
}

// Guards against callers that use up their retries while no entry VM is ready, or come back in one wave or after their deadline.
TEST_CASE("Refused callers come back at different times once this entry VM is probably ready, and before their deadline", "[startup]")
{
    AdmissionQueue queue = queueOf(0);
    std::set<Duration> waits;
    for (int count = 0; count < 100; ++count) {
        const auto refused = std::get<AdmissionRefused>(queue.offer(Start + milliseconds(100), {1, 10, milliseconds(400)}));
        REQUIRE(refused.retryAfter);
        CHECK(*refused.retryAfter >= milliseconds(300));
        CHECK(*refused.retryAfter <= milliseconds(400));
        waits.insert(*refused.retryAfter);
    }
    CHECK(waits.size() > 20);
    CHECK(*waits.rbegin() - *waits.begin() > milliseconds(50));
    CHECK_FALSE(std::get<AdmissionRefused>(queue.offer(Start + milliseconds(100), {1, 10, milliseconds(300)})).retryAfter);
}

TEST_CASE("A queue that holds requests again counts its expected time from then on", "[startup][stall]")
{
    AdmissionQueue queue = queueOf(4);
    queue.release();
    const TimePoint later = Start + seconds(60);
    queue.hold(later);
    CHECK(isHeld(queue.offer(later + milliseconds(5), {1, 10, seconds(8)})));
    CHECK(causeOf(queue.offer(later + milliseconds(5), {2, 10, -seconds(1)})) == AdmissionRefusalCause::NotInTime);
    CHECK(queue.release().size() == 1);
    CHECK(std::holds_alternative<AdmissionOver>(queue.offer(later + milliseconds(9), {3, 10, seconds(2)})));
}
