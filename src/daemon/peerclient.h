/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/controlevents.h"
#include "daemon/eventhandler.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

/// Calls other entry VMs on a few worker threads and passes their answers to the core.
class PeerClient
{
public:
    using Task = std::variant<SendHeartbeat, RequestIndirectContact, FetchIntent>;

    explicit PeerClient(EventHandler &events);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    void add(Task task);
    void stop();

private:
    void run();
    void perform(const SendHeartbeat &task);
    void perform(const RequestIndirectContact &task);
    void perform(const FetchIntent &task);

    EventHandler &events_;
    std::mutex mutex_;
    std::condition_variable tasksChanged_;
    std::deque<Task> tasks_;
    bool isStopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace Cloverbarrow
