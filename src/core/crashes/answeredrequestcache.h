/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/requestfingerprint.h"
#include "core/support/time.h"

#include <deque>
#include <map>
#include <string>

namespace Cloverbarrow
{

/// Fingerprints of requests that backend servers have answered recently. A request that was answered does not crash servers, so it is not the
/// cause when several servers crash at once while they process copies of it.
class AnsweredRequestCache
{
public:
    /// Long enough that a frequent request arrives several times within it. A request that starts to crash servers is detected this much later.
    static constexpr Duration Lifetime = seconds(30);
    /// The oldest entries are evicted first. An entry takes about 150 bytes.
    static constexpr std::size_t MaxEntries = 1024;

    void add(TimePoint now, const RequestFingerprint &fingerprint);
    bool contains(TimePoint now, const RequestFingerprint &fingerprint) const;
    /// @return whether a copy of the request was answered, whichever caller sent it.
    bool containsDigest(TimePoint now, const std::string &digest) const;

private:
    std::map<RequestFingerprint, TimePoint> answeredAt_;
    std::deque<RequestFingerprint> insertionOrder_; ///< In the order of first insertion.
};

} // namespace Cloverbarrow
