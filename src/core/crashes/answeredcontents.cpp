/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/answeredcontents.h"

namespace Cloverbarrow
{

void AnsweredContents::add(TimePoint now, const RequestContent &fingerprint)
{
    const auto [entry, isNew] = answeredAt_.insert_or_assign(fingerprint, now);
    if (isNew) {
        order_.push_back(fingerprint);
    }
    if (order_.size() > MostKept) {
        answeredAt_.erase(order_.front());
        order_.pop_front();
    }
}

bool AnsweredContents::has(TimePoint now, const RequestContent &fingerprint) const
{
    const auto found = answeredAt_.find(fingerprint);
    return found != answeredAt_.end() && now - found->second < Lifetime;
}

} // namespace Cloverbarrow
