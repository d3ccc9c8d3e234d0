/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/httpmessage.h"
#include "net/wire.h"
#include "process.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cloverbarrow::Tests
{

/// Processes on loopback addresses: the stand-ins for the platform and the backend servers, and entry VMs.
class Fleet
{
public:
    explicit Fleet(int backends = 2);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Adds settings to the limits of entry VMs that are started later. @param limits as in the settings file, e.g. "memory_mb: 64".
    void setLimits(const std::string &limits);
    /// Starts an entry VM. @param noticeMs how long it continues to accept requests after SIGTERM.
    void startEntryVm(const std::string &name, const std::string &zone = "bog-a", int noticeMs = 50);
    Process &entryVm(const std::string &name);
    /// @return file with the error output of an entry VM.
    std::string errorPath(const std::string &name) const;
    /// Kills an entry VM's process with SIGKILL.
    void killEntryVm(const std::string &name);
    /// @param listener callers, peers, admin or operations.
    std::string address(const std::string &entryVm, const std::string &listener) const;
    std::string backendAddress(int number) const;
    std::string platformAddress() const;

    /// @return a configuration with all backend servers. @param extra lines that are appended to the service.
    std::string document(const std::string &extra = {}) const;
    /// Applies a configuration through an entry VM. @param expected version that it replaces. @return the new version.
    std::int64_t apply(const std::string &entryVm, const std::string &document, std::int64_t expected);
    /// Starts the entry VMs @p names, applies document() and waits until all are ready.
    void startAll(const std::vector<std::string> &names, const std::string &extra = {});
    Wire::Status status(const std::string &entryVm);
    bool isReady(const std::string &entryVm);
    std::string payoutState(const std::string &entryVm, const std::string &key);

    /// @param what objects, calls, or the delayed calls of the platform stand-in. @return them as JSON; empty if it does not answer.
    std::string platformState(const std::string &what);
    /// Sets the faults of the platform stand-in.
    void setPlatformFaults(const std::string &json);
    /// Sets how a backend server behaves.
    void setBehaviour(int backend, const std::string &json);
    /// @return how often @p text occurs in the request logs of the backend servers.
    int logMatchCount(const std::string &text);
    /// @return how many probes the backend servers have received.
    int probeCount();

    /// Sends one request on a new connection. @return the answer; nothing without a complete one.
    std::optional<HttpAnswer> send(const std::string &address, HttpRequest request, int timeoutMs = 10'000);
    std::optional<HttpAnswer> get(const std::string &entryVm, const std::string &target, Headers headers = {});
    std::optional<HttpAnswer> pay(const std::string &entryVm, const std::string &key, const std::string &body = "monto=1", int timeoutMs = 10'000);

private:
    std::string folder_;
    std::string limits_;
    std::unique_ptr<Process> platform_;
    std::vector<std::unique_ptr<Process>> backends_;
    std::map<std::string, std::unique_ptr<Process>> entryVms_;
    std::map<std::string, std::string> listenAddresses_; ///< First output line of each entry VM: its listen addresses as JSON.
};

/// Polls @p isTrue until it returns true or the timeout has passed; exceptions count as false. @return whether it became true.
bool eventually(const std::function<bool()> &isTrue, int timeoutMs = 40'000);

} // namespace Cloverbarrow::Tests
