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

/// What kind of failure an Error is.
enum class ErrorCode {
    Invalid, ///< The input is wrong; the same input fails again.
    Conflict, ///< Another writer came first; nothing was written.
    NotFound, ///< The object does not exist.
    Unavailable, ///< Nothing was done; another try may succeed.
    Unknown, ///< The write may or may not have taken effect; read it back.
};

/// A failure with the step and the peer at which it arose.
struct Error {
    ErrorCode code = ErrorCode::Invalid;
    std::string step;
    std::string peer;
    std::string message;

    /// @return one line for logs and operators.
    std::string toString() const
    {
        return step + (peer.empty() ? std::string() : " at " + peer) + ": " + message;
    }
};

template<typename T>
using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::all_narrow>;

} // namespace Cloverbarrow
