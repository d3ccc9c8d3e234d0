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

/// Largest configuration document in bytes. The platform stores values of up to 1 MB, which also hold drains and history.
constexpr std::size_t MaxDocumentBytes = 900'000;

/// Parses and validates a configuration document.
/// @return the configuration, or all faults found.
std::variant<Configuration, std::vector<DocumentFault>> parseConfiguration(std::string_view document);

} // namespace Cloverbarrow
