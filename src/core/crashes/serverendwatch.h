/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/crashes/requestcontent.h"
#include "core/support/time.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// What a probe or an attempt has shown of whether a server lives.
enum class LifeSign {
    Answered, ///< The server itself, whatever it said.
    TurnedAway, ///< Nothing listens there, the connection was ended at once, or another server answered.
    Silent,
};

/// Finds out whether a server has ended when answers of it were lost. A lost answer alone says little: full servers reset
/// connections, answers are cut on the way, entry VMs are cut off. An ended server turns several probes away in a row, or its entry goes.
class ServerEndWatch
{
public:
    /// Probes that a server turns away in a row before it counts as ended.
    static constexpr int TurnsToEnd = 3;
    /// Between two probes; three take a quarter of a second, and a server that is full for a moment has answered one of them.
    static constexpr Duration ProbePause = milliseconds(120);
    /// Many requests probe a server at once, so several probes may be turned away in one moment.
    static constexpr Duration ShortestEnd = milliseconds(200);
    /// Up to then a server that is heard again has not ended. One that did is back after some seconds, and may have its former id.
    static constexpr Duration HeardAgainLimit = milliseconds(1500);
    /// What was on its way when the answer was lost is no news of the time after.
    static constexpr Duration Settle = milliseconds(30);
    /// The entry of a server that fell silent goes with its third missed heartbeat, 4.5 s later where they come each 1.5 s.
    static constexpr Duration EntryLimit = seconds(10);

    struct Found {
        std::vector<RequestContent> endedUnder; ///< Contents under which the server has ended, as just found out.
        bool isHeardAgain = false; ///< A server that counted as ended has not.
        bool isSuspected = false; ///< The server may have ended under a content that was not known yet.
        bool isCleared = false; ///< A server that may have ended has not.
    };

    /// How much is known of a server whose answer was lost.
    enum class Standing {
        Serving,
        Leaving, ///< Its entry goes in any case.
        Unlisted, ///< Its entry is gone already.
    };

    /// An answer of the server to a request with this content was lost.
    Found lost(TimePoint now, const std::string &server, const RequestContent &content, Standing standing = Standing::Serving);
    Found seen(TimePoint now, const std::string &server, LifeSign sign);
    /// The servers that have entries now. @param ended is called for those that have ended.
    void configured(TimePoint now, std::span<const std::string> servers, const std::function<void(const std::string &server, const Found &found)> &ended);
    /// @return servers to probe now; forgets what is over.
    std::vector<std::string> due(TimePoint now);
    /// The probe of a server that was due could not be made.
    void notProbed(const std::string &server, TimePoint now);

private:
    struct Watched {
        std::string server;
        TimePoint lostAt;
        TimePoint nextProbe;
        std::vector<RequestContent> contents;
        Standing standing = Standing::Serving;
        int turnedAway = 0;
        bool hasEnded = false;
    };

    std::vector<Watched>::iterator find(const std::string &server);

    std::vector<Watched> watched_;
};

} // namespace Cloverbarrow
