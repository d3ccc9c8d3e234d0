/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/sendqueue.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

namespace Cloverbarrow
{

namespace
{

constexpr std::size_t MaxParts = 16; // of one call; two for each message

iovec partOf(std::string_view bytes)
{
    // sendmsg() does not write to the bytes.
    return {const_cast<char *>(bytes.data()), bytes.size()};
}

} // namespace

void SendQueue::add(std::string head, Body body)
{
    headBytes_ += head.size();
    messages_.push_back({std::move(head), std::move(body)});
}

SendQueue::Result SendQueue::sendTo(int socket)
{
    bool hasProgressed = false;
    while (!messages_.empty()) {
        std::array<iovec, MaxParts> parts{};
        std::size_t count = 0;
        std::size_t skipped = sentBytes_;
        for (auto message = messages_.begin(); message != messages_.end() && count + 2 <= MaxParts; ++message) {
            for (const std::string_view bytes : {std::string_view(message->head), message->body.view()}) {
                const std::size_t skip = std::min(skipped, bytes.size());
                skipped -= skip;
                parts.at(count++) = partOf(bytes.substr(skip));
            }
        }
        msghdr header{};
        header.msg_iov = parts.data();
        header.msg_iovlen = count;
        const ssize_t sent = ::sendmsg(socket, &header, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0) {
            return {errno == EAGAIN || errno == EWOULDBLOCK ? State::Blocked : State::Failed, hasProgressed};
        }
        hasProgressed = hasProgressed || sent > 0;
        remove(static_cast<std::size_t>(sent));
    }
    return {State::Sent, hasProgressed};
}

void SendQueue::remove(std::size_t count)
{
    sentBytes_ += count;
    while (!messages_.empty() && sentBytes_ >= messages_.front().head.size() + messages_.front().body.size()) {
        sentBytes_ -= messages_.front().head.size() + messages_.front().body.size();
        headBytes_ -= messages_.front().head.size();
        messages_.pop_front();
    }
}

void SendQueue::clear()
{
    messages_.clear();
    sentBytes_ = 0;
    headBytes_ = 0;
}

bool SendQueue::isEmpty() const
{
    return messages_.empty();
}

std::size_t SendQueue::headBytes() const
{
    return headBytes_;
}

} // namespace Cloverbarrow
