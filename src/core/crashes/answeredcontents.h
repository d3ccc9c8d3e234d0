/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/requestcontent.h"
#include "core/support/time.h"

#include <deque>
#include <map>

namespace Cloverbarrow
{

/// Contents that servers have answered lately. What was answered does not crash servers, so when several end at once under a request that is
/// sent often, it is not the cause.
class AnsweredContents
{
public:
    /// A request that is sent often comes several times in it, and one that begins to crash servers is found out this much later.
    static constexpr Duration Lifetime = seconds(30);
    /// The oldest go first. Some 150 bytes each.
    static constexpr std::size_t MostKept = 1024;

    void add(TimePoint now, const RequestContent &content);
    bool has(TimePoint now, const RequestContent &content) const;

private:
    std::map<RequestContent, TimePoint> answeredAt_;
    std::deque<RequestContent> order_; ///< As they were added first.
};

} // namespace Cloverbarrow
