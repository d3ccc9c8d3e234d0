/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/httpclient.h"

#include <future>
#include <memory>
#include <utility>

namespace Cloverbarrow::Tests
{

/// Starts @p call. @return its outcome, once it has ended.
inline std::future<HttpOutcome> startCall(HttpClient &client, HttpCallId id, HttpCall call)
{
    auto done = std::make_shared<std::promise<HttpOutcome>>();
    client.start(id, std::move(call), [done](HttpOutcome outcome) { done->set_value(std::move(outcome)); });
    return done->get_future();
}

} // namespace Cloverbarrow::Tests
