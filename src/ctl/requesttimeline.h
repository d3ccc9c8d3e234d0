/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Cloverbarrow
{

/// Reconstructs the timeline of one request from the logs of any number of entry VMs.
class RequestTimeline
{
public:
    explicit RequestTimeline(std::string requestId);

    /// Adds a log line as written by the daemon, optionally with a prefix before the JSON object. Ignores other lines.
    void add(std::string_view line);
    /// @return the lines of the request in order of time. The first line of each entry VM is preceded by that entry VM's latest
    /// state changes; a note follows if the final answer is missing. Empty if no line contains the request's id.
    std::vector<std::string> toLines() const;

private:
    struct Line {
        std::string time;
        std::string entryVm;
        std::string text;
        std::string message;
        std::string detail;
        std::size_t sequenceNumber = 0;
    };

    struct StateLog {
        std::vector<Line> lines; ///< Lines of parts other than "request", and notes of dropped lines.
    };

    /// @return the zones that are evacuated after these lines, with the time of each evacuation.
    static std::map<std::string, std::string> evacuatedZones(const std::vector<Line> &before);

    std::string requestId_;
    std::size_t lineCount_ = 0;
    std::vector<Line> requestLines_;
    std::map<std::string, StateLog> stateLogs_; ///< Keyed by entry VM.
    bool hasFinalAnswer_ = false;
};

} // namespace Cloverbarrow
