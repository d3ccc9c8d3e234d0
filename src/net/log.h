/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace Cloverbarrow
{

/// One named value of a log line.
struct LogField {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double> value;
};

using LogFields = std::initializer_list<LogField>;

class LogBudget;

/// Logs for one part of the program: a JSON object a line, with the time, the entry VM, the part and a short sentence.
/// Each part has a bound on its lines a second; what is left out is counted and the count logged.
class Log
{
public:
    explicit Log(std::string_view part);

    void debug(std::string_view message, LogFields fields = {}) const;
    void info(std::string_view message, LogFields fields = {}) const;
    void warn(std::string_view message, LogFields fields = {}) const;
    void error(std::string_view message, LogFields fields = {}) const;

private:
    std::string part_;
    std::shared_ptr<LogBudget> budget_;
};

/// Begins logging to standard output. Before that, lines are dropped. A reader that does not keep up loses lines; the program
/// never waits for it.
/// @param name of the entry VM. @param level debug, info, warn, error or off.
void startLogging(const std::string &name, const std::string &level);
void setLogLevel(const std::string &level);
/// Hands lines that wait to standard output, as far as it takes them without waiting. Call several times a second.
void flushLog();

} // namespace Cloverbarrow
