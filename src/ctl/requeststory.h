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

/// Puts the story of one request together from the logs of any number of entry VMs.
class RequestStory
{
public:
    explicit RequestStory(std::string requestId);

    /// Takes a line of a log, as the daemon wrote it or with something before its JSON object. Others are left aside.
    void add(std::string_view line);
    /// @return lines of the request in time order, each after what its entry VM believed at that time, and a word on
    /// lines that are missing. Empty when no line names the request.
    std::vector<std::string> tell() const;

private:
    struct Line {
        std::string time;
        std::string entryVm;
        std::string text;
        std::string message;
        std::string detail;
        std::size_t order = 0;
    };

    struct Beliefs {
        std::vector<Line> lines; ///< Of the parts that are not about requests.
    };

    /// @return zones that were evacuated after these lines, each with the time since when.
    static std::map<std::string, std::string> evacuatedAmong(const std::vector<Line> &before);

    std::string requestId_;
    std::size_t count_ = 0;
    std::vector<Line> own_;
    std::map<std::string, Beliefs> beliefs_; ///< By entry VM.
    bool hasFinalAnswer_ = false;
};

} // namespace Cloverbarrow
