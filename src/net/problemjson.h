/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/serviceevents.h"
#include "net/httpmessage.h"

namespace Cloverbarrow
{

/// Marks an answer for which all useful retries have already been made, so that the services in front do not retry again. Backend servers
/// forward the header.
constexpr const char *RetriedHeader = "Cloverbarrow-Retried";

/// @return the answer that reports @p problem to a caller, as application/problem+json.
HttpAnswer problemAnswer(const Problem &problem);

/// @return the refusal of a request for which there is no memory. @param counts of the memory budget.
Problem memoryProblem(const MemoryCounts &counts);

} // namespace Cloverbarrow
