/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/support/random.h"
#include "soaksite.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <string>
#include <vector>

namespace Cloverbarrow::Soak
{

/// Draws faults from a seed and brings them about, several at a time; each ends by itself.
class FaultSchedule
{
public:
    FaultSchedule(SoakSite &site, std::uint64_t seed);

    /// Brings about the next fault or ends one that is due. @return when to call again.
    std::chrono::milliseconds step();
    /// Ends all faults and waits for processes that are stopping.
    void endAll();

    /// @return what was done, with the time since the start.
    const std::vector<std::string> &journal() const;
    /// @return exit codes other than 0 of processes that were asked to stop.
    const std::vector<std::string> &badExits() const;

private:
    using Clock = std::chrono::steady_clock;

    void drawFault();
    void drawSignal();
    void drawStoreFault();
    void drawServerFault();
    void drawChange();
    /// Draws from a stream of its own, so that seeds from before these faults still bring about what they did.
    void drawLaterFault();
    void drawCrash();
    void drawPlaceFault();
    void drawLimit();
    void note(const std::string &what);
    /// Carries out @p end after a random time.
    void endLater(std::function<void()> end);
    void endLater(Random &random, std::function<void()> end);
    void harmLink(FaultProxy &link, const std::string &name);
    std::size_t anyEntryVm();
    std::size_t anyBackend();

    SoakSite &site_;
    Random random_;
    Random laterRandom_;
    Random crashRandom_;
    Random placeRandom_;
    Random limitRandom_;
    Clock::time_point start_ = Clock::now();
    bool isEvacuated_ = false; ///< Some availability zone is.
    std::multimap<Clock::time_point, std::function<void()>> ends_;
    std::vector<std::future<int>> stopping_;
    std::vector<std::string> journal_;
    std::vector<std::string> badExits_;
};

} // namespace Cloverbarrow::Soak
