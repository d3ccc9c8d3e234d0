/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/textdiff.h"

#include <algorithm>
#include <vector>

namespace Cloverbarrow
{

namespace
{

using Lines = std::vector<std::string_view>;

// An exact diff of more differing lines takes too much time and memory, so all of them are shown as removed and added.
constexpr std::size_t MaxExactDiffLines = 2000;

Lines splitLines(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return lines;
}

void add(std::string &diff, char sign, std::string_view line)
{
    diff += sign;
    diff += line;
    diff += '\n';
}

/// @return lengths of the longest common subsequences of all pairs of suffixes.
std::vector<std::vector<int>> commonSubsequenceLengths(const Lines &before, const Lines &after)
{
    std::vector<std::vector<int>> lengths(before.size() + 1, std::vector<int>(after.size() + 1, 0));
    for (std::size_t row = before.size(); row-- > 0;) {
        for (std::size_t column = after.size(); column-- > 0;) {
            const bool isSame = before[row] == after[column];
            lengths[row][column] = isSame ? lengths[row + 1][column + 1] + 1 : std::max(lengths[row + 1][column], lengths[row][column + 1]);
        }
    }
    return lengths;
}

std::string exactDiff(const Lines &before, const Lines &after)
{
    const auto lengths = commonSubsequenceLengths(before, after);
    std::string diff;
    std::size_t row = 0;
    std::size_t column = 0;
    while (row < before.size() || column < after.size()) {
        if (row < before.size() && column < after.size() && before[row] == after[column]) {
            ++row;
            ++column;
        } else if (column == after.size() || (row < before.size() && lengths[row + 1][column] >= lengths[row][column + 1])) {
            add(diff, '-', before[row++]);
        } else {
            add(diff, '+', after[column++]);
        }
    }
    return diff;
}

std::string wholeDiff(const Lines &before, const Lines &after)
{
    std::string diff;
    for (const std::string_view line : before) {
        add(diff, '-', line);
    }
    for (const std::string_view line : after) {
        add(diff, '+', line);
    }
    return diff;
}

} // namespace

std::string diffLines(std::string_view before, std::string_view after)
{
    Lines oldLines = splitLines(before);
    Lines newLines = splitLines(after);
    const auto [oldEnd, newEnd] = std::mismatch(oldLines.begin(), oldLines.end(), newLines.begin(), newLines.end());
    oldLines.erase(oldLines.begin(), oldEnd);
    newLines.erase(newLines.begin(), newEnd);
    while (!oldLines.empty() && !newLines.empty() && oldLines.back() == newLines.back()) {
        oldLines.pop_back();
        newLines.pop_back();
    }
    return std::max(oldLines.size(), newLines.size()) > MaxExactDiffLines ? wholeDiff(oldLines, newLines) : exactDiff(oldLines, newLines);
}

} // namespace Cloverbarrow
