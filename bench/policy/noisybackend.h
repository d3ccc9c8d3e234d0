/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/servers/loadreport.h"
#include "core/support/time.h"
#include "eventqueue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace Cloverbarrow::Bench
{

/// Backend servers as users measured them.
struct NoisyShape {
    int slots = 3;
    int queue = 6; ///< Requests that wait at the server; more are reset.
    double slowShare = 0.25; ///< Part of the time in which neighbours slow a server's VM down.
    double slowFactor = 5;
    Duration slowFor = milliseconds(150); ///< Slowness is drawn anew this often.
    double fullShare = 0.8; ///< With more of its slots in use a server slows down.
    double fullFactor = 1.7; ///< How much longer a request takes that begins then.
};

/// A backend server whose speed changes many times a second, by the draw of its seed alone: the same for every policy. A request
/// keeps the speed that it begins with, as users' servers were seen to do.
class NoisyBackend
{
public:
    /// @param isRun false when the server was full and reset the connection.
    using OnDone = std::function<void(bool isRun)>;

    NoisyBackend(EventQueue &events, const NoisyShape &shape, std::uint64_t seed);

    /// A request with this much work at usual speed arrives. @return its number, for cancel().
    int arrive(Duration work, OnDone done);
    void cancel(int number);
    LoadReport report() const;
    /// @return how long work takes now, as a multiple of the usual.
    double slowness() const;
    /// @return how much longer a request takes that begins now, for the other requests there.
    double sharingFactor() const;
    int held() const;

private:
    struct Item {
        int number = 0;
        Duration work{0};
        OnDone done;
    };

    double slownessIn(std::int64_t period) const;
    void startNext();
    void ended(int number);

    EventQueue &events_;
    NoisyShape shape_;
    std::uint64_t seed_;
    int last_ = 0;
    std::map<int, Item> running_;
    std::deque<Item> waiting_;
};

} // namespace Cloverbarrow::Bench
