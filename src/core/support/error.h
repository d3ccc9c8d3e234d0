/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <boost/outcome.hpp>

#include <string>

namespace Cloverbarrow
{

/// Category of an Error.
enum class ErrorCode {
    Invalid, ///< The input is invalid; a retry with the same input fails again.
    Conflict, ///< Another writer changed the object first; nothing was written.
    NotFound, ///< The object does not exist.
    Unavailable, ///< Nothing was done; a retry may succeed.
    Unknown, ///< The write may or may not have taken effect; read the object back.
};

/// A failure with the step that failed and the peer that was involved.
struct Error {
    ErrorCode code = ErrorCode::Invalid;
    std::string step;
    std::string peer;
    std::string message;

    /// @return one line of text for logs and operators.
    std::string toString() const
    {
        return step + (peer.empty() ? std::string() : " at " + peer) + ": " + message;
    }
};

template<typename T>
using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::all_narrow>;

} // namespace Cloverbarrow
