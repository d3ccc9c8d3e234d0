/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/rollouts/rolloutcoordinator.h"

#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// Request target at which an entry VM accepts counts of answers by version in the request body.
constexpr std::string_view RolloutReportsTarget = "/relay/rollouts";

std::string encodeRolloutReports(const RolloutReports &reports);
/// @throws std::exception if @p text is malformed.
RolloutReports decodeRolloutReports(std::string_view text);

} // namespace Cloverbarrow
