/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/connectionmonitor.h"

namespace Cloverbarrow
{

std::string_view nameOf(ConnectionEnd end)
{
    switch (end) {
    case ConnectionEnd::Idle:
        return "idle";
    case ConnectionEnd::Stop:
        return "stop";
    case ConnectionEnd::Requested:
        return "requested";
    case ConnectionEnd::Rejected:
        return "rejected";
    case ConnectionEnd::Memory:
        return "memory";
    case ConnectionEnd::Overflow:
        return "overflow";
    case ConnectionEnd::NoProgress:
        return "no_progress";
    case ConnectionEnd::Caller:
        return "caller";
    case ConnectionEnd::Unusable:
        break;
    }
    return "unusable";
}

ConnectionMonitor::ConnectionMonitor(std::string_view logPart)
    : log_(logPart)
{
}

void ConnectionMonitor::requestRead()
{
    const std::lock_guard lock(mutex_);
    ++counts_.read;
    ++counts_.inFlight;
}

void ConnectionMonitor::requestAnswered()
{
    const std::lock_guard lock(mutex_);
    ++counts_.answered;
    --counts_.inFlight;
}

void ConnectionMonitor::connectionEnded(ConnectionEnd end, const UnfinishedWork &unfinished, Duration sinceLastByte)
{
    {
        const std::lock_guard lock(mutex_);
        ++counts_.ends.at(static_cast<std::size_t>(end));
        counts_.inFlight -= unfinished.unanswered;
        (end == ConnectionEnd::Caller ? counts_.leftByCaller : counts_.unanswered) += unfinished.unanswered;
    }
    if (unfinished.isEmpty()) {
        log_.debug("connection ended", {{"reason", nameOf(end)}, {"last_byte_ms", toMilliseconds(sinceLastByte)}});
        return;
    }
    log_.info("connection ended unfinished",
              {{"reason", nameOf(end)},
               {"unanswered", static_cast<std::int64_t>(unfinished.unanswered)},
               {"undispatched_bytes", static_cast<std::int64_t>(unfinished.undispatchedBytes)},
               {"answer_cut", unfinished.isAnswerCut ? "yes" : "no"},
               {"last_byte_ms", toMilliseconds(sinceLastByte)}});
}

void ConnectionMonitor::inputDropped(ConnectionEnd end, bool wasAnnounced, std::size_t bytes, Duration sinceEnd)
{
    if (!wasAnnounced) {
        const std::lock_guard lock(mutex_);
        ++counts_.droppedInputs;
    }
    const LogFields fields = {{"reason", nameOf(end)}, {"bytes", static_cast<std::int64_t>(bytes)}, {"since_end_ms", toMilliseconds(sinceEnd)}};
    if (wasAnnounced) {
        log_.debug("input after an announced end dropped", fields);
    } else {
        log_.warn("input after the end of a connection dropped", fields);
    }
}

ConnectionCounts ConnectionMonitor::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

} // namespace Cloverbarrow
