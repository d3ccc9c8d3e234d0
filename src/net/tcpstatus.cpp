/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/tcpstatus.h"

// The struct of <netinet/tcp.h> ends before the number of received bytes.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cstddef>

namespace Cloverbarrow
{

namespace
{

/// The states of TCP in which the other end has closed its sending half. <linux/tcp.h> does not name them.
bool isPeerClosedState(int state)
{
    constexpr int TimeWait = 6;
    constexpr int Close = 7;
    constexpr int CloseWait = 8;
    constexpr int LastAck = 9;
    constexpr int Closing = 11;
    return state == TimeWait || state == Close || state == CloseWait || state == LastAck || state == Closing;
}

} // namespace

std::optional<TcpStatus> tcpStatus(int fd)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    const bool isKnown = ::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    if (!isKnown || size < offsetof(tcp_info, tcpi_notsent_bytes) + sizeof info.tcpi_notsent_bytes) {
        return std::nullopt;
    }
    return TcpStatus{milliseconds(info.tcpi_last_data_recv),
                     info.tcpi_bytes_received,
                     isPeerClosedState(info.tcpi_state),
                     milliseconds(info.tcpi_last_ack_recv),
                     info.tcpi_notsent_bytes,
                     info.tcpi_unacked,
                     size >= offsetof(tcp_info, tcpi_snd_wnd) + sizeof info.tcpi_snd_wnd && info.tcpi_snd_wnd == 0,
                     info.tcpi_probes,
                     info.tcpi_retransmits};
}

bool hasUnreadBytes(int fd)
{
    int count = 0;
    return ::ioctl(fd, FIONREAD, &count) == 0 && count > 0;
}

} // namespace Cloverbarrow
