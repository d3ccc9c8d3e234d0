/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/workspaces/quotagrant.h"

#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// Request target at which an entry VM accepts claims on quotas of workspaces in the request body, and answers with its grants.
constexpr std::string_view QuotaTarget = "/relay/quota";

std::string encodeQuotaRequest(const QuotaRequest &request);
/// @throws std::exception if @p text is malformed.
QuotaRequest decodeQuotaRequest(std::string_view text);

std::string encodeQuotaAnswer(const QuotaAnswer &answer);
/// @throws std::exception if @p text is malformed.
QuotaAnswer decodeQuotaAnswer(std::string_view text);

} // namespace Cloverbarrow
