/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/connectionsockets.h"

#include <catch2/catch.hpp>

using namespace Cloverbarrow;

TEST_CASE("Connections from one local port to several peers have sockets of their own", "[net]")
{
    ConnectionSockets sockets;
    sockets.insert({"127.0.0.1", 80, 5000}, 7);
    sockets.insert({"127.0.0.2", 80, 5000}, 8);
    CHECK(sockets.find({"127.0.0.1", 80, 5000}) == 7);
    CHECK(sockets.find({"127.0.0.2", 80, 5000}) == 8);
    sockets.erase(7);
    CHECK(sockets.find({"127.0.0.1", 80, 5000}) == -1);
    sockets.insert({"127.0.0.3", 80, 5000}, 8);
    CHECK(sockets.find({"127.0.0.2", 80, 5000}) == -1);
}
