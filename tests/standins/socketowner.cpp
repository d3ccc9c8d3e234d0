/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "socketowner.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace Cloverbarrow::Standins
{

namespace
{

/// @return inode of the socket bound to @p port, according to the kernel's table of TCP sockets; empty if there is none.
std::string inodeOfLocalPort(std::uint16_t port)
{
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // column titles
    while (std::getline(table, line)) {
        std::istringstream columns(line);
        std::string index;
        std::string local;
        std::string remote;
        std::string skipped;
        std::string inode;
        columns >> index >> local >> remote;
        constexpr int ColumnsBeforeInode = 6; // state, queues, timer, retransmissions, user, timeout
        for (int column = 0; column < ColumnsBeforeInode; ++column) {
            columns >> skipped;
        }
        columns >> inode;
        constexpr int HexBase = 16;
        const std::size_t colon = local.find(':');
        if (colon != std::string::npos && std::stoul(local.substr(colon + 1), nullptr, HexBase) == port && inode != "0") {
            return inode;
        }
    }
    return {};
}

bool holdsSocket(pid_t process, const std::string &inode)
{
    std::error_code error;
    for (const auto &descriptor : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", error)) {
        if (std::filesystem::read_symlink(descriptor, error) == "socket:[" + inode + "]") {
            return true;
        }
    }
    return false;
}

} // namespace

std::optional<pid_t> ownerOfLocalPort(std::uint16_t port, std::span<const pid_t> candidates)
{
    const std::string inode = inodeOfLocalPort(port);
    const auto owner =
        inode.empty() ? candidates.end() : std::find_if(candidates.begin(), candidates.end(), [&inode](pid_t process) { return holdsSocket(process, inode); });
    return owner == candidates.end() ? std::nullopt : std::optional(*owner);
}

} // namespace Cloverbarrow::Standins
