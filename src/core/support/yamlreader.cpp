/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/yamlreader.h"

#include <yaml-cpp/yaml.h>

#include <utility>

namespace Cloverbarrow
{

namespace
{

// Valid documents have less than ten levels.
constexpr std::size_t MaxYamlLevels = 64;
// More than the largest document can have without aliases, at two bytes for each value.
constexpr std::size_t MaxYamlValues = 500'000;

struct LeveledNode {
    YAML::Node node;
    std::size_t level = 0;
};

/// @throws YAML::Exception if there are too many levels or values below the node.
void checkBounds(const YAML::Node &root)
{
    std::vector<LeveledNode> pending = {{root, 1}};
    std::size_t values = 1;
    const auto add = [&pending, &values](const YAML::Node &value, std::size_t level) {
        if (level > MaxYamlLevels) {
            throw YAML::Exception(value.Mark(), "more than " + std::to_string(MaxYamlLevels) + " levels");
        }
        if (++values > MaxYamlValues) {
            throw YAML::Exception(value.Mark(), "more than " + std::to_string(MaxYamlValues) + " values");
        }
        if (!value.IsScalar()) {
            pending.push_back({value, level});
        }
    };
    while (!pending.empty()) {
        const LeveledNode parent = std::move(pending.back());
        pending.pop_back();
        for (const auto &item : parent.node) {
            add(parent.node.IsMap() ? item.second : item, parent.level + 1);
        }
    }
}

template<typename T>
bool convert(const YAML::Node &node, T &value)
{
    try {
        value = node.as<T>();
        return true;
    } catch (const YAML::Exception &) {
        return false;
    }
}

std::string range(double lowest, double highest)
{
    const auto print = [](double number) {
        std::string text = std::to_string(number);
        text.erase(text.find_last_not_of('0') + 1);
        if (text.back() == '.') {
            text.pop_back();
        }
        return text;
    };
    return "from " + print(lowest) + " to " + print(highest);
}

} // namespace

std::string DocumentFault::toString(std::string_view file) const
{
    return std::string(file) + ":" + std::to_string(line) + ": " + key + ": expected " + expected;
}

YAML::Node loadBoundedYaml(std::string_view document)
{
    YAML::Node root = YAML::Load(std::string(document));
    checkBounds(root);
    return root;
}

YamlReader::YamlReader(const YAML::Node &node, std::string path, std::vector<DocumentFault> &faults)
    : node_(node)
    , path_(std::move(path))
    , faults_(faults)
{
    if (!node_.IsMap()) {
        fault("", "a mapping");
    }
}

void YamlReader::text(const char *key, std::string &value, bool required)
{
    const YAML::Node node = child(key, required);
    if (!node) {
        return;
    }
    if (!node.IsScalar() || (required && node.Scalar().empty())) {
        fault(key, "text");
        return;
    }
    value = node.Scalar();
}

void YamlReader::flag(const char *key, bool &value)
{
    if (const YAML::Node node = child(key, false); node && !convert(node, value)) {
        fault(key, "true or false");
    }
}

void YamlReader::integer(const char *key, int &value, int lowest, int highest, bool required)
{
    const YAML::Node node = child(key, required);
    if (!node) {
        return;
    }
    int read = 0;
    if (!node.IsScalar() || !convert(node, read) || read < lowest || read > highest) {
        fault(key, "a whole number " + range(lowest, highest));
        return;
    }
    value = read;
}

void YamlReader::real(const char *key, double &value, double lowest, double highest)
{
    const YAML::Node node = child(key, false);
    if (!node || node.IsNull()) {
        return;
    }
    double read = 0;
    if (!node.IsScalar() || !convert(node, read) || !(read >= lowest && read <= highest)) {
        fault(key, "a number " + range(lowest, highest));
        return;
    }
    value = read;
}

void YamlReader::milliseconds(const char *key, Duration &value, int lowest, int highest, bool required)
{
    int read = static_cast<int>(value.count() / std::chrono::microseconds(std::chrono::milliseconds(1)).count());
    integer(key, read, lowest, highest, required);
    value = std::chrono::milliseconds(read);
}

void YamlReader::texts(const char *key, std::vector<std::string> &values, bool required)
{
    const YAML::Node node = child(key, required);
    if (!node) {
        return;
    }
    if (!node.IsSequence() || (required && node.size() == 0)) {
        fault(key, "a list of texts");
        return;
    }
    values.clear();
    for (const YAML::Node &item : node) {
        if (!item.IsScalar() || item.Scalar().empty()) {
            fault(key, "a list of texts");
            return;
        }
        values.push_back(item.Scalar());
    }
}

void YamlReader::integers(const char *key, std::vector<int> &values, int lowest, int highest)
{
    const YAML::Node node = child(key, false);
    if (!node) {
        return;
    }
    values.clear();
    for (const YAML::Node &item : node) {
        int read = 0;
        if (!item.IsScalar() || !convert(item, read) || read < lowest || read > highest) {
            fault(key, "a list of whole numbers " + range(lowest, highest));
            return;
        }
        values.push_back(read);
    }
}

void YamlReader::mapping(const char *key, const std::function<void(YamlReader &)> &read, bool required)
{
    if (const YAML::Node node = child(key, required); node) {
        YamlReader reader(node, pathOf(key), faults_);
        read(reader);
        reader.finish();
    }
}

void YamlReader::mappings(const char *key, bool required, const std::function<void(YamlReader &)> &read)
{
    const YAML::Node node = child(key, required);
    if (!node) {
        return;
    }
    if (!node.IsSequence() || (required && node.size() == 0)) {
        fault(key, "a list of mappings");
        return;
    }
    for (std::size_t index = 0; index < node.size() && faults_.size() < MaxDocumentFaults; ++index) {
        const YAML::Node item = node[index];
        YamlReader reader(item, pathOf(key) + "[" + std::to_string(index) + "]", faults_);
        read(reader);
        reader.finish();
    }
}

void YamlReader::fault(const std::string &key, const std::string &expected)
{
    int at = line();
    if (node_.IsMap() && !key.empty()) {
        if (const YAML::Node node = node_[key]; node) {
            at = node.Mark().line + 1;
        }
    }
    addFault({at, pathOf(key), expected});
}

void YamlReader::finish()
{
    if (!node_.IsMap()) {
        return;
    }
    for (const auto &entry : node_) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : std::string("?");
        if (!known_.contains(key)) {
            addFault({entry.first.Mark().line + 1, pathOf(key), "no such key"});
        }
    }
}

YAML::Node YamlReader::child(const char *key, bool required)
{
    known_.insert(key);
    if (!node_.IsMap()) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    YAML::Node node = node_[key];
    if (!node && required) {
        fault(key, "a value, but it is missing");
    }
    return node;
}

void YamlReader::addFault(DocumentFault fault)
{
    if (faults_.size() < MaxDocumentFaults) {
        faults_.push_back(std::move(fault));
    }
}

int YamlReader::line() const
{
    return node_.Mark().line + 1;
}

std::string YamlReader::pathOf(const std::string &key) const
{
    if (path_.empty() || key.empty()) {
        return path_ + key;
    }
    return path_ + "." + key;
}

} // namespace Cloverbarrow
