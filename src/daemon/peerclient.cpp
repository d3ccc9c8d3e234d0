/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/peerclient.h"

#include "net/thriftclient.h"

namespace Cloverbarrow
{

namespace
{

constexpr std::size_t ThreadCount = 4;
constexpr int ConnectTimeoutMs = 500;
constexpr int CallTimeoutMs = 1000;
// Heartbeats to unresponsive peers must not pile up. Dropping one is harmless because the next one repeats its updates.
constexpr std::size_t MaxTasks = 64;

using Client = ThriftClient<Wire::PeerClient>;

} // namespace

PeerClient::PeerClient(EventHandler &events)
    : events_(events)
{
    for (std::size_t index = 0; index < ThreadCount; ++index) {
        threads_.emplace_back([this] { run(); });
    }
}

PeerClient::~PeerClient()
{
    stop();
}

void PeerClient::add(Task task)
{
    {
        const std::lock_guard lock(mutex_);
        if (tasks_.size() >= MaxTasks && std::holds_alternative<SendHeartbeat>(task)) {
            return;
        }
        tasks_.push_back(std::move(task));
    }
    tasksChanged_.notify_one();
}

void PeerClient::stop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    tasksChanged_.notify_all();
    for (std::thread &thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void PeerClient::run()
{
    while (true) {
        std::unique_lock lock(mutex_);
        tasksChanged_.wait(lock, [this] { return isStopping_ || !tasks_.empty(); });
        if (isStopping_) {
            return;
        }
        const Task task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        std::visit([this](const auto &typed) { perform(typed); }, task);
    }
}

void PeerClient::perform(const SendHeartbeat &task)
{
    try {
        Client client(task.address, ConnectTimeoutMs, CallTimeoutMs);
        Wire::Heartbeat answer;
        client->exchange(answer, toWire(task.heartbeat));
        events_.handle(ControlEvent(HeartbeatReceived{fromWire(answer)}));
    } catch (const apache::thrift::TException &) {
        events_.handle(ControlEvent(HeartbeatFailed{task.address}));
    }
}

void PeerClient::perform(const RequestIndirectContact &task)
{
    try {
        Client client(task.address, ConnectTimeoutMs, CallTimeoutMs);
        if (client->canReach(task.subject.name, task.subject.nonce, task.subjectAddress)) {
            events_.handle(ControlEvent(PeerReachedIndirectly{task.subject}));
        }
    } catch (const apache::thrift::TException &) {
        // This peer gives no answer; other peers received the same request.
    }
}

void PeerClient::perform(const FetchIntent &task)
{
    try {
        Client client(task.address, ConnectTimeoutMs, CallTimeoutMs);
        Wire::Intent answer;
        client->fetchIntent(answer);
        events_.handle(ControlEvent(IntentFetched{task.address, answer.version, answer.value}));
    } catch (const apache::thrift::TException &) {
        events_.handle(ControlEvent(IntentFetchFailed{task.address}));
    }
}

} // namespace Cloverbarrow
