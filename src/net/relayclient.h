/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/directoryclient.h"
#include "net/httpclient.h"
#include "net/log.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// Asks the relay of the availability zone for what the directory holds. Each function calls its callback once, from
/// another thread.
class RelayClient
{
public:
    /// @param codec decodes the objects, which a relay tells unread.
    RelayClient(HttpClient &client, const DirectoryClient &codec);

    void list(const ListDirectory &action, DirectoryDone done);
    void watch(const WatchDirectory &action, DirectoryDone done);
    void check(const CheckRelay &action, DirectoryDone done);
    void compare(const CompareRelay &action, DirectoryDone done);
    /// Gives another entry VM reports on request limits. @param done is called with its own; with nothing when it has not answered.
    void exchange(const LimitExchange::Message &message, std::function<void(std::optional<LimitUpdate>)> done);
    /// Tells another entry VM crash news. Such as get lost are told again, and the store is told what they say as well.
    void tell(const std::string &address, const CrashNewsMessage &message);

private:
    void post(const std::string &address, std::string_view target, std::string body, HttpDone done);
    void get(const std::string &relay, const std::string &target, Duration timeout, HttpDone done);
    /// @return the news; nothing when the answer is none, with the reason.
    std::optional<DirectoryNews> read(Collection collection, const HttpOutcome &outcome, std::string &failure) const;

    HttpClient &client_;
    const DirectoryClient &codec_;
    Log log_;
    std::atomic<HttpCallId> nextCall_;
};

} // namespace Cloverbarrow
