/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/configuration.h"
#include "core/support/yamlreader.h"

#include <string_view>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

/// Largest configuration document in bytes: the platform holds values of up to a megabyte.
constexpr std::size_t MaxDocumentBytes = 900'000;

/// Reads and checks a whole configuration document.
/// @return the configuration, or each fault found.
std::variant<Configuration, std::vector<DocumentFault>> parseConfiguration(std::string_view document);

} // namespace Cloverbarrow
