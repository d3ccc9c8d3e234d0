/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/httpmessage.h"

#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// Reads the head of an answer line by line, after any interim answers, and rejects what is not an answer in HTTP/1.x (RFC 9112). libcurl accepts more.
class AnswerHeadReader
{
public:
    enum class Progress {
        Incomplete, ///< Further lines of the head follow.
        Interim, ///< The head of an interim answer is complete, and another head follows.
        Complete, ///< The head of the final answer is complete.
        Malformed, ///< There is no answer; fault() says why.
    };

    /// @param line without its line end. Not to be called once the head is complete or malformed.
    Progress readLine(std::string_view line);
    /// @return whether the head of the final answer is complete.
    bool isComplete() const;
    /// @return why the head is malformed; empty if it is not.
    const std::string &fault() const;
    /// @return the status, reason and headers read so far.
    const HttpAnswer &answer() const;
    /// @return the status, reason and headers, which are moved.
    HttpAnswer takeAnswer();

private:
    Progress readStatusLine(std::string_view line);
    Progress readHeaderLine(std::string_view line);
    Progress endHead();
    /// @return why the length of the body is malformed; empty if it is not.
    std::string framingFault() const;
    Progress reject(std::string fault);

    HttpAnswer answer_;
    std::string fault_;
    bool isWithinHead_ = false; ///< The status line has been read, and the end of the head has not.
    bool isComplete_ = false;
};

} // namespace Cloverbarrow
