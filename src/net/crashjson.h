/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/crashupdate.h"
#include "core/directory/directoryevents.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace Cloverbarrow
{

nlohmann::json encodeCrashReport(const CrashReport &report);
/// @throws std::exception if @p report is malformed.
CrashReport decodeCrashReport(const nlohmann::json &report);

std::string encodeCrashUpdates(const CrashUpdateMessage &message);
/// @throws std::exception if @p text is malformed.
CrashUpdateMessage decodeCrashUpdates(std::string_view text);

/// Encodes the response to crash updates. @param isReplySent whether the updates that the sender lacks are sent to it in a message of their own.
std::string encodeCrashUpdatesAnswer(bool isReplySent);
/// @return what the response tells; ReplyFollows if it is one of an earlier release. @throws std::exception if @p text is malformed.
CrashExchangeOutcome decodeCrashUpdatesAnswer(std::string_view text);

} // namespace Cloverbarrow
