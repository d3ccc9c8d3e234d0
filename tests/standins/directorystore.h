/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/callerserver.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Cloverbarrow::Standins
{

/// Stand-in for the platform's object store: paged lists, watches, history that can be discarded, outages.
class DirectoryStore
{
public:
    DirectoryStore();
    ~DirectoryStore();

    std::string address() const;
    void put(const std::string &kind, const std::string &name, const nlohmann::json &specification);
    /// Writes an object as a faulty writer does. @param specification JSON text, which is neither checked nor parsed.
    void putText(const std::string &kind, const std::string &name, const std::string &specification);
    void remove(const std::string &kind, const std::string &name);
    /// Watches since an earlier revision are answered with 410 from now on.
    void discardHistory();
    /// While busy, the store answers each call with 503.
    void setBusy(bool isBusy);
    /// @return number of calls received.
    int callCount() const;
    /// @return the object's specification; null when there is none.
    nlohmann::json specification(const std::string &kind, const std::string &name) const;

private:
    struct Change {
        std::string kind;
        std::int64_t revision = 0;
        nlohmann::json event;
    };

    struct PendingWatch {
        std::shared_ptr<CallerConnection> connection;
        std::string kind;
        std::int64_t since = 0;
    };

    void accept(const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request);
    HttpAnswer handleObjectCall(const HttpRequest &request, const std::string &kind, const std::string &name);
    HttpAnswer jsonAnswer(const nlohmann::json &body, int status = 200) const;
    HttpAnswer listPage(const std::string &kind, const std::string &after) const;
    /// @return the answer to a watch; nothing while there are no changes.
    std::optional<HttpAnswer> changesSince(const std::string &kind, std::int64_t since) const;
    void answerPendingWatches();

    mutable std::mutex mutex_;
    std::int64_t revision_ = 0;
    std::int64_t oldestRevision_ = 0; ///< Oldest revision since which the history is complete.
    std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
    std::vector<Change> changes_;
    std::map<std::string, std::string> texts_; ///< Unparsed specifications by the strings that stand for them in objects.
    std::vector<PendingWatch> pendingWatches_;
    bool isBusy_ = false;
    int callCount_ = 0;
    std::unique_ptr<CallerServer> server_;
};

} // namespace Cloverbarrow::Standins
