/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/operationsserver.h"

#include "core/support/httpstatus.h"
#include "net/callerserver.h"

#include <string_view>

namespace Cloverbarrow
{

namespace
{

// Requests have no body and a short head.
constexpr std::size_t MaxHead = 16 * 1024;
constexpr std::size_t MaxBody = 64 * 1024;
// Collectors of metrics keep their connection between two readings, which are minutes apart at most.
constexpr Duration IdleTimeout = seconds(300);

HttpAnswer textAnswer(int status, std::string text)
{
    HttpAnswer answer;
    answer.status = status;
    answer.body = std::move(text);
    return answer;
}

HttpAnswer answerTo(const HttpRequest &request, const OperationsSource &source)
{
    if (request.method != "GET") {
        return textAnswer(HttpStatus::MethodNotAllowed, "only GET is served here\n");
    }
    const std::string_view path = std::string_view(request.target).substr(0, request.target.find('?'));
    if (path == "/metrics") {
        return textAnswer(HttpStatus::Ok, source.metrics());
    }
    if (path == "/healthz") {
        return textAnswer(HttpStatus::Ok, "alive\n");
    }
    if (path == "/readyz") {
        const std::string reason = source.unreadyReason();
        return reason.empty() ? textAnswer(HttpStatus::Ok, "ready\n") : textAnswer(HttpStatus::ServiceUnavailable, "not ready: " + reason + "\n");
    }
    return textAnswer(HttpStatus::NotFound, "known are /metrics, /healthz and /readyz\n");
}

CallerServerOptions serverOptions(const std::string &address)
{
    CallerServerOptions options;
    options.address = address;
    options.threads = 1;
    options.logPart = "operations connections";
    // Whatever checks the readiness of VMs may know nothing but their addresses.
    options.bounds.limits = {MaxHead, MaxHead, MaxBody, false};
    options.bounds.idleTimeout = IdleTimeout;
    return options;
}

} // namespace

OperationsServer::OperationsServer(const std::string &address, OperationsSource source)
    : source_(std::move(source))
    , server_(std::make_unique<CallerServer>(serverOptions(address), [this](const std::shared_ptr<CallerConnection> &connection, const HttpRequest &request) {
        connection->answerTo(request.number, Cloverbarrow::answerTo(request, source_), request.method == "HEAD");
    }))
{
}

OperationsServer::~OperationsServer() = default;

std::uint16_t OperationsServer::port() const
{
    return server_->port();
}

void OperationsServer::checkTimeouts(TimePoint now)
{
    server_->checkTimeouts(now);
}

void OperationsServer::stop()
{
    server_->stop();
}

} // namespace Cloverbarrow
