/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/boundedjson.h"
#include "decoders.h"
#include "net/crashjson.h"
#include "net/relaymessages.h"
#include "storelists.h"
#include "storeobject.h"

#include <nlohmann/json.hpp>

#include <array>
#include <optional>
#include <set>
#include <vector>

namespace Cloverbarrow::Tests
{

namespace
{

using Json = nlohmann::json;

bool isSameValue(const std::optional<DirectoryValue> &left, const std::optional<DirectoryValue> &right)
{
    const auto *leftPlan = left ? std::get_if<RoutingPlan>(&*left) : nullptr;
    const auto *rightPlan = right ? std::get_if<RoutingPlan>(&*right) : nullptr;
    if (!leftPlan || !rightPlan || !leftPlan->workspaces || !rightPlan->workspaces) {
        return left == right;
    }
    // Workspaces are shared by reference.
    RoutingPlan plan = *rightPlan;
    plan.workspaces = leftPlan->workspaces;
    return *leftPlan == plan && leftPlan->workspaces->all() == rightPlan->workspaces->all();
}

/// Requires that followers read from a relay what the relay has read from the store.
void requireForwardable(Collection collection, const std::vector<DirectoryEntry> &entries)
{
    const CollectionUpdate received = decodeCollectionUpdate(encodeCollectionUpdate({1, 1, entries}));
    require(received.entries.size() == entries.size(), "a relay forwards all entries");
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const DirectoryEntry &entry = entries[index];
        const DirectoryEntry &forwarded = received.entries[index];
        require(forwarded.name == entry.name && forwarded.revision == entry.revision && forwarded.isDeleted == entry.isDeleted,
                "entries are forwarded unchanged");
        if (entry.isDeleted) {
            continue;
        }
        require(collection != Collection::Routing || entry.fault.empty()
                    || entry.text == Json{{"metadata", {{"name", entry.name}, {"revision", entry.revision}}}}.dump(),
                "of an invalid configuration no keys are forwarded");
        const DirectoryEntry read = Platform::readObject(collection, forwarded.text, false);
        require(read.name == entry.name && read.revision == entry.revision, "followers read name and revision as the relay does");
        require(read.fault.empty() == entry.fault.empty() && isSameValue(read.value, entry.value), "followers read the value as the relay does");
    }
}

template<Collection Kind>
void decodeList(std::string_view text)
{
    std::vector<DirectoryEntry> entries;
    try {
        entries = Platform::readListPage(Kind, text, [](const std::exception &) {}).entries;
    } catch (const std::exception &) {
        return;
    }
    requireForwardable(Kind, entries);
}

template<Collection Kind>
void decodeChanges(std::string_view text)
{
    std::vector<DirectoryEntry> entries;
    try {
        entries = Platform::readChanges(Kind, text, [](const std::exception &) {}).entries;
    } catch (const std::exception &) {
        return;
    }
    requireForwardable(Kind, entries);
}

template<Collection Kind>
void decodeObject(std::string_view text)
{
    std::vector<DirectoryEntry> entries;
    try {
        entries.push_back(Platform::readObject(Kind, text, false));
    } catch (const std::exception &) {
        return;
    }
    requireForwardable(Kind, entries);
}

/// Splits JSON text like the answers, and compares the parts with those that the parser of the library finds.
void split(std::string_view text)
{
    Json parsed;
    try {
        parsed = parseBoundedJson(text);
    } catch (const std::exception &) {
        // Numbers out of range are split as well, and may be valid.
        try {
            splitJsonObject(text);
        } catch (const std::exception &) {
        }
        try {
            splitJsonArray(text);
        } catch (const std::exception &) {
        }
        return;
    }
    if (parsed.is_object()) {
        const auto members = splitJsonObject(text);
        std::set<std::string> names;
        for (const JsonMember &member : members) {
            names.insert(member.name);
            require(parsed.contains(member.name) && Json::parse(memberNamed(members, member.name)) == parsed.at(member.name), "members are split as parsed");
        }
        require(names.size() == parsed.size(), "all members are found");
    }
    if (parsed.is_array()) {
        const auto elements = splitJsonArray(text);
        require(elements.size() == parsed.size(), "all elements are found");
        for (std::size_t index = 0; index < elements.size(); ++index) {
            require(Json::parse(elements[index]) == parsed[index], "elements are split as parsed");
        }
    }
}

} // namespace

void decodeStoreAnswer(std::string_view input)
{
    using enum Collection;
    constexpr std::array Decoders = {&decodeObject<Routing>,
                                     &decodeObject<Servers>,
                                     &decodeObject<Crashes>,
                                     &decodeObject<Evacuations>,
                                     &decodeObject<Rollouts>,
                                     &decodeList<Routing>,
                                     &decodeList<Servers>,
                                     &decodeList<Crashes>,
                                     &decodeList<Evacuations>,
                                     &decodeList<Rollouts>,
                                     &decodeChanges<Routing>,
                                     &decodeChanges<Servers>,
                                     &decodeChanges<Crashes>,
                                     &decodeChanges<Evacuations>,
                                     &decodeChanges<Rollouts>,
                                     &split};
    decodeWith(Decoders, input);
}

} // namespace Cloverbarrow::Tests
