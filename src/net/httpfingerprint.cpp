/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/httpfingerprint.h"

#include "net/digest.h"

namespace Cloverbarrow
{

namespace
{

// 128 bits: the probability that two of a million fingerprints collide by chance is below 1 in 10^26.
constexpr std::size_t DigestDigits = 32;
// Only distinguishes callers that sent the same request. The IP address itself is not shared, as it may identify a person.
constexpr std::size_t CallerDigits = 16;

} // namespace

RequestFingerprint fingerprintOf(const HttpRequest &request, std::string_view caller)
{
    const std::string_view host = findHeader(request.headers, "host").value_or("");
    return {sha256({request.method, "\n", host, "\n", request.target, "\n", request.body}).substr(0, DigestDigits), sha256({caller}).substr(0, CallerDigits)};
}

} // namespace Cloverbarrow
