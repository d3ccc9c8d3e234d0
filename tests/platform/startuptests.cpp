/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "directorystore.h"
#include "eventually.h"
#include "names.h"
#include "net/httpclient.h"
#include "process.h"
#include "registeredbackend.h"
#include "sampleplan.h"
#include "startcall.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Standins;
using namespace Cloverbarrow::Tests;

namespace
{

using Json = nlohmann::json;

/// An entry VM that has started, and a store that holds no configuration yet.
class StartFixture
{
public:
    /// @param startup settings of the requests that are held.
    explicit StartFixture(const std::string &startup)
    {
        store.put("servers", "i-1", backend.registration("reclamos"));
        std::ofstream(folder_ + "/settings.yaml") << "name: entry-1\nzone: bog-a\nregion: bogota\nlisten: {callers: 127.0.0.1:0, operations: 127.0.0.1:0}\n"
                                                  << "directory: {address: " << store.address() << "}\nstartup: " << startup
                                                  << "\nshutdown: {notice_ms: 2000, limit_ms: 20000}\nlog_level: off\n";
        entryVm =
            std::make_unique<Process>(std::vector<std::string>{std::string(BINARY_FOLDER) + "/cloverbarrowd", "--settings=" + folder_ + "/settings.yaml"});
        addresses_ = Json::parse(entryVm->firstLine());
    }

    ~StartFixture()
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    void configure()
    {
        store.put("config", "main", planSpecification(1, Json::array({routeSpecification("a.example", "unsafe", "/pay/", 5)})));
    }

    std::future<HttpOutcome> send(const std::string &id)
    {
        HttpCall call;
        call.address = addresses_.at("callers");
        call.request = {"POST", "/pay/1", {{"Host", "a.example"}, {Platform::RequestIdHeader, id}, {Platform::DeadlineMsHeader, "8000"}}, "monto=1", true};
        lastRequest_ = calls_ + 1;
        return start(std::move(call));
    }

    /// Disconnects the caller of the request that was sent last.
    void abandon()
    {
        client_.cancel(lastRequest_, addresses_.at("callers"));
    }

    /// @return whether the metrics contain the line.
    bool hasMetric(const std::string &line)
    {
        HttpCall call;
        call.address = addresses_.at("operations");
        call.request = {"GET", "/metrics", {{"Host", "x"}}, "", true};
        const HttpOutcome outcome = start(std::move(call)).get();
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        return answer && answer->body.view().find(line) != std::string::npos;
    }

    /// @return whether so many requests have had this outcome.
    bool hasCounted(const std::string &outcome, int count = 1)
    {
        return eventually([&] { return hasMetric("cloverbarrow_startup_requests_total{outcome=\"" + outcome + "\"} " + std::to_string(count)); });
    }

    DirectoryStore store;
    RegisteredBackend backend{"i-1"};
    std::unique_ptr<Process> entryVm;

private:
    std::future<HttpOutcome> start(HttpCall call)
    {
        call.timeout = seconds(20);
        return startCall(client_, ++calls_, std::move(call));
    }

    static std::string makeFolder()
    {
        char folder[] = "/tmp/cloverbarrow-start-XXXXXX";
        return ::mkdtemp(folder);
    }

    std::string folder_ = makeFolder();
    Json addresses_;
    HttpCallId calls_ = 0;
    HttpCallId lastRequest_ = 0; ///< Call of the request that was sent last.
    HttpClient client_{1};
};

constexpr const char *LongWait = "{max_requests: 8, max_wait_ms: 10000, expected_ms: 1000}";

int statusOf(std::future<HttpOutcome> &answer)
{
    const HttpOutcome outcome = answer.get();
    const auto *received = std::get_if<HttpAnswer>(&outcome);
    return received ? received->status : 0;
}

} // namespace

TEST_CASE("A write that arrives before the configuration is executed once, when the entry VM is ready", "[platform][startup]")
{
    StartFixture fixture(LongWait);
    auto first = fixture.send("id-1");
    auto second = fixture.send("id-2");
    REQUIRE(fixture.hasCounted("held", 2));
    CHECK(fixture.backend.executedRequestIds().empty());
    fixture.configure();
    CHECK(statusOf(first) == 200);
    CHECK(statusOf(second) == 200);
    CHECK(fixture.backend.executedRequestIds().size() == 2);
    CHECK(fixture.hasCounted("released", 2));
}

TEST_CASE("When the configuration never comes, a held request is refused and not executed", "[platform][startup]")
{
    StartFixture fixture("{max_requests: 8, max_wait_ms: 300, expected_ms: 200}");
    const HttpOutcome outcome = fixture.send("id-1").get();
    const auto &answer = std::get<HttpAnswer>(outcome);
    CHECK(answer.status == 503);
    CHECK(findHeader(answer.headers, "retry-after"));
    CHECK(fixture.hasCounted("expired"));
    fixture.configure();
    CHECK(eventually([&fixture] {
        auto later = fixture.send("id-2");
        return statusOf(later) == 200;
    }));
    CHECK(fixture.backend.executedRequestIds() == std::vector<std::string>{"id-2"});
}

TEST_CASE("The held request of a caller that has disconnected is dropped", "[platform][startup]")
{
    StartFixture fixture(LongWait);
    auto abandoned = fixture.send("id-1");
    REQUIRE(fixture.hasCounted("held"));
    fixture.abandon();
    CHECK(fixture.hasCounted("caller_gone"));
    CHECK(eventually([&fixture] { return fixture.hasMetric("cloverbarrow_connection_requests{side=\"caller\",state=\"left_by_caller\"} 1\n"); }));
    fixture.configure();
    auto other = fixture.send("id-2");
    CHECK(statusOf(other) == 200);
    CHECK(fixture.backend.executedRequestIds() == std::vector<std::string>{"id-2"});
}

TEST_CASE("An entry VM that is told to stop refuses the requests that it holds at once", "[platform][startup][shutdown]")
{
    StartFixture fixture(LongWait);
    auto held = fixture.send("id-1");
    REQUIRE(fixture.hasCounted("held"));
    fixture.entryVm->signal(SIGTERM);
    REQUIRE(held.wait_for(std::chrono::milliseconds(1500)) == std::future_status::ready);
    CHECK(statusOf(held) == 503);
    CHECK(fixture.backend.executedRequestIds().empty());
}

TEST_CASE("Without a setting no request is held", "[platform][startup]")
{
    StartFixture fixture("{max_wait_ms: 10000}");
    auto refused = fixture.send("id-1");
    CHECK(statusOf(refused) == 503);
}
