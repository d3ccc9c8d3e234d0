/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/connectionsockets.h"

namespace Cloverbarrow
{

void ConnectionSockets::insert(const ConnectionEnds &ends, int socket)
{
    erase(socket);
    if (const int former = find(ends); former >= 0) {
        erase(former);
    }
    sockets_.emplace(ends, socket);
    ends_.emplace(socket, ends);
}

int ConnectionSockets::find(const ConnectionEnds &ends) const
{
    const auto found = sockets_.find(ends);
    return found == sockets_.end() ? -1 : found->second;
}

void ConnectionSockets::erase(int socket)
{
    if (const auto known = ends_.extract(socket)) {
        sockets_.erase(known.mapped());
    }
}

} // namespace Cloverbarrow
