/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/log.h"

#include "net/bootclock.h"
#include "net/logratelimiter.h"
#include "net/logsink.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace Cloverbarrow
{

namespace
{

// An entry VM handles about 10 requests a second with about four lines each; the limit is ten times that.
constexpr double LinesPerSecond = 400;
constexpr double LineBurst = 1000;
// Capacity for lines that a slow reader has not read yet; more than one second of lines at the maximum rate.
constexpr std::size_t BufferBytes = 256 * 1024;

std::string entryVm;

std::string nowText()
{
    const auto now = std::chrono::system_clock::now();
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    const std::time_t wholeSeconds = std::chrono::system_clock::to_time_t(now);
    std::tm parts{};
    ::gmtime_r(&wholeSeconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    constexpr int ThousandMs = 1000;
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(sinceEpoch.count() % ThousandMs));
    return std::string(text.data()) + fraction.data();
}

void write(spdlog::level::level_enum level, std::string_view part, std::string_view message, LogFields fields)
{
    nlohmann::ordered_json line = {
        {"time", nowText()}, {"level", spdlog::level::to_string_view(level).data()}, {"entry_vm", entryVm}, {"part", part}, {"message", message}};
    for (const LogField &field : fields) {
        std::visit([&line, &field](const auto &value) { line[std::string(field.name)] = value; }, field.value);
    }
    spdlog::log(level, "{}", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void writeLimited(LogRateLimiter &budget, spdlog::level::level_enum level, std::string_view part, std::string_view message, LogFields fields)
{
    if (!spdlog::should_log(level) || !budget.take(bootNow())) {
        return;
    }
    if (const auto droppedCount = budget.takeDroppedCount(); droppedCount > 0) {
        write(spdlog::level::warn, part, "lines left out", {{"count", static_cast<std::int64_t>(droppedCount)}});
    }
    write(level, part, message, fields);
}

} // namespace

Log::Log(std::string_view part)
    : part_(part)
    , rateLimiter_(std::make_shared<LogRateLimiter>(LinesPerSecond, LineBurst))
{
}

void Log::debug(std::string_view message, LogFields fields) const
{
    writeLimited(*rateLimiter_, spdlog::level::debug, part_, message, fields);
}

void Log::info(std::string_view message, LogFields fields) const
{
    writeLimited(*rateLimiter_, spdlog::level::info, part_, message, fields);
}

void Log::warn(std::string_view message, LogFields fields) const
{
    writeLimited(*rateLimiter_, spdlog::level::warn, part_, message, fields);
}

void Log::error(std::string_view message, LogFields fields) const
{
    writeLimited(*rateLimiter_, spdlog::level::err, part_, message, fields);
}

void startLogging(const std::string &name, const std::string &level)
{
    entryVm = name;
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("cloverbarrowd", std::make_shared<LogSink>(STDOUT_FILENO, BufferBytes)));
    setLogLevel(level);
}

void setLogLevel(const std::string &level)
{
    spdlog::set_level(spdlog::level::from_str(level));
}

void flushLog()
{
    spdlog::default_logger_raw()->flush();
}

} // namespace Cloverbarrow
