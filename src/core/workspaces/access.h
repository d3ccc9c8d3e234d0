/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/workspaces/workspacetable.h"

#include <optional>
#include <string_view>
#include <variant>

namespace Cloverbarrow
{

/// The request may be served.
struct AccessGranted {
    const Workspace *workspace = nullptr; ///< Workspace of the caller; nullptr if it is anonymous.
};

/// The request needs the key of a workspace and has none, or an unknown one.
struct AccessDenied {
};

using Access = std::variant<AccessGranted, AccessDenied>;

/// @param workspaces nullptr if the configuration has none; no request needs a key then. @param isAnonymousAllowed whether the route serves callers without a
/// key. @param key digest of the caller's key; empty if it sent none.
Access checkAccess(const WorkspaceTable *workspaces, bool isAnonymousAllowed, const std::optional<KeyDigest> &key);

} // namespace Cloverbarrow
