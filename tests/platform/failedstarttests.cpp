/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/callerserver.h"
#include "net/forwarding.h"
#include "net/httpclient.h"
#include "process.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

CallerServerOptions anyPort()
{
    CallerServerOptions options;
    options.address = "127.0.0.1:0";
    return options;
}

void ignoreRequest(const std::shared_ptr<CallerConnection> &, const HttpRequest &)
{
}

std::string addressOf(const CallerServer &server)
{
    return "127.0.0.1:" + std::to_string(server.port());
}

/// Keeps forwarding requests to an address, several at a time.
class Forwarder
{
public:
    explicit Forwarder(std::string address)
        : address_(std::move(address))
    {
        constexpr int Parallel = 8;
        for (int number = 0; number < Parallel; ++number) {
            forward();
        }
    }

    ~Forwarder()
    {
        isOver_ = true;
        client_.stop();
    }

    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

private:
    void forward()
    {
        HttpCall call;
        call.address = address_;
        call.request.method = "GET";
        call.request.target = "/a";
        call.request.headers = {{"Host", address_}, {ForwardHeader, "{}"}};
        call.mayReuseConnection = true;
        client_.start(++lastCall_, std::move(call), [this](const HttpOutcome &) {
            if (!isOver_) {
                forward();
            }
        });
    }

    std::string address_;
    std::atomic<HttpCallId> lastCall_{0};
    std::atomic<bool> isOver_{false};
    HttpClient client_{1};
};

} // namespace

TEST_CASE("An entry VM that cannot listen exits without a fault while requests are forwarded to it", "[platform][startup][lifetime]")
{
    constexpr int Rounds = 20;
    constexpr int ExitFailed = 1;
    const CallerServer other(anyPort(), ignoreRequest);
    const std::string relay = addressOf(CallerServer(anyPort(), ignoreRequest));
    const std::string path = std::filesystem::temp_directory_path() / ("cloverbarrow-failed-start-" + std::to_string(::getpid()) + ".yaml");
    std::ofstream(path) << "name: entry-1\nzone: bog-a\nregion: bogota\nlisten: {callers: 127.0.0.1:0, operations: " << addressOf(other) << "}\n"
                        << "directory: {address: 127.0.0.1:9, relay: " << relay << "}\nlog_level: off\n";
    const Forwarder forwarder(relay);
    // Freed memory is overwritten, so that a use of it fails.
    ::setenv("MALLOC_PERTURB_", "165", 1);
    for (int round = 0; round < Rounds; ++round) {
        Process entryVm({std::string(BINARY_FOLDER) + "/cloverbarrowd", "--settings=" + path}, {}, "/dev/null");
        CHECK(entryVm.wait() == ExitFailed);
    }
    ::unsetenv("MALLOC_PERTURB_");
    std::filesystem::remove(path);
}
