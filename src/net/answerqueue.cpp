/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/answerqueue.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

std::uint64_t AnswerQueue::add(bool keepsConnection, bool isSafe)
{
    pending_.push_back({++lastNumber_, keepsConnection, isSafe, std::nullopt});
    return lastNumber_;
}

bool AnswerQueue::complete(std::uint64_t number, ReadyAnswer answer)
{
    const auto isUnanswered = [number](const Pending &pending) { return pending.number == number && !pending.answer; };
    return completePending(std::find_if(pending_.begin(), pending_.end(), isUnanswered), std::move(answer));
}

bool AnswerQueue::completeFirst(ReadyAnswer answer)
{
    const auto isUnanswered = [](const Pending &pending) { return !pending.answer; };
    return completePending(std::find_if(pending_.begin(), pending_.end(), isUnanswered), std::move(answer));
}

bool AnswerQueue::completePending(const std::deque<Pending>::iterator &pending, ReadyAnswer answer)
{
    if (pending == pending_.end()) {
        return false;
    }
    pending->answer = std::move(answer);
    return true;
}

std::optional<ReadyAnswer> AnswerQueue::takeNext()
{
    if (pending_.empty() || !pending_.front().answer) {
        return std::nullopt;
    }
    Pending next = std::move(pending_.front());
    pending_.pop_front();
    next.answer->closes = next.answer->closes || !next.keepsConnection;
    return std::move(next.answer);
}

void AnswerQueue::clear()
{
    pending_.clear();
}

bool AnswerQueue::isEmpty() const
{
    return pending_.empty();
}

std::size_t AnswerQueue::size() const
{
    return pending_.size();
}

bool AnswerQueue::acceptsSafeRequests() const
{
    const bool areAllSafe = std::all_of(pending_.begin(), pending_.end(), [](const Pending &pending) { return pending.isSafe; });
    return areAllSafe && (pending_.empty() || pending_.back().keepsConnection);
}

} // namespace Cloverbarrow
