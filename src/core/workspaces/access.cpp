/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/workspaces/access.h"

namespace Cloverbarrow
{

Access checkAccess(const WorkspaceTable *workspaces, bool isAnonymousAllowed, const std::optional<KeyDigest> &key)
{
    if (!workspaces) {
        return AccessGranted{};
    }
    // A key also identifies the workspace on routes that do not need one.
    const Workspace *workspace = key ? workspaces->findByKey(*key) : nullptr;
    if (workspace || isAnonymousAllowed) {
        return AccessGranted{workspace};
    }
    return AccessDenied{};
}

} // namespace Cloverbarrow
