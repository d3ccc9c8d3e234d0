/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/crashes/answeredrequestcache.h"

namespace Cloverbarrow
{

void AnsweredRequestCache::add(TimePoint now, const RequestFingerprint &fingerprint)
{
    const auto [entry, isNew] = answeredAt_.insert_or_assign(fingerprint, now);
    if (isNew) {
        insertionOrder_.push_back(fingerprint);
    }
    if (insertionOrder_.size() > MaxEntries) {
        answeredAt_.erase(insertionOrder_.front());
        insertionOrder_.pop_front();
    }
}

bool AnsweredRequestCache::contains(TimePoint now, const RequestFingerprint &fingerprint) const
{
    const auto found = answeredAt_.find(fingerprint);
    return found != answeredAt_.end() && now - found->second < Lifetime;
}

bool AnsweredRequestCache::containsDigest(TimePoint now, const std::string &digest) const
{
    for (auto copy = answeredAt_.lower_bound({digest, {}}); copy != answeredAt_.end() && copy->first.digest == digest; ++copy) {
        if (now - copy->second < Lifetime) {
            return true;
        }
    }
    return false;
}

} // namespace Cloverbarrow
