/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/answerhead.h"

#include "core/support/httpstatus.h"
#include "core/support/text.h"
#include "net/headersyntax.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Cloverbarrow
{

namespace
{

constexpr std::string_view VersionPrefix = "HTTP/1.";
constexpr std::string_view VersionExample = "HTTP/1.1";
constexpr std::size_t StatusDigits = 3;
constexpr std::size_t MaxQuotedLength = 40;

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

/// @return the status in a status line; nothing if the line is malformed.
std::optional<int> statusIn(std::string_view line)
{
    constexpr std::size_t StatusStart = VersionExample.size() + 1;
    constexpr std::size_t StatusEnd = StatusStart + StatusDigits;
    if (!line.starts_with(VersionPrefix) || line.size() < StatusEnd || !isDigit(line[VersionPrefix.size()]) || line[VersionExample.size()] != ' ') {
        return std::nullopt;
    }
    if (line.size() > StatusEnd && line[StatusEnd] != ' ') {
        return std::nullopt;
    }
    constexpr int HighestStatus = 999;
    return parseNumber(line.substr(StatusStart, StatusDigits), HighestStatus);
}

bool isInterim(int status)
{
    return status >= HttpStatus::Continue && status < HttpStatus::Ok;
}

bool isFinal(int status)
{
    return status >= HttpStatus::Ok && status <= HttpStatus::Highest;
}

/// @return the beginning of @p line with replacements for what cannot be printed.
std::string quoted(std::string_view line)
{
    std::string text(line.substr(0, MaxQuotedLength));
    std::replace_if(
        text.begin(), text.end(), [](char character) { return character < ' ' || character == 0x7f; }, '?');
    return "'" + text + "'";
}

} // namespace

AnswerHeadReader::Progress AnswerHeadReader::readLine(std::string_view line)
{
    if (line.empty()) {
        return endHead();
    }
    // Also within a head: the lines after it may be those of another answer.
    return line.starts_with("HTTP/") ? readStatusLine(line) : readHeaderLine(line);
}

AnswerHeadReader::Progress AnswerHeadReader::readStatusLine(std::string_view line)
{
    if (isWithinHead_) {
        return reject("a status line within the head");
    }
    const auto status = statusIn(line);
    if (!status) {
        return reject("malformed status line " + quoted(line));
    }
    // No request asks for another protocol, and after its acceptance no answer follows.
    if (*status == HttpStatus::SwitchingProtocols || !(isInterim(*status) || isFinal(*status))) {
        return reject("status " + std::to_string(*status));
    }
    answer_ = {};
    answer_.status = *status;
    const std::size_t reason = VersionExample.size() + 1 + StatusDigits + 1;
    answer_.reason = line.size() > reason ? std::string(line.substr(reason)) : std::string();
    if (!isHeaderValue(answer_.reason)) {
        return reject("malformed status line " + quoted(line));
    }
    isWithinHead_ = true;
    return Progress::Incomplete;
}

AnswerHeadReader::Progress AnswerHeadReader::readHeaderLine(std::string_view line)
{
    if (!isWithinHead_) {
        return reject("no status line, but " + quoted(line));
    }
    const std::size_t colon = line.find(':');
    // A blank before the colon, or at the start of a folded line, would change where a caller takes the body to begin or end.
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
        return reject("malformed header line " + quoted(line));
    }
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!isHeaderValue(value)) {
        return reject("control characters in header " + quoted(line));
    }
    answer_.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
    return Progress::Incomplete;
}

AnswerHeadReader::Progress AnswerHeadReader::endHead()
{
    if (!isWithinHead_) {
        return reject("no status line");
    }
    isWithinHead_ = false;
    if (isInterim(answer_.status)) {
        return Progress::Interim;
    }
    if (std::string fault = framingFault(); !fault.empty()) {
        return reject(std::move(fault));
    }
    isComplete_ = true;
    return Progress::Complete;
}

std::string AnswerHeadReader::framingFault() const
{
    std::optional<std::size_t> length;
    std::size_t encodings = 0;
    for (const Header &header : answer_.headers) {
        if (isSameName(header.name, "content-length")) {
            const auto found = contentLength(header.value);
            // Equal lengths, one for each of several servers on the way, leave no doubt.
            if (!found || (length && *length != *found)) {
                return "malformed length of the body " + quoted(header.value);
            }
            length = found;
        } else if (isSameName(header.name, "transfer-encoding")) {
            if (++encodings > 1 || lowered(header.value) != "chunked") {
                return "unknown transfer encoding " + quoted(header.value);
            }
        }
    }
    return length && encodings > 0 ? "both a length and a transfer encoding" : std::string();
}

AnswerHeadReader::Progress AnswerHeadReader::reject(std::string fault)
{
    fault_ = std::move(fault);
    return Progress::Malformed;
}

bool AnswerHeadReader::isComplete() const
{
    return isComplete_;
}

const std::string &AnswerHeadReader::fault() const
{
    return fault_;
}

const HttpAnswer &AnswerHeadReader::answer() const
{
    return answer_;
}

HttpAnswer AnswerHeadReader::takeAnswer()
{
    return std::move(answer_);
}

} // namespace Cloverbarrow
