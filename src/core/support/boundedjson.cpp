/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/boundedjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace Cloverbarrow
{

namespace
{

constexpr std::string_view Spaces = " \t\r\n";
// These end a number or a literal.
constexpr std::string_view ScalarEnds = " \t\r\n,:]}[{\"";

std::string tooManyValues()
{
    return "JSON text with more than " + std::to_string(MaxJsonValues) + " values";
}

/// Reads JSON text value by value, by its brackets and quotes alone.
class JsonScanner
{
public:
    explicit JsonScanner(std::string_view text)
        : rest_(text)
    {
        skipSpaces();
    }

    bool isAtEnd() const
    {
        return rest_.empty();
    }

    /// Skips @p character and the spaces after it, if it is the next one. @return whether it is.
    bool takeIf(char character)
    {
        if (rest_.empty() || rest_.front() != character) {
            return false;
        }
        rest_.remove_prefix(1);
        skipSpaces();
        return true;
    }

    void take(char character)
    {
        if (!takeIf(character)) {
            throw std::invalid_argument(std::string("expected '") + character + "' in JSON text");
        }
    }

    /// @return the text of the next value; the spaces after it are skipped.
    std::string_view takeValue()
    {
        const std::size_t length = valueLength();
        if (length == 0) {
            throw std::invalid_argument("expected a value in JSON text");
        }
        const std::string_view value = rest_.substr(0, length);
        rest_.remove_prefix(length);
        skipSpaces();
        return value;
    }

private:
    void skipSpaces()
    {
        rest_.remove_prefix(std::min(rest_.find_first_not_of(Spaces), rest_.size()));
    }

    std::size_t valueLength() const
    {
        if (rest_.empty()) {
            return 0;
        }
        if (rest_.front() == '"') {
            return stringEnd(0);
        }
        return rest_.front() == '{' || rest_.front() == '[' ? containerEnd() : std::min(rest_.find_first_of(ScalarEnds), rest_.size());
    }

    /// @return position after the string that begins at @p start.
    std::size_t stringEnd(std::size_t start) const
    {
        for (std::size_t at = start + 1; at < rest_.size(); ++at) {
            if (rest_[at] == '"') {
                return at + 1;
            }
            at += rest_[at] == '\\' ? 1 : 0;
        }
        throw std::invalid_argument("a string in JSON text has no end");
    }

    std::size_t containerEnd() const
    {
        std::size_t depth = 0;
        for (std::size_t at = 0; at < rest_.size();) {
            const char character = rest_[at];
            if (character == '"') {
                at = stringEnd(at);
                continue;
            }
            depth += character == '{' || character == '[' ? 1 : 0;
            depth -= character == '}' || character == ']' ? 1 : 0;
            ++at;
            if (depth == 0) {
                return at;
            }
        }
        throw std::invalid_argument("an object or array in JSON text has no end");
    }

    std::string_view rest_;
};

/// @return which bound @p text exceeds; empty if it exceeds none.
std::string exceededBound(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t values = 1;
    bool isInString = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char character = text[at];
        if (character == '"') {
            isInString = !isInString;
        } else if (isInString) {
            at += character == '\\' ? 1 : 0;
        } else if (character == '{' || character == '[') {
            ++values;
            ++depth;
        } else if (character == '}' || character == ']') {
            depth -= depth > 0 ? 1 : 0;
        } else if (character == ',') {
            ++values;
        }
        if (depth > MaxJsonDepth) {
            return "JSON text with more than " + std::to_string(MaxJsonDepth) + " levels";
        }
        if (values > MaxJsonValues) {
            return tooManyValues();
        }
    }
    return {};
}

/// Reads the parts of an object or array up to @p end, with commas between them.
template<typename ReadPart>
void readParts(JsonScanner &scanner, char end, ReadPart readPart)
{
    std::size_t parts = 0;
    bool hasMore = !scanner.takeIf(end);
    while (hasMore) {
        if (++parts > MaxJsonValues) {
            throw std::invalid_argument(tooManyValues());
        }
        readPart();
        hasMore = scanner.takeIf(',');
        if (!hasMore) {
            scanner.take(end);
        }
    }
    if (!scanner.isAtEnd()) {
        throw std::invalid_argument("JSON text goes on after its end");
    }
}

std::string nameIn(std::string_view quoted)
{
    if (quoted.front() != '"') {
        throw std::invalid_argument("a name in JSON text is not a string");
    }
    const bool hasEscapes = quoted.find('\\') != std::string_view::npos;
    return hasEscapes ? nlohmann::json::parse(quoted).get<std::string>() : std::string(quoted.substr(1, quoted.size() - 2));
}

} // namespace

bool isWithinJsonBounds(std::string_view text)
{
    return exceededBound(text).empty();
}

nlohmann::json parseBoundedJson(std::string_view text)
{
    if (const std::string problem = exceededBound(text); !problem.empty()) {
        throw std::invalid_argument(problem);
    }
    nlohmann::json value = nlohmann::json::parse(text);
    // The library takes a NUL character for the end of the text and ignores what follows.
    if (text.find('\0') != std::string_view::npos) {
        throw std::invalid_argument("JSON text goes on after its end");
    }
    return value;
}

std::vector<JsonMember> splitJsonObject(std::string_view object)
{
    std::vector<JsonMember> members;
    JsonScanner scanner(object);
    scanner.take('{');
    readParts(scanner, '}', [&] {
        const std::string_view name = scanner.takeValue();
        scanner.take(':');
        const std::string_view value = scanner.takeValue();
        members.push_back({nameIn(name), value});
    });
    return members;
}

std::vector<std::string_view> splitJsonArray(std::string_view array)
{
    std::vector<std::string_view> elements;
    JsonScanner scanner(array);
    scanner.take('[');
    readParts(scanner, ']', [&] { elements.push_back(scanner.takeValue()); });
    return elements;
}

std::string_view memberNamed(std::span<const JsonMember> members, std::string_view name)
{
    if (const auto *value = findMember(members, name)) {
        return *value;
    }
    throw std::invalid_argument("JSON object without member '" + std::string(name) + "'");
}

const std::string_view *findMember(std::span<const JsonMember> members, std::string_view name)
{
    const auto found = std::find_if(members.rbegin(), members.rend(), [name](const JsonMember &member) { return member.name == name; });
    return found == members.rend() ? nullptr : &found->value;
}

} // namespace Cloverbarrow
