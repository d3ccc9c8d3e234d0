/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/directory/slowserverexchange.h"
#include "core/support/time.h"

#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// @param now reference time of the encoded ages.
std::string encodeSlowServers(TimePoint now, const SlowServerMessage &message);
/// @throws std::exception if @p text is malformed or exceeds the bounds.
SlowServerMessage decodeSlowServers(TimePoint now, std::string_view text);

} // namespace Cloverbarrow
