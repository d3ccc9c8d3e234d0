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

/// One named value in a log line.
struct LogField {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double> value;
};

using LogFields = std::initializer_list<LogField>;

class LogRateLimiter;

/// Logger of one part of the program. Writes one JSON object per line, with the time, the entry VM, the part and a short message.
/// The rate of lines is limited for each part; dropped lines are counted and their number is logged.
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
    std::shared_ptr<LogRateLimiter> rateLimiter_;
};

/// Starts logging to standard output. Lines logged before are dropped. If the reader of standard output is too slow, lines are dropped
/// rather than blocking the program.
/// @param name name of the entry VM. @param level debug, info, warn, error or off.
void startLogging(const std::string &name, const std::string &level);
void setLogLevel(const std::string &level);
/// Writes buffered lines to standard output as far as that does not block. Call several times a second.
void flushLog();

} // namespace Cloverbarrow
