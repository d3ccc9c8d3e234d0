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

/// A few real processes on loopback addresses: the platform stand-in, backend servers and entry VMs.
class Fleet
{
public:
    explicit Fleet(int backends = 2);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Starts an entry VM. @param noticeMs how long it serves on after a stop was asked for.
    void startEntryVm(const std::string &name, const std::string &zone = "bog-a", int noticeMs = 50);
    Process &entryVm(const std::string &name);
    /// Ends an entry VM's process without warning.
    void killEntryVm(const std::string &name);
    /// @param which callers, peers, admin or operations.
    std::string address(const std::string &entryVm, const std::string &which) const;
    std::string backendAddress(int number) const;
    std::string platformAddress() const;

    /// @return a configuration of all backend servers; @p extra lines are added to the service.
    std::string document(const std::string &extra = {}) const;
    /// Applies a configuration through an entry VM. @return its version.
    std::int64_t apply(const std::string &entryVm, const std::string &document, std::int64_t expected);
    /// Starts @p names, applies document() and waits until all are ready.
    void startAll(const std::vector<std::string> &names, const std::string &extra = {});
    Wire::Status status(const std::string &entryVm);
    bool isReady(const std::string &entryVm);
    std::string payoutState(const std::string &entryVm, const std::string &key);

    void faults(const std::string &json);
    void behave(int backend, const std::string &json);
    /// @return lines of the backend servers' logs that hold @p text.
    int runs(const std::string &text);
    int probes();

    /// Sends one request on a connection of its own. Nothing when no whole answer comes.
    std::optional<HttpAnswer> send(const std::string &address, HttpRequest request, int timeoutMs = 10'000);
    std::optional<HttpAnswer> get(const std::string &entryVm, const std::string &target, Headers headers = {});
    std::optional<HttpAnswer> pay(const std::string &entryVm, const std::string &key, const std::string &body = "monto=1", int timeoutMs = 10'000);

private:
    std::string folder_;
    std::unique_ptr<Process> platform_;
    std::vector<std::unique_ptr<Process>> backends_;
    std::map<std::string, std::unique_ptr<Process>> entryVms_;
    std::map<std::string, std::string> listening_; ///< First line of each entry VM.
};

/// Looks until @p isTrue or a long time has passed. @return whether it became true.
bool eventually(const std::function<bool()> &isTrue, int timeoutMs = 40'000);

} // namespace Cloverbarrow::Tests
