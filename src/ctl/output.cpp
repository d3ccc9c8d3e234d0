/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "ctl/output.h"

#include <algorithm>
#include <cstdio>

namespace Cloverbarrow
{

namespace
{
constexpr std::size_t ColumnGap = 2;
}

Table::Table(std::vector<std::string> titles)
    : rows_{std::move(titles)}
{
}

void Table::add(std::vector<std::string> row)
{
    rows_.push_back(std::move(row));
}

std::string Table::toString() const
{
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto &row : rows_) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const auto &row : rows_) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column] + std::string(widths[column] - row[column].size() + ColumnGap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string formatFixed(double value, int digits)
{
    constexpr std::size_t Size = 64;
    char buffer[Size];
    std::snprintf(buffer, Size, "%.*f", digits, value);
    return buffer;
}

} // namespace Cloverbarrow
