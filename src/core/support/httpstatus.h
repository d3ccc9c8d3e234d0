/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

namespace Cloverbarrow::HttpStatus
{

// HTTP status codes (RFC 9110) that the core or the adapters use.
constexpr int Continue = 100; ///< Lowest status of the class of interim answers (1xx).
constexpr int SwitchingProtocols = 101;
constexpr int Ok = 200;
constexpr int Created = 201;
constexpr int NotModified = 304;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int MethodNotAllowed = 405;
constexpr int Conflict = 409;
constexpr int Gone = 410;
constexpr int MisdirectedRequest = 421;
constexpr int TooManyRequests = 429;
constexpr int ServerError = 500; ///< Lowest status of the server error class (5xx).
constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;
constexpr int Highest = 599; ///< Highest status of an answer; higher ones belong to no class.

/// @return whether @p status is in the class of successes (2xx).
constexpr bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace Cloverbarrow::HttpStatus
