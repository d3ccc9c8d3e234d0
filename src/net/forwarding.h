/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/serviceevents.h"
#include "net/httpmessage.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

// How entry VMs forward requests to each other: the request as the caller sent it, with a header that describes it, and the backend server's answer with a
// header that says so, or a refusal. Entry VMs of earlier releases answer that they know no such call.

/// What the forwarding entry VM states about a request. The receiving one does not route it and counts it for no quota.
struct ForwardedRequest {
    std::string service;
    std::string region; ///< Region of the sender. Requests are not forwarded to other regions.
    std::string workspace; ///< Name of the caller's workspace; empty if the caller is anonymous.
    bool takesBackoffs = false; ///< Whether the sender knows ForwardBackoffsHeader. One of an earlier release would pass it on to its caller.
    RequestArrived arrival; ///< Without a request id; the deadline is relative to the start of the clock.

    bool isValid() const;
};

/// Set in forwarded requests.
constexpr const char *ForwardHeader = "Cloverbarrow-Forward";
/// Names the forwarding in the request, and is echoed in its answer.
constexpr const char *ForwardTagHeader = "Cloverbarrow-Forward-Tag";
/// Set in answers to forwarded requests: the result, with a description if it is a refusal.
constexpr const char *ForwardResultHeader = "Cloverbarrow-Forward-Result";
/// Set in answers to forwarded requests if servers have requested backoffs in rejections of its attempts.
constexpr const char *ForwardBackoffsHeader = "Cloverbarrow-Forward-Backoffs";

/// @return value of ForwardHeader.
std::string encodeForwardedRequest(const ForwardedRequest &request);
/// @return nothing if @p text cannot be decoded.
std::optional<ForwardedRequest> decodeForwardedRequest(std::string_view text);

/// @return value of ForwardBackoffsHeader.
std::string encodeServerBackoffs(std::span<const ServerBackoff> backoffs);
/// @return nothing if @p text is invalid.
std::optional<std::vector<ServerBackoff>> decodeServerBackoffs(std::string_view text);

/// Removes the headers of forwarded requests and their answers.
void eraseForwardHeaders(Headers &headers);
/// Marks an answer of a backend server as the answer to a forwarded request.
void markForwardedAnswer(HttpAnswer &answer, const std::string &tag);
/// @return the answer that refuses a forwarded request.
HttpAnswer forwardedRefusal(const Problem &problem, const std::string &tag);
/// Interprets the answer of a peer to a forwarded request.
ForwardOutcome interpretForwardedAnswer(const HttpAnswer &answer);

} // namespace Cloverbarrow
