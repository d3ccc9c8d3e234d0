/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <string>
#include <vector>

namespace Cloverbarrow
{

/// A text table with aligned columns.
class Table
{
public:
    explicit Table(std::vector<std::string> titles);

    void add(std::vector<std::string> row);
    std::string toString() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// @return @p value in decimal notation with @p digits after the decimal point.
std::string formatFixed(double value, int digits);

} // namespace Cloverbarrow
