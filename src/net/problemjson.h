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

/// Says that a level below has done the retrying that there was to do; backend servers pass it on.
constexpr const char *RetriedHeader = "Cloverbarrow-Retried";

/// @return the answer that tells a caller of @p problem, as application/problem+json.
HttpAnswer problemAnswer(const Problem &problem);

} // namespace Cloverbarrow
