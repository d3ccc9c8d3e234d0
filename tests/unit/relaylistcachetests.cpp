/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/descriptor.h"
#include "net/relaylistcache.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <array>

using namespace Cloverbarrow;

namespace
{

constexpr TimePoint Now = TimePoint(seconds(100));

/// A follower that has asked for a list and has not read it.
class Follower
{
public:
    Follower()
    {
        std::array<int, 2> pair{};
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair.data()) == 0);
        relayEnd_ = Descriptor(pair[0]);
        followerEnd_ = Descriptor(pair[1]);
        const int sendBufferBytes = 4096;
        ::setsockopt(pair[0], SOL_SOCKET, SO_SNDBUF, &sendBufferBytes, sizeof sendBufferBytes);
        connection = std::make_shared<CallerConnection>(pair[0], CallerBounds{}, CallerConnection::Options{true, 1}, [](const auto &, const HttpRequest &) {});
        connection->received("GET /relay/news/servers/0/0 HTTP/1.1\r\nHost: relay\r\n\r\n", Now);
    }

    /// Reads until the relay has sent the whole list.
    void readAll()
    {
        std::array<char, 65536> buffer{};
        while (connection->isSending()) {
            while (::recv(followerEnd_.get(), buffer.data(), buffer.size(), MSG_DONTWAIT) > 0) { }
            connection->checkTimeouts(Now);
        }
    }

    std::shared_ptr<CallerConnection> connection;

private:
    Descriptor relayEnd_;
    Descriptor followerEnd_;
};

/// @return an update with entries of pseudorandom text, which hardly compress.
CollectionUpdate updateOf(int entries, std::int64_t revision)
{
    CollectionUpdate update{revision, revision, {}};
    std::uint64_t state = 1;
    for (int number = 0; number < entries; ++number) {
        std::string text;
        for (int digit = 0; digit < 100; ++digit) {
            state = state * 6364136223846793005ULL + 1442695040888963407ULL;
            text += static_cast<char>('A' + (state >> 33U) % 50);
        }
        update.entries.push_back({"i-" + std::to_string(number), 1, std::nullopt, false, text});
    }
    return update;
}

bool sendList(RelayListCache &lists, const Follower &follower, const HttpAnswer &list)
{
    if (!lists.maySend(Collection::Servers)) {
        return false;
    }
    lists.addInFlight(Collection::Servers, follower.connection);
    follower.connection->answer(list, false);
    lists.markQueued(follower.connection);
    return true;
}

} // namespace

TEST_CASE("A relay limits the number of large lists in flight", "[relay][lists]")
{
    RelayListCache lists;
    const HttpAnswer list = lists.storeList(Collection::Servers, Now, updateOf(2000, 7));
    std::array<Follower, 4> followers;
    CHECK(sendList(lists, followers[0], list));
    CHECK(sendList(lists, followers[1], list));
    CHECK(sendList(lists, followers[2], list));
    CHECK_FALSE(sendList(lists, followers[3], list));
    SECTION("and sends another one when one has been read")
    {
        followers[1].readAll();
        CHECK(sendList(lists, followers[3], list));
    }
    SECTION("and sends another one when a follower has disconnected")
    {
        followers[0].connection->abort();
        CHECK(sendList(lists, followers[3], list));
    }
}

TEST_CASE("Small lists are sent without a limit", "[relay][lists]")
{
    RelayListCache lists;
    const HttpAnswer list = lists.storeList(Collection::Servers, Now, updateOf(5, 7));
    std::array<Follower, 4> followers;
    for (const Follower &follower : followers) {
        CHECK(sendList(lists, follower, list));
    }
}

TEST_CASE("The cached list of servers is reused for one second, that of routes is not", "[relay][lists]")
{
    RelayListCache lists;
    std::int64_t since = 0;
    CHECK_FALSE(lists.cachedList(Collection::Servers, Now, since));
    lists.storeList(Collection::Servers, Now, updateOf(3, 7));
    lists.storeList(Collection::Routing, Now, updateOf(1, 3));
    REQUIRE(lists.cachedList(Collection::Servers, Now + milliseconds(900), since));
    CHECK(since == 7);
    CHECK_FALSE(lists.cachedList(Collection::Servers, Now + milliseconds(1100), since));
    CHECK_FALSE(lists.cachedList(Collection::Routing, Now, since));
}
