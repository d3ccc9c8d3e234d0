/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "directorystore.h"
#include "faultproxy.h"
#include "net/httpclient.h"
#include "process.h"
#include "registeredbackend.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Cloverbarrow::Tests
{

/// Entry VMs of one availability zone, of which one is the relay, a backend server in each of two zones, and a caller for each entry VM that sends all the
/// time.
class LoadedZones
{
public:
    explicit LoadedZones(int entryVms = 2);
    ~LoadedZones();

    void startLoad();
    void stopLoad();
    /// Resets all connections to the store, and new ones for half a second.
    void resetStoreConnections();
    /// Resets all present and future connections of the last entry VM to the store.
    void disconnectLastFromStore();
    std::size_t localExecutions() const;
    std::size_t remoteExecutions() const;
    Standins::RegisteredBackend &localBackend();
    Standins::RegisteredBackend &remoteBackend();
    bool areAllServed() const;
    std::size_t served() const;
    /// @return number of requests that were not answered with status 200.
    std::size_t failed() const;

    Standins::DirectoryStore store;

private:
    void registerBackend(const std::string &zone, const Standins::RegisteredBackend &backend, const std::string &id);
    void startEntryVm(const std::string &name);
    void sendRequests(const std::string &address);
    int statusOf(HttpClient &client, const std::string &address, const std::string &method, const std::string &target, const std::string &id);

    static std::string makeFolder();

    std::string folder_ = makeFolder();
    Standins::RegisteredBackend localBackend_{"i-1"};
    Standins::RegisteredBackend remoteBackend_{"i-2"};
    std::vector<std::unique_ptr<Standins::FaultProxy>> storeLinks_;
    std::vector<std::unique_ptr<Process>> entryVms_;
    std::vector<std::string> callerAddresses_;
    std::atomic<HttpCallId> calls_{0};
    std::atomic<bool> isStopping_{false};
    std::atomic<std::size_t> served_{0};
    std::atomic<std::size_t> failed_{0};
    std::vector<std::thread> threads_;
};

} // namespace Cloverbarrow::Tests
