/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <cstddef>
#include <string>
#include <variant>

namespace Cloverbarrow
{

/// The answer names no limit.
struct NoRequestLimit {
    bool operator==(const NoRequestLimit &) const = default;
};

/// Requests a second that a backend server takes from all entry VMs together.
struct RequestLimit {
    double perSecond = 0;
    std::string header = {}; ///< That named it.

    bool operator==(const RequestLimit &) const = default;
};

/// The answer names a limit that cannot be read.
struct UnreadableLimit {
    std::string text;

    bool operator==(const UnreadableLimit &) const = default;
};

/// What an answer of a backend server says of a limit on its requests.
using LimitNotice = std::variant<NoRequestLimit, RequestLimit, UnreadableLimit>;

/// Kinds of answers that may name a limit.
enum class NoticeSource {
    Run, ///< The request was run.
    Rejection, ///< The request was not run.
    Probe,
};

constexpr std::size_t NoticeSources = 3;

} // namespace Cloverbarrow
