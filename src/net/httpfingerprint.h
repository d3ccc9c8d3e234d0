/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/requestfingerprint.h"
#include "net/httpmessage.h"

#include <string_view>

namespace Cloverbarrow
{

/// @return the fingerprint of a request. @param caller IP address that the request came from.
RequestFingerprint fingerprintOf(const HttpRequest &request, std::string_view caller);

} // namespace Cloverbarrow
