/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/contentdigest.h"

#include "net/digest.h"

namespace Cloverbarrow
{

namespace
{

// 128 bits: that two of a million contents are the same by chance is less likely than 1 in 10^26.
constexpr std::size_t DigestDigits = 32;
// Callers are only told apart under one content. The address itself is not told on: it may belong to a person.
constexpr std::size_t CallerDigits = 16;

} // namespace

RequestContent contentOf(const HttpRequest &request, std::string_view caller)
{
    const std::string_view host = findHeader(request.headers, "host").value_or("");
    return {sha256({request.method, "\n", host, "\n", request.target, "\n", request.body}).substr(0, DigestDigits), sha256({caller}).substr(0, CallerDigits)};
}

} // namespace Cloverbarrow
