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

/// An answer that is there and may have to wait for others before it.
struct ReadyAnswer {
    std::variant<HttpAnswer, std::string> answer; ///< Or its bytes, written out already.
    bool isHead = false;
    bool closes = false; ///< The connection ends with it.
};

/// The requests of one connection that have been handed on and not been answered. Their answers leave in the order in which the
/// requests came.
class AnswerQueue
{
public:
    /// @param keepsConnection whether the connection goes on after this request. @param onlyReads whether it may run beside others.
    /// @return the request's number.
    std::uint64_t add(bool keepsConnection, bool onlyReads);
    /// Takes the answer to a request; one that is not waited for is dropped. @return whether it was waited for.
    bool give(std::uint64_t number, ReadyAnswer answer);
    /// The same for the first request that has no answer.
    bool giveFirst(ReadyAnswer answer);
    /// @return the next answer to be sent, if it is there. It closes where its request said so.
    std::optional<ReadyAnswer> takeNext();
    void clear();

    bool isEmpty() const;
    std::size_t size() const;
    /// @return whether another request may be handed on beside those that wait: all of them only read, and none is the last one.
    bool takesReads() const;

private:
    struct Pending {
        std::uint64_t number = 0;
        bool keepsConnection = true;
        bool onlyReads = true;
        std::optional<ReadyAnswer> answer;
    };

    bool giveTo(const std::deque<Pending>::iterator &pending, ReadyAnswer answer);

    std::deque<Pending> pending_;
    std::uint64_t lastNumber_ = 0;
};

} // namespace Cloverbarrow
