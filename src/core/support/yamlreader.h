/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/time.h"

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace YAML
{
class Node;
}

namespace Cloverbarrow
{

/// One error in a YAML document.
struct DocumentFault {
    int line = 0; ///< Starts at 1.
    std::string key;
    std::string expected;

    /// @return `file:line: key: expected ...`.
    std::string toString(std::string_view file) const;
};

/// Faults that are collected of one document; those after them are not shown.
constexpr std::size_t MaxDocumentFaults = 1000;

/// Parses a document. Aliases stand for values of any size, so values that they repeat count as often as they are repeated.
/// @throws YAML::Exception if the document is not YAML, or has too many levels or values.
YAML::Node loadBoundedYaml(std::string_view document);

/// Reads one mapping strictly: unknown keys, wrong types and values out of range are faults.
/// Faults are collected, so that an operator sees all of them at once.
class YamlReader
{
public:
    YamlReader(const YAML::Node &node, std::string path, std::vector<DocumentFault> &faults);

    /// Reads text, which must not be empty if it is @p required.
    void text(const char *key, std::string &value, bool required);
    void flag(const char *key, bool &value);
    void integer(const char *key, int &value, int lowest, int highest, bool required = false);
    /// Reads a number. A key without a value counts as absent, since templates leave unknown values empty.
    void real(const char *key, double &value, double lowest, double highest);
    /// Reads a whole number of milliseconds.
    void milliseconds(const char *key, Duration &value, int lowest, int highest, bool required = false);
    void texts(const char *key, std::vector<std::string> &values, bool required);
    void integers(const char *key, std::vector<int> &values, int lowest, int highest);
    /// Calls @p read with a reader of the mapping at @p key, if it exists.
    void mapping(const char *key, const std::function<void(YamlReader &)> &read, bool required = false);
    /// Calls @p read for each mapping of the list at @p key.
    void mappings(const char *key, bool required, const std::function<void(YamlReader &)> &read);
    /// Adds a fault at @p key.
    void fault(const std::string &key, const std::string &expected);
    /// Adds a fault for each key that was not read. Must be called last.
    void finish();

private:
    YAML::Node child(const char *key, bool required);
    void addFault(DocumentFault fault);
    int line() const;
    std::string pathOf(const std::string &key) const;

    const YAML::Node &node_;
    std::string path_;
    std::vector<DocumentFault> &faults_;
    std::set<std::string> known_;
};

} // namespace Cloverbarrow
