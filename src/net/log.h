/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <spdlog/spdlog.h>

#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// Logs for one part of the program, with its fixed prefix.
class Log
{
public:
    explicit Log(std::string_view part)
        : prefix_("[" + std::string(part) + "] ")
    {
    }

    void debug(std::string_view message) const
    {
        spdlog::debug("{}{}", prefix_, message);
    }
    void info(std::string_view message) const
    {
        spdlog::info("{}{}", prefix_, message);
    }
    void warn(std::string_view message) const
    {
        spdlog::warn("{}{}", prefix_, message);
    }
    void error(std::string_view message) const
    {
        spdlog::error("{}{}", prefix_, message);
    }

private:
    std::string prefix_;
};

} // namespace Cloverbarrow
