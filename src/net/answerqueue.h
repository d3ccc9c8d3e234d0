/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>

namespace Cloverbarrow
{

/// An answer that is ready and is sent once all earlier requests have been answered.
struct ReadyAnswer {
    std::variant<HttpAnswer, std::string> answer; ///< A string is an answer that is already serialized.
    bool isHead = false;
    bool closes = false; ///< Whether the connection closes after this answer.
};

/// The requests of one connection that have been dispatched and not yet answered. Answers are sent in the order of the requests.
class AnswerQueue
{
public:
    /// @param keepsConnection whether the connection stays open after this request. @param isSafe whether its method is safe
    /// (RFC 9110), so that it may be processed in parallel with others. @return the number of the request.
    std::uint64_t add(bool keepsConnection, bool isSafe);
    /// Sets the answer to a request. An answer to an unknown or already answered request is dropped. @return whether it was accepted.
    bool complete(std::uint64_t number, ReadyAnswer answer);
    /// Sets the answer to the oldest request that has none. @return whether there is one.
    bool completeFirst(ReadyAnswer answer);
    /// @return the next answer in order, if it is ready. It closes the connection if its request asked for that.
    std::optional<ReadyAnswer> takeNext();
    void clear();

    bool isEmpty() const;
    std::size_t size() const;
    /// @return whether another safe request may be dispatched now: all pending requests are safe, and none closes the connection.
    bool acceptsSafeRequests() const;

private:
    struct Pending {
        std::uint64_t number = 0;
        bool keepsConnection = true;
        bool isSafe = true;
        std::optional<ReadyAnswer> answer;
    };

    bool completePending(const std::deque<Pending>::iterator &pending, ReadyAnswer answer);

    std::deque<Pending> pending_;
    std::uint64_t lastNumber_ = 0;
};

} // namespace Cloverbarrow
