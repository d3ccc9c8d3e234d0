/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "fleet.h"

#include "net/httpclient.h"
#include "net/thriftclient.h"
#include "startcall.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

namespace Cloverbarrow::Tests
{

namespace
{

constexpr int ConnectTimeoutMs = 2000;
constexpr int CallTimeoutMs = 20'000;

using Admin = ThriftClient<Wire::AdminClient>;

std::string program(const char *name)
{
    return std::string(BINARY_FOLDER) + "/" + name;
}

std::string makeFolder()
{
    std::string pattern = std::filesystem::temp_directory_path() / "cloverbarrow-XXXXXX";
    return ::mkdtemp(pattern.data());
}

} // namespace

Fleet::Fleet(int backends)
    : folder_(makeFolder())
{
    const std::string standin = program("cloverbarrow-standin");
    platform_ = std::make_unique<Process>(std::vector<std::string>{standin, "--role=platform"});
    for (int number = 1; number <= backends; ++number) {
        backends_.push_back(std::make_unique<Process>(std::vector<std::string>{standin, "--role=backend", "--name=b" + std::to_string(number)}));
    }
}

Fleet::~Fleet()
{
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void Fleet::setLimits(const std::string &limits)
{
    limits_ = ", " + limits;
}

void Fleet::startEntryVm(const std::string &name, const std::string &zone, int noticeMs)
{
    std::string peers;
    for (const auto &[peer, line] : listenAddresses_) {
        peers += (peers.empty() ? "" : ", ") + address(peer, "peers");
    }
    const std::string path = folder_ + "/" + name + ".yaml";
    std::ofstream(path) << "name: " << name << "\nzone: " << zone << "\nregion: bogota\n"
                        << "listen: {callers: 127.0.0.1:0, peers: 127.0.0.1:0, admin: 127.0.0.1:0, operations: 127.0.0.1:0}\n"
                        << "platform: " << platformAddress() << "\nfirst_peers: [" << peers << "]\n"
                        << "shutdown: {notice_ms: " << noticeMs << ", limit_ms: 30000}\nlimits: {slow_caller_ms: 1000" << limits_ << "}\nlog_level: off\n";
    auto process = std::make_unique<Process>(std::vector<std::string>{program("cloverbarrowd"), "--settings=" + path}, std::string(), errorPath(name));
    listenAddresses_[name] = process->firstLine();
    entryVms_[name] = std::move(process);
}

std::string Fleet::errorPath(const std::string &name) const
{
    return folder_ + "/" + name + ".err";
}

Process &Fleet::entryVm(const std::string &name)
{
    return *entryVms_.at(name);
}

void Fleet::killEntryVm(const std::string &name)
{
    entryVms_.erase(name);
    listenAddresses_.erase(name);
}

std::string Fleet::address(const std::string &entryVm, const std::string &listener) const
{
    return nlohmann::json::parse(listenAddresses_.at(entryVm)).at(listener).get<std::string>();
}

std::string Fleet::backendAddress(int number) const
{
    return backends_.at(static_cast<std::size_t>(number) - 1)->firstLine();
}

std::string Fleet::platformAddress() const
{
    return platform_->firstLine();
}

std::string Fleet::document(const std::string &extra) const
{
    std::string text = "services:\n"
                       "  - name: liquidacion\n"
                       "    host: liquidacion.example\n"
                       "    places: [bog-a, bog-b]\n"
                       "    echoes_exchange_tag: true\n"
                       "    kinds:\n"
                       "      - {name: state, methods: [GET, HEAD], path: /state/**, class: read, deadline_ms: 5000}\n"
                       "      - {name: note, methods: [POST], path: /notes, class: write, deadline_ms: 5000}\n"
                       "      - {name: payout, methods: [POST], path: /payouts, class: payout, deadline_ms: 3000}\n"
                       "    backend_servers:\n";
    for (std::size_t number = 1; number <= backends_.size(); ++number) {
        text += "      - {name: b" + std::to_string(number) + ", address: " + backendAddress(static_cast<int>(number)) + ", zone: bog-a}\n";
    }
    return text + extra;
}

std::int64_t Fleet::apply(const std::string &entryVm, const std::string &document, std::int64_t expected)
{
    Admin admin(address(entryVm, "admin"), ConnectTimeoutMs, CallTimeoutMs);
    Wire::ApplyRequest request;
    request.document = document;
    request.expectedVersion = expected;
    request.author = "test";
    request.reason = "test";
    Wire::ApplyResult result;
    admin->apply(result, request);
    return result.version;
}

void Fleet::startAll(const std::vector<std::string> &names, const std::string &extra)
{
    for (const std::string &name : names) {
        startEntryVm(name);
    }
    apply(names.front(), document(extra), 0);
    for (const std::string &name : names) {
        if (!eventually([&] { return isReady(name); })) {
            throw std::runtime_error(name + " did not become ready");
        }
    }
}

Wire::Status Fleet::status(const std::string &entryVm)
{
    Admin admin(address(entryVm, "admin"), ConnectTimeoutMs, CallTimeoutMs);
    Wire::Status status;
    admin->status(status);
    return status;
}

bool Fleet::isReady(const std::string &entryVm)
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/readyz";
    const auto answer = send(address(entryVm, "operations"), request);
    return answer && answer->status == 200;
}

std::string Fleet::payoutState(const std::string &entryVm, const std::string &key)
{
    Admin admin(address(entryVm, "admin"), ConnectTimeoutMs, CallTimeoutMs);
    std::vector<Wire::PayoutStatus> records;
    admin->payout(records, key);
    return records.empty() ? "none" : records.front().state;
}

std::string Fleet::platformState(const std::string &what)
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/control/" + what;
    const auto answer = send(platformAddress(), request);
    return answer ? std::string(answer->body) : std::string();
}

void Fleet::setPlatformFaults(const std::string &json)
{
    HttpRequest request;
    request.method = "PUT";
    request.target = "/control/faults";
    request.body = json;
    send(platformAddress(), request);
}

void Fleet::setBehaviour(int backend, const std::string &json)
{
    HttpRequest request;
    request.method = "PUT";
    request.target = "/control/behaviour";
    request.body = json;
    send(backendAddress(backend), request);
}

int Fleet::logMatchCount(const std::string &text)
{
    int count = 0;
    for (std::size_t number = 1; number <= backends_.size(); ++number) {
        HttpRequest request;
        request.method = "GET";
        request.target = "/control/log";
        const std::string log(send(backendAddress(static_cast<int>(number)), request).value().body);
        for (std::size_t at = log.find(text); at != std::string::npos; at = log.find(text, at + 1)) {
            ++count;
        }
    }
    return count;
}

int Fleet::probeCount()
{
    int count = 0;
    for (std::size_t number = 1; number <= backends_.size(); ++number) {
        HttpRequest request;
        request.method = "GET";
        request.target = "/control/counts";
        count += nlohmann::json::parse(send(backendAddress(static_cast<int>(number)), request).value().body).at("probes").get<int>();
    }
    return count;
}

std::optional<HttpAnswer> Fleet::send(const std::string &address, HttpRequest request, int timeoutMs)
{
    static HttpClient client(1);
    static std::atomic<HttpCallId> nextId{1};
    HttpCall call;
    call.address = address;
    call.request = std::move(request);
    call.timeout = milliseconds(timeoutMs);
    HttpOutcome done = startCall(client, nextId++, std::move(call)).get();
    auto *answer = std::get_if<HttpAnswer>(&done);
    return answer ? std::optional(std::move(*answer)) : std::nullopt;
}

std::optional<HttpAnswer> Fleet::get(const std::string &entryVm, const std::string &target, Headers headers)
{
    HttpRequest request;
    request.method = "GET";
    request.target = target;
    request.headers = std::move(headers);
    request.headers.push_back({"Host", "liquidacion.example"});
    return send(address(entryVm, "callers"), std::move(request));
}

std::optional<HttpAnswer> Fleet::pay(const std::string &entryVm, const std::string &key, const std::string &body, int timeoutMs)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/payouts";
    request.headers = {{"Host", "liquidacion.example"}, {"Idempotency-Key", key}};
    request.body = body;
    return send(address(entryVm, "callers"), std::move(request), timeoutMs);
}

bool eventually(const std::function<bool()> &isTrue, int timeoutMs)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    while (std::chrono::steady_clock::now() < end) {
        try {
            if (isTrue()) {
                return true;
            }
        } catch (const std::exception &) {
            // The process may not be reachable yet.
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

} // namespace Cloverbarrow::Tests
