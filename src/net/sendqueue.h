/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/body.h"

#include <sys/types.h>

#include <cstddef>
#include <deque>
#include <string>

namespace Cloverbarrow
{

/// Messages that are being sent on a socket. Large bodies are sent from where they are and not copied.
class SendQueue
{
public:
    enum class State {
        Sent, ///< The queue is empty.
        Blocked, ///< The peer has to read before more can be sent.
        Failed, ///< The connection is broken.
    };

    struct Result {
        State state = State::Sent;
        bool hasProgressed = false; ///< Whether a byte was sent.
    };

    void add(std::string head, Body body = {});
    /// Sends as many bytes as @p socket accepts without blocking.
    Result sendTo(int socket);
    void clear();

    bool isEmpty() const;
    /// @return bytes of the queue's own memory, i.e. of heads and small bodies, including those of the first message that have been sent.
    std::size_t ownBytes() const;

private:
    struct Message {
        std::string head; ///< With the body, if that is small.
        Body body;
    };

    ssize_t sendOnce(int socket) const;
    /// Removes sent messages. @param count number of bytes sent.
    void remove(std::size_t count);

    std::deque<Message> messages_;
    std::size_t sentBytes_ = 0; ///< Of the first message.
    std::size_t ownBytes_ = 0;
};

} // namespace Cloverbarrow
