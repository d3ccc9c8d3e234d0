/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <map>
#include <string>

namespace Cloverbarrow
{

/// Both ends of a connection. Connections to several peers may have the same local port.
struct ConnectionEnds {
    std::string peerAddress;
    int peerPort = 0;
    int localPort = 0;

    auto operator<=>(const ConnectionEnds &) const = default;
};

/// Sockets of open connections by their ends, since libcurl does not tell which connection a transfer in flight uses.
class ConnectionSockets
{
public:
    void insert(const ConnectionEnds &ends, int socket);
    /// @return the socket; -1 if the connection is not open.
    int find(const ConnectionEnds &ends) const;
    /// The socket is about to be closed.
    void erase(int socket);

private:
    std::map<ConnectionEnds, int> sockets_;
    std::map<int, ConnectionEnds> ends_;
};

} // namespace Cloverbarrow
