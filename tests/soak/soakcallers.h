/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/httpclient.h"
#include "soaksite.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Cloverbarrow::Soak
{

/// What one caller saw of one request.
struct Observation {
    std::string id;
    bool isWrite = false;
    ProcessStart process; ///< That it was sent to.
    bool leftEarly = false; ///< The caller waited only briefly.
    HttpOutcome outcome;
};

/// What has been seen so far, from several threads.
class Observations
{
public:
    void add(Observation observation);
    std::vector<Observation> all() const;

private:
    mutable std::mutex mutex_;
    std::vector<Observation> all_;
};

/// Sends one request after another, each on a kept connection where there is one, and waits for its end.
class BlockingClient
{
public:
    HttpOutcome send(const std::string &address, HttpRequest request, Duration timeout);

private:
    HttpClient client_{1};
    HttpCallId calls_ = 0;
};

/// Callers that send reads and writes on kept connections, each from a thread of its own, until they are stopped.
class SoakCallers
{
public:
    SoakCallers(const SoakSite &site, Observations &observations, int count, std::uint64_t seed);
    ~SoakCallers();
    SoakCallers(const SoakCallers &) = delete;
    SoakCallers &operator=(const SoakCallers &) = delete;

    void stop();

private:
    void run(int number, std::uint64_t seed);

    const SoakSite &site_;
    Observations &observations_;
    std::atomic<bool> isStopping_{false};
    std::vector<std::thread> threads_;
};

/// Callers whose requests crash the servers that begin to run them, several kinds at once, each sent again and again at any entry VM.
class FatalCallers
{
public:
    static constexpr std::size_t Contents = 3;

    FatalCallers(const SoakSite &site, std::uint64_t seed);
    ~FatalCallers();
    FatalCallers(const FatalCallers &) = delete;
    FatalCallers &operator=(const FatalCallers &) = delete;

    /// Sends the request of number @p content once. Each content keeps its target and body; ids differ.
    static void send(const SoakSite &site, BlockingClient &client, std::size_t content, std::size_t entryVm);
    /// @return how often servers have run the content.
    static int runs(const SoakSite &site, std::size_t content);

private:
    const SoakSite &site_;
    std::atomic<bool> isStopping_{false};
    std::vector<std::thread> threads_;
};

/// @return a request with an id, as callers of the platform send it.
HttpRequest callerRequest(const std::string &method, const std::string &host, const std::string &target, const std::string &id);

} // namespace Cloverbarrow::Soak
