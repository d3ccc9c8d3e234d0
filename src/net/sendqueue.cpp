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
// Copying a smaller body costs less than sending it as a part of its own.
constexpr std::size_t MaxCopiedBytes = 16 * 1024;

iovec partOf(std::string_view bytes)
{
    // sendmsg() does not write to the bytes.
    return {const_cast<char *>(bytes.data()), bytes.size()};
}

} // namespace

void SendQueue::add(std::string head, Body body)
{
    if (body.size() <= MaxCopiedBytes) {
        head.append(body.view());
        body = {};
    }
    ownBytes_ += head.size();
    messages_.push_back({std::move(head), std::move(body)});
}

SendQueue::Result SendQueue::sendTo(int socket)
{
    bool hasProgressed = false;
    while (!messages_.empty()) {
        const ssize_t sent = sendOnce(socket);
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

ssize_t SendQueue::sendOnce(int socket) const
{
    constexpr int Flags = MSG_NOSIGNAL | MSG_DONTWAIT;
    if (messages_.size() == 1 && messages_.front().body.empty()) {
        const std::string_view rest = std::string_view(messages_.front().head).substr(sentBytes_);
        return ::send(socket, rest.data(), rest.size(), Flags);
    }
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
    return ::sendmsg(socket, &header, Flags);
}

void SendQueue::remove(std::size_t count)
{
    sentBytes_ += count;
    while (!messages_.empty() && sentBytes_ >= messages_.front().head.size() + messages_.front().body.size()) {
        sentBytes_ -= messages_.front().head.size() + messages_.front().body.size();
        ownBytes_ -= messages_.front().head.size();
        messages_.pop_front();
    }
}

void SendQueue::clear()
{
    messages_.clear();
    sentBytes_ = 0;
    ownBytes_ = 0;
}

bool SendQueue::isEmpty() const
{
    return messages_.empty();
}

std::size_t SendQueue::ownBytes() const
{
    return ownBytes_;
}

} // namespace Cloverbarrow
