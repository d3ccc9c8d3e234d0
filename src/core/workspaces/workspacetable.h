/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Cloverbarrow
{

/// SHA-256 digest of an API key. Keys themselves are not stored.
using KeyDigest = std::array<std::uint8_t, 32>;

/// @return whether two digests are equal, in a time that does not depend on their content.
bool isSameDigest(const KeyDigest &left, const KeyDigest &right);

/// Limit on the requests of one workspace, over all entry VMs together.
struct WorkspaceQuota {
    double perSecond = 0; ///< Requests per second on average.
    double burst = 0; ///< Requests on top of that in any window.

    bool operator==(const WorkspaceQuota &) const = default;
};

/// A customer of the services, identified by the API keys of its callers.
struct Workspace {
    std::string name;
    std::vector<KeyDigest> keys;
    std::optional<int> priority; ///< Replaces the priority of the route.
    std::optional<WorkspaceQuota> quota; ///< Empty if its requests are not limited.
    std::vector<std::string> allowedRegions; ///< Regions in which its requests may be served; empty for all.

    bool operator==(const Workspace &) const = default;
};

/// The workspaces of one configuration. Immutable, so that configurations share it.
class WorkspaceTable
{
public:
    /// @param version of the configuration, as numbered by the operators. @throws std::invalid_argument if two workspaces have the same name or key, or if a
    /// quota is not a number from 0.
    WorkspaceTable(std::int64_t version, std::vector<Workspace> workspaces);

    /// @return the workspace that holds the key, or nullptr. The time does not depend on the number of keys.
    const Workspace *findByKey(const KeyDigest &key) const;
    const std::vector<Workspace> &all() const;
    std::int64_t version() const;

private:
    struct DigestHash {
        std::size_t operator()(const KeyDigest &digest) const;
    };
    struct DigestEqual {
        bool operator()(const KeyDigest &left, const KeyDigest &right) const;
    };

    std::int64_t version_;
    std::vector<Workspace> workspaces_;
    std::unordered_map<KeyDigest, std::size_t, DigestHash, DigestEqual> byKey_; ///< Indices in workspaces_.
};

} // namespace Cloverbarrow
