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

#include <catch2/catch.hpp>

#include <unistd.h>

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

/// A store, three backend servers and one entry VM as a process of its own.
class Site
{
public:
    explicit Site(double timeoutSeconds = 5)
    {
        for (const char *id : {"i-1", "i-2", "i-3"}) {
            backends.push_back(std::make_unique<RegisteredBackend>(id));
            store.put("servers", id, backends.back()->registration("reclamos"));
        }
        configure(1, timeoutSeconds);
        start("entry-1");
    }

    ~Site()
    {
        for (const std::string &folder : folders_) {
            std::error_code ignored;
            std::filesystem::remove_all(folder, ignored);
        }
    }

    /// Starts an entry VM. @param relay whether it may relay for others.
    void start(const std::string &name, bool relay = false)
    {
        char folder[] = "/tmp/cloverbarrow-path-XXXXXX";
        folders_.emplace_back(::mkdtemp(folder));
        settingsPath_ = folders_.back() + "/settings.yaml";
        std::ofstream(settingsPath_) << "name: " << name << "\nzone: bog-a\nregion: bogota\nlisten: {callers: 127.0.0.1:0, operations: 127.0.0.1:0}\n"
                                     << "directory: {address: " << store.address() << ", " << (relay ? "relay: 127.0.0.1:0, " : "")
                                     << "repeat_ratio: 0.2, repeat_slack: 64, probes_per_server: 60}\n"
                                     << "shutdown: {notice_ms: 50, limit_ms: 20000}\nlog_level: off\n";
        entryVm = std::make_unique<Process>(std::vector<std::string>{std::string(BINARY_FOLDER) + "/cloverbarrowd", "--settings=" + settingsPath_});
        listening_ = Json::parse(entryVm->firstLine());
        REQUIRE(eventually([this] { return isReady(); }));
    }

    void configure(int version, double timeoutSeconds, const std::string &extraHost = "extra.example")
    {
        const Json routes = {routeSpecification("a.example", "safe", "/read/", timeoutSeconds),
                             routeSpecification("a.example", "unsafe", "/pay/", timeoutSeconds),
                             routeSpecification(extraHost, "safe", "/", timeoutSeconds)};
        store.put("config", "main", planSpecification(version, routes));
    }

    /// Adds lines to the settings file of the entry VM that was started last.
    void changeSettings(const std::string &lines)
    {
        std::ofstream(settingsPath_, std::ios::app) << lines;
    }

    void conductAll(Conduct conduct)
    {
        for (const auto &backend : backends) {
            backend->conduct(conduct);
        }
    }

    std::size_t runs() const
    {
        std::size_t count = 0;
        for (const auto &backend : backends) {
            count += backend->runs().size();
        }
        return count;
    }

    bool isReady()
    {
        const auto answer = ask(listening_.at("operations"), {"GET", "/readyz", {{"Host", "x"}}, "", true});
        return answer && answer->status == 200;
    }

    std::optional<HttpAnswer> send(const std::string &method, const std::string &target, const std::string &id, const std::string &host = "a.example")
    {
        Headers headers = {{"Host", host}, {Platform::RequestIdHeader, id}, {Platform::DeadlineMsHeader, "4000"}};
        return ask(callers(), {method, target, std::move(headers), method == "POST" ? "monto=1" : "", true});
    }

    std::string callers() const
    {
        return listening_.at("callers");
    }

    DirectoryStore store;
    std::vector<std::unique_ptr<RegisteredBackend>> backends;
    std::unique_ptr<Process> entryVm;

private:
    std::optional<HttpAnswer> ask(const std::string &address, HttpRequest request)
    {
        std::promise<HttpOutcome> done;
        HttpCall call;
        call.address = address;
        call.request = std::move(request);
        call.timeout = seconds(20);
        client_.start(++calls_, std::move(call), [&done](HttpOutcome outcome) { done.set_value(std::move(outcome)); });
        HttpOutcome outcome = done.get_future().get();
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        return answer ? std::optional(*answer) : std::nullopt;
    }

    HttpClient client_{1};
    HttpCallId calls_ = 0;
    Json listening_;
    std::vector<std::string> folders_;
    std::string settingsPath_;
};

} // namespace

TEST_CASE("A request is served on the platform with the backend server's signature", "[platform][path]")
{
    Site site;
    const auto answer = site.send("GET", "/read/1?x=y", "id-1");
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body.find("ran GET /read/1?x=y") != std::string::npos);
    CHECK(findHeader(answer->headers, Platform::StampHeader));
    CHECK(findHeader(answer->headers, Platform::RequestIdHeader) == "id-1");
    CHECK(site.send("GET", "/none/", "id-2")->status == 404);
}

TEST_CASE("A payout is run once, and its fate is told truly", "[platform][path][payout]")
{
    Site site;
    SECTION("when it is served")
    {
        CHECK(site.send("POST", "/pay/1", "id-1")->status == 200);
        CHECK(site.runs() == 1);
    }
    SECTION("when the backend server resets the connection after running it")
    {
        site.conductAll(Conduct::Reset);
        CHECK(site.send("POST", "/pay/1", "id-1")->status == 502);
        CHECK(site.runs() == 1);
    }
    SECTION("when no backend server runs it")
    {
        site.conductAll(Conduct::Shed);
        const auto answer = site.send("POST", "/pay/1", "id-1");
        CHECK(answer->status == 503);
        CHECK(findHeader(answer->headers, "Retry-After"));
        CHECK(site.runs() == 0);
    }
    SECTION("when the answer is not signed")
    {
        site.conductAll(Conduct::Unsigned);
        CHECK(site.send("POST", "/pay/1", "id-1")->status == 502);
        CHECK(site.runs() == 1);
    }
}

TEST_CASE("An answer without length that ends in order is passed on whole", "[platform][path]")
{
    Site site;
    site.conductAll(Conduct::Unframed);
    const auto answer = site.send("GET", "/read/1", "id-1");
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body.find("ran GET /read/1") != std::string::npos);
}

TEST_CASE("A route's time limit ends a request with 504 though the caller would wait longer", "[platform][path]")
{
    Site site(0.3);
    site.conductAll(Conduct::Hang);
    CHECK(site.send("GET", "/read/1", "id-1")->status == 504);
}

TEST_CASE("Work for a caller that has left is cancelled at the backend server", "[platform][path][gone]")
{
    Site site;
    site.conductAll(Conduct::Hang);
    {
        RawCaller caller(site.callers());
        caller.send(std::string("GET /read/1 HTTP/1.1\r\nHost: a.example\r\n") + Platform::RequestIdHeader + ": id-1\r\n\r\n");
        REQUIRE(eventually([&site] { return site.runs() == 1; }));
    }
    CHECK(eventually([&site] { return site.backends[0]->abandoned() + site.backends[1]->abandoned() + site.backends[2]->abandoned() == 1; }));
}

TEST_CASE("Changes of routes and servers come into force while the process runs", "[platform][path][directory]")
{
    Site site;
    SECTION("after a watch has told them")
    {
        CHECK(site.send("GET", "/", "id-1", "new.example")->status == 404);
        site.configure(5, 5, "new.example");
        CHECK(eventually([&site] { return site.send("GET", "/", "id-2", "new.example")->status == 200; }));
    }
    SECTION("after history is gone")
    {
        site.store.forgetHistory();
        site.configure(5, 5, "new.example");
        CHECK(eventually([&site] { return site.send("GET", "/", "id-2", "new.example")->status == 200; }));
    }
    SECTION("after an outage of the store")
    {
        site.store.setBusy(true);
        CHECK(site.send("GET", "/read/1", "id-1")->status == 200);
        site.store.setBusy(false);
        site.configure(5, 5, "new.example");
        CHECK(eventually([&site] { return site.send("GET", "/", "id-2", "new.example")->status == 200; }));
    }
    SECTION("when an object cannot be read, the last good state stays")
    {
        site.store.put("config", "main", {{"version", "r9"}, {"routes", 7}});
        std::this_thread::sleep_for(milliseconds(500));
        CHECK(site.send("GET", "/read/1", "id-1")->status == 200);
    }
}

TEST_CASE("A draining server gets no new request, and neither does one whose address was taken over", "[platform][path][drain]")
{
    Site site;
    site.store.put("servers", "i-1", site.backends[0]->registration("reclamos", "draining"));
    site.backends[1]->becomeInstance("i-9");
    // Until the news has arrived, the draining server may still be used.
    constexpr int Run = 10;
    const auto isOnlyThirdUsed = [&site] {
        const std::size_t before = site.backends[0]->runs().size();
        for (int request = 0; request < Run; ++request) {
            CHECK(site.send("GET", "/read/1", "id-" + std::to_string(request))->status == 200);
        }
        return site.backends[0]->runs().size() == before;
    };
    CHECK(eventually(isOnlyThirdUsed));
    CHECK(isOnlyThirdUsed());
    CHECK(site.backends[1]->runs().empty());
}

TEST_CASE("A server that starts again under its id is used again, though the former start was leaving", "[platform][path][restart]")
{
    Site site;
    const auto isUsed = [&site](std::size_t index) {
        const std::size_t before = site.backends[index]->runs().size();
        for (int request = 0; request < 10; ++request) {
            CHECK(site.send("GET", "/read/1", "id-" + std::to_string(request))->status == 200);
            // Past the age up to which the last answer's report chooses the same server again.
            std::this_thread::sleep_for(milliseconds(35));
        }
        return site.backends[index]->runs().size() > before;
    };
    const auto register0 = [&site](const Json &born, const std::string &state) {
        Json registration = site.backends[0]->registration("reclamos", state);
        registration["born"] = born;
        site.store.put("servers", "i-1", registration);
    };
    register0(1'764'700'000'000, "ready");
    REQUIRE(eventually([&isUsed] { return isUsed(0); }));
    SECTION("as another server at its address told")
    {
        site.backends[0]->becomeInstance("i-9");
        REQUIRE(eventually([&isUsed] { return !isUsed(0) && !isUsed(0); }));
        site.backends[0]->becomeInstance("i-1");
    }
    SECTION("as it told itself")
    {
        register0(1'764'700'000'000, "draining");
        REQUIRE(eventually([&isUsed] { return !isUsed(0) && !isUsed(0); }));
    }
    SECTION("as an entry of another writer made it seem")
    {
        register0("yesterday", "ready");
        REQUIRE(eventually([&isUsed] { return !isUsed(0) && !isUsed(0); }));
        CHECK(isUsed(1));
    }
    register0(1'764'700'009'000, "ready");
    CHECK(eventually([&isUsed] { return isUsed(0); }));
}

TEST_CASE("Operators' limits for callers are in force", "[platform][path][limits]")
{
    Site site;
    const auto allow = [&site](const Json &limits) {
        Json plan = planSpecification(2, {routeSpecification("new.example", "safe", "/", 5), routeSpecification("a.example", "safe", "/read/", 5)});
        plan["limits"].update(limits);
        site.store.put("config", "main", plan);
        REQUIRE(eventually([&site] { return site.send("GET", "/", "id-1", "new.example")->status == 200; }));
    };
    const auto statusOfLongHead = [&site] {
        RawCaller caller(site.callers());
        caller.send("GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Long: " + std::string(20'000, 'a') + "\r\n\r\n");
        return caller.readUntil("\r\n").substr(0, 12);
    };
    SECTION("for long headers")
    {
        CHECK(statusOfLongHead() == "HTTP/1.1 431");
    }
    SECTION("for long headers that a later version allows")
    {
        allow({{"max_header_bytes", 30'000}});
        // Callers are told of it a moment after the routes.
        CHECK(eventually([&statusOfLongHead] { return statusOfLongHead() == "HTTP/1.1 200"; }));
    }
    SECTION("for bodies")
    {
        allow({{"max_body_bytes", 3}});
        CHECK(eventually([&site] { return site.send("POST", "/read/1", "id-2")->status == 413; }));
    }
    SECTION("for headers that come slowly")
    {
        allow({{"header_timeout_s", 0.2}});
        RawCaller caller(site.callers());
        caller.send("GET /read/1 HTTP/1.1\r\n");
        CHECK(caller.readAll().starts_with("HTTP/1.1 408"));
    }
    SECTION("for idle connections")
    {
        allow({{"idle_timeout_s", 0.2}});
        RawCaller caller(site.callers());
        CHECK(caller.readAll().empty());
    }
}

TEST_CASE("The settings are read again while requests go on", "[platform][path][reload]")
{
    Site site;
    const auto bodyStatus = [&site] { return site.send("POST", "/read/1", "id-1")->status; };
    REQUIRE(bodyStatus() == 200);
    SECTION("on SIGHUP")
    {
        site.changeSettings("limits: {max_body_bytes: 2}\n");
        site.entryVm->signal(SIGHUP);
        CHECK(eventually([&bodyStatus] { return bodyStatus() == 413; }));
    }
    SECTION("when the file changes without a signal")
    {
        site.changeSettings("limits: {max_body_bytes: 2}\n");
        CHECK(eventually([&bodyStatus] { return bodyStatus() == 413; }));
    }
    SECTION("and faulty ones change nothing")
    {
        site.changeSettings("unknown: 1\n");
        site.entryVm->signal(SIGHUP);
        std::this_thread::sleep_for(milliseconds(100));
        CHECK(bodyStatus() == 200);
    }
}

TEST_CASE("One entry VM of a zone relays for the others, and another takes over when it ends", "[platform][path][relay]")
{
    Site site;
    site.start("entry-2", true);
    REQUIRE(eventually([&site] { return !site.store.specification("cloverbarrow-relays", "bog-a").is_null(); }));
    const Json first = site.store.specification("cloverbarrow-relays", "bog-a");
    const auto relay = std::move(site.entryVm);
    site.start("entry-3", true);
    CHECK(site.store.specification("cloverbarrow-relays", "bog-a") == first);
    // News come through the relay.
    site.configure(5, 5, "new.example");
    CHECK(eventually([&site] { return site.send("GET", "/", "id-1", "new.example")->status == 200; }));
    relay->signal(SIGKILL);
    site.configure(6, 5, "newer.example");
    CHECK(eventually([&site] { return site.send("GET", "/", "id-2", "newer.example")->status == 200; }));
    CHECK(eventually([&site, &first] { return site.store.specification("cloverbarrow-relays", "bog-a") != first; }));
}

TEST_CASE("A large configuration reaches followers packed", "[platform][path][relay]")
{
    Site site;
    site.start("entry-2", true);
    const auto relay = std::move(site.entryVm);
    site.start("entry-3", true);
    Json routes = Json::array();
    for (int number = 0; number < 500; ++number) {
        routes.push_back(routeSpecification("h" + std::to_string(number) + ".example", "safe", "/", 5));
    }
    site.store.put("config", "main", planSpecification(9, routes));
    CHECK(eventually([&site] { return site.send("GET", "/", "id-1", "h499.example")->status == 200; }));
}
