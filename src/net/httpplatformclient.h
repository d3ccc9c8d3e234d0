/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/httpclient.h"
#include "net/platformclient.h"

#include <atomic>
#include <string>

namespace Cloverbarrow
{

/// Client of the platform's HTTP/JSON protocol.
class HttpPlatformClient : public PlatformClient
{
public:
    /// @param address `IP:port`. @param memory for its answers; may be null.
    HttpPlatformClient(std::string address, const std::shared_ptr<MemoryBudget> &memory);

    void call(StoreCall call, std::function<void(StoreResult)> done) override;
    void watch(const StoreObject &object, std::int64_t afterVersion, Duration wait, std::function<void(WatchResult)> done) override;
    void listVms(std::function<void(VmListResult)> done) override;
    /// @return number of calls made since the start.
    std::uint64_t calls() const;
    /// Fails all calls in flight.
    void stop();

private:
    void send(std::string method, std::string target, std::string body, Duration timeout, HttpCallback done);

    std::string address_;
    std::atomic<HttpCallId> nextId_{1};
    HttpClient client_;
};

} // namespace Cloverbarrow
