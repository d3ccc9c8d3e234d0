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
#include "rawcaller.h"
#include "registeredbackend.h"
#include "sampleplan.h"
#include "startcall.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Standins;
using namespace Cloverbarrow::Tests;

namespace
{

using Json = nlohmann::json;

// Time within which a configuration must be in force everywhere.
constexpr auto ApplyLimit = std::chrono::milliseconds(2500);
constexpr int Requests = 16;
constexpr const char *LongDeadlineMs = "8000";

/// An entry VM that gets no processor time for a while. Its route leads to the service "reclamos", and from version 2 of the configuration on to "pagos".
class StallFixture
{
public:
    StallFixture()
    {
        store.put("config", "main", plan(1, "reclamos"));
        store.put("servers", "i-1", former.registration("reclamos"));
        store.put("servers", "i-2", current.registration("pagos"));
        std::ofstream(folder_ + "/settings.yaml") << "name: entry-1\nzone: bog-a\nregion: bogota\nlisten: {callers: 127.0.0.1:0, operations: 127.0.0.1:0}\n"
                                                  << "directory: {address: " << store.address() << "}\nlog_level: off\n";
        entryVm_ =
            std::make_unique<Process>(std::vector<std::string>{std::string(BINARY_FOLDER) + "/cloverbarrowd", "--settings=" + folder_ + "/settings.yaml"});
        callers_ = Json::parse(entryVm_->firstLine()).at("callers");
        REQUIRE(eventually([this] { return statusOf(send("warm-up", LongDeadlineMs).get()) == 200; }));
    }

    ~StallFixture()
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    static Json plan(int version, const std::string &service)
    {
        Json route = routeSpecification("a.example", "unsafe", "/pay/", 5);
        route["service"] = service;
        Json specification = planSpecification(version, Json::array({route}));
        Json second = specification["services"][0];
        second["name"] = "pagos";
        specification["services"].push_back(second);
        return specification;
    }

    void stall() const
    {
        entryVm_->signal(SIGSTOP);
    }

    void resume() const
    {
        entryVm_->signal(SIGCONT);
    }

    std::future<HttpOutcome> send(const std::string &id, const std::string &deadlineMs)
    {
        HttpCall call;
        call.address = callers_;
        call.request = {"POST", "/pay/1", {{"Host", "a.example"}, {Platform::RequestIdHeader, id}, {Platform::DeadlineMsHeader, deadlineMs}}, "monto=1", true};
        call.timeout = seconds(20);
        return startCall(client_, ++calls_, std::move(call));
    }

    /// Sends requests on connections of their own. They wait in the sockets of the entry VM when this returns.
    std::vector<RawCaller> sendAll(const std::string &deadlineMs) const
    {
        std::vector<RawCaller> callers;
        callers.reserve(Requests);
        for (int request = 0; request < Requests; ++request) {
            RawCaller &caller = callers.emplace_back(callers_);
            caller.send("POST /pay/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 7\r\n" + std::string(Platform::RequestIdHeader) + ": late-"
                        + std::to_string(request) + "\r\n" + Platform::DeadlineMsHeader + ": " + deadlineMs + "\r\n\r\nmonto=1");
        }
        return callers;
    }

    static bool isServed(RawCaller &caller)
    {
        return caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200 ");
    }

    static int statusOf(const HttpOutcome &outcome)
    {
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        return answer ? answer->status : 0;
    }

    static std::size_t lateExecutions(const RegisteredBackend &backend)
    {
        const auto ids = backend.executedRequestIds();
        return static_cast<std::size_t>(std::count_if(ids.begin(), ids.end(), [](const std::string &id) { return id.starts_with("late-"); }));
    }

    DirectoryStore store;
    RegisteredBackend former{"i-1"};
    RegisteredBackend current{"i-2"};

private:
    static std::string makeFolder()
    {
        char folder[] = "/tmp/cloverbarrow-stall-XXXXXX";
        return ::mkdtemp(folder);
    }

    std::string folder_ = makeFolder();
    std::unique_ptr<Process> entryVm_;
    std::string callers_;
    HttpCallId calls_ = 0;
    HttpClient client_{Requests};
};

} // namespace

TEST_CASE("An entry VM that has stalled does not route by a configuration that was replaced meanwhile", "[platform][stall]")
{
    StallFixture fixture;
    fixture.stall();
    fixture.store.put("config", "main", StallFixture::plan(2, "pagos"));
    std::this_thread::sleep_for(ApplyLimit);
    auto callers = fixture.sendAll(LongDeadlineMs);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    fixture.resume();
    int served = 0;
    for (RawCaller &caller : callers) {
        served += StallFixture::isServed(caller) ? 1 : 0;
    }
    CHECK(StallFixture::lateExecutions(fixture.former) == 0);
    CHECK(served == Requests);
}

TEST_CASE("An entry VM that has stalled sends no request whose caller's deadline passed meanwhile", "[platform][stall]")
{
    StallFixture fixture;
    fixture.stall();
    auto callers = fixture.sendAll("500");
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    fixture.resume();
    for (RawCaller &caller : callers) {
        CHECK_FALSE(StallFixture::isServed(caller));
    }
    CHECK(StallFixture::lateExecutions(fixture.former) == 0);
}
