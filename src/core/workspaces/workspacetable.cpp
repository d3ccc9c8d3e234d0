/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/workspaces/workspacetable.h"

#include <cmath>
#include <cstring>
#include <set>
#include <stdexcept>
#include <utility>

namespace Cloverbarrow
{

namespace
{

void validate(const Workspace &workspace)
{
    if (workspace.name.empty()) {
        throw std::invalid_argument("a workspace has no name");
    }
    const auto isValid = [](double value) { return std::isfinite(value) && value >= 0; };
    if (workspace.quota && !(isValid(workspace.quota->perSecond) && isValid(workspace.quota->burst))) {
        throw std::invalid_argument("workspace " + workspace.name + ": its rate or burst is not a number from 0");
    }
}

} // namespace

bool isSameDigest(const KeyDigest &left, const KeyDigest &right)
{
    unsigned difference = 0;
    for (std::size_t index = 0; index < left.size(); ++index) {
        difference |= static_cast<unsigned>(left[index] ^ right[index]);
    }
    return difference == 0;
}

std::size_t WorkspaceTable::DigestHash::operator()(const KeyDigest &digest) const
{
    // Any part of a digest is evenly distributed.
    std::size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof(hash));
    return hash;
}

bool WorkspaceTable::DigestEqual::operator()(const KeyDigest &left, const KeyDigest &right) const
{
    return isSameDigest(left, right);
}

WorkspaceTable::WorkspaceTable(std::int64_t version, std::vector<Workspace> workspaces)
    : version_(version)
    , workspaces_(std::move(workspaces))
{
    std::set<std::string_view> names;
    for (std::size_t index = 0; index < workspaces_.size(); ++index) {
        const Workspace &workspace = workspaces_[index];
        validate(workspace);
        if (!names.insert(workspace.name).second) {
            throw std::invalid_argument("two workspaces are called " + workspace.name);
        }
        for (const KeyDigest &key : workspace.keys) {
            const auto [found, isNew] = byKey_.try_emplace(key, index);
            if (!isNew && found->second != index) {
                throw std::invalid_argument("workspaces " + workspaces_[found->second].name + " and " + workspace.name + " have the same key");
            }
        }
    }
}

const Workspace *WorkspaceTable::findByKey(const KeyDigest &key) const
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : &workspaces_[found->second];
}

const std::vector<Workspace> &WorkspaceTable::all() const
{
    return workspaces_;
}

std::int64_t WorkspaceTable::version() const
{
    return version_;
}

} // namespace Cloverbarrow
