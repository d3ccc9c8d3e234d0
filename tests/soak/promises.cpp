/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "promises.h"

#include "names.h"
#include "net/bootclock.h"

#include <algorithm>
#include <array>
#include <functional>
#include <thread>

namespace Cloverbarrow::Soak
{

namespace
{

constexpr Duration AskPatience = seconds(3);
// Far longer than recovery takes, so that a busy machine does not change the verdict.
constexpr int RecoveryLooks = 600;
constexpr auto RecoveryPause = std::chrono::milliseconds(100);
constexpr int ServedInARow = 10;
// What the users bear of a request that crashes servers, and how often it comes when all faults are over.
constexpr int EndsBorne = 3;
constexpr int RetriesBorne = 3;
constexpr std::size_t FatalRounds = 3;
constexpr auto FatalPause = std::chrono::milliseconds(150);
// All entry VMs know by then what has happened before.
constexpr auto TouchTime = std::chrono::seconds(3);
// What the users give entry VMs to hear of an evacuation, and how long is looked afterwards.
constexpr auto EvacuationTime = std::chrono::seconds(5);
constexpr auto EvacuationLook = std::chrono::seconds(1);
// Requests a second that all entry VMs together may send to a cold server: 2.5 of the configuration, 1.5 and 8 as the settings leave them.
constexpr double ColdBound = 2.5 * 1.5 + 8;

// What a server with a limit may get in a window: one and a half times what it allows, and some more.
constexpr double Limit = 1;
constexpr Duration LimitWindow = seconds(4);
constexpr int LimitBound = static_cast<int>(1.5 * 4 * Limit + 5);
constexpr auto LimitMargin = std::chrono::milliseconds(500);

bool promisesNotRun(int status)
{
    constexpr std::array Promises = {408, 421, 429, 503};
    return std::find(Promises.begin(), Promises.end(), status) != Promises.end();
}

std::string about(const Observation &seen, const std::string &what)
{
    return seen.id + " at entry-" + std::to_string(seen.process.entryVm) + "." + std::to_string(seen.process.number) + ": " + what;
}

void checkAnswer(const Observation &seen, const HttpAnswer &answer, int runs, std::vector<Breach> &breaches)
{
    const bool isSuccess = answer.status == 200;
    const bool isOwn = answer.body.find((seen.isWrite ? "/pay/" : "/read/") + seen.id + " ") != std::string::npos;
    if (isSuccess && (!isOwn || !findHeader(answer.headers, Platform::StampHeader))) {
        breaches.push_back({"each caller gets its own answer", about(seen, answer.body)});
    }
    if (promisesNotRun(answer.status) && runs > 0) {
        breaches.push_back({"not run is true", about(seen, "status " + std::to_string(answer.status) + ", run " + std::to_string(runs) + " times")});
    }
    if (isSuccess && runs == 0) {
        breaches.push_back({"a success was run", about(seen, answer.body)});
    }
    if (answer.body.find("servers have ended under this request") != std::string::npos) {
        breaches.push_back({"an innocent request does not suffer for one that crashes servers", about(seen, answer.body)});
    }
    if (answer.status == 404) {
        breaches.push_back({"a route that every version has is served", about(seen, answer.body)});
    }
}

void checkFailure(const SoakSite &site, const Observation &seen, const HttpFailure &failure, int runs, std::vector<Breach> &breaches)
{
    if (seen.leftEarly || site.wasKilled(seen.process)) {
        return;
    }
    if (failure.isTimeout && failure.wasSent) {
        breaches.push_back({"each request is answered", about(seen, failure.reason)});
    } else if (runs > 0) {
        // A request that crosses the close of a kept connection is not read, and so not run.
        breaches.push_back({"a request that was passed on is answered", about(seen, failure.reason)});
    }
}

} // namespace

std::vector<Breach> breachesIn(const SoakSite &site, const std::vector<Observation> &observations)
{
    std::map<std::string, int> runs;
    for (const std::string &id : site.runs()) {
        ++runs[id];
    }
    std::vector<Breach> breaches;
    for (const Observation &seen : observations) {
        const auto found = runs.find(seen.id);
        const int count = found == runs.end() ? 0 : found->second;
        if (seen.isWrite && count > 1) {
            breaches.push_back({"a write runs at most once", about(seen, "run " + std::to_string(count) + " times")});
        }
        if (const auto *answer = std::get_if<HttpAnswer>(&seen.outcome)) {
            checkAnswer(seen, *answer, count, breaches);
        } else {
            checkFailure(site, seen, std::get<HttpFailure>(seen.outcome), count, breaches);
        }
    }
    return breaches;
}

VersionWatch::VersionWatch(const SoakSite &site)
    : site_(site)
{
}

std::vector<Breach> VersionWatch::look(std::size_t entryVm)
{
    const EntryAddress entry = site_.entryAddress(entryVm);
    int &known = known_[entry.start];
    for (int version = site_.newestVersion(); version > known; --version) {
        if (const int status = ask(entry, version); status != 0 && status != 404) {
            // Any answer but "no route" shows that the route is there, if a configuration is in force at all.
            known = status == 200 ? version : known;
            break;
        }
    }
    std::vector<Breach> breaches;
    if (known > 1 && ask(entry, known - 1) == 200) {
        breaches.push_back({"versions never fall",
                            "entry-" + std::to_string(entryVm) + "." + std::to_string(entry.start.number) + " served version " + std::to_string(known - 1)
                                + " after " + std::to_string(known)});
    }
    return breaches;
}

int VersionWatch::ask(const EntryAddress &entry, int version)
{
    const std::string id = "v-" + std::to_string(++asked_);
    const HttpOutcome outcome = client_.send(entry.callers, callerRequest("GET", hostOfVersion(version), "/", id), AskPatience);
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    return answer ? answer->status : 0;
}

namespace
{

/// @return what is still wrong with the entry VM; empty when nothing is.
std::string faultOf(const SoakSite &site, std::size_t entryVm, BlockingClient &client, int &asked)
{
    const EntryAddress entry = site.entryAddress(entryVm);
    const auto statusOf = [&](const std::string &address, const std::string &host, const std::string &target) {
        const std::string id = "r-" + std::to_string(++asked);
        const HttpOutcome outcome = client.send(address, callerRequest("GET", host, target, id), AskPatience);
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        return answer ? answer->status : 0;
    };
    if (const int status = statusOf(entry.operations, "x", "/readyz"); status != 200) {
        return "not ready: " + std::to_string(status);
    }
    const int newest = site.newestVersion();
    if (const int status = statusOf(entry.callers, hostOfVersion(newest), "/"); status != 200) {
        return "newest version: " + std::to_string(status);
    }
    if (const int status = statusOf(entry.callers, hostOfVersion(newest - 1), "/"); status != 404) {
        return "former version: " + std::to_string(status);
    }
    for (int request = 0; request < ServedInARow; ++request) {
        if (const int status = statusOf(entry.callers, "a.example", "/read/r"); status != 200) {
            return "a read: " + std::to_string(status);
        }
    }
    return {};
}

} // namespace

std::vector<Breach> breachesUnderFatalRequests(const SoakSite &site)
{
    BlockingClient client;
    const auto sendRounds = [&site, &client](const std::function<bool(std::size_t content)> &isWanted) {
        for (std::size_t round = 0; round < FatalRounds * site.entryVms(); ++round) {
            for (std::size_t content = 0; content < FatalCallers::Contents; ++content) {
                if (isWanted(content)) {
                    FatalCallers::send(site, client, content, round % site.entryVms());
                }
            }
            std::this_thread::sleep_for(FatalPause);
        }
    };
    sendRounds([&site](std::size_t content) { return FatalCallers::runs(site, content) < EndsBorne; });
    std::this_thread::sleep_for(TouchTime);
    std::array<int, FatalCallers::Contents> before{};
    for (std::size_t content = 0; content < before.size(); ++content) {
        before.at(content) = FatalCallers::runs(site, content);
    }
    sendRounds([](std::size_t) { return true; });
    std::vector<Breach> breaches;
    for (std::size_t content = 0; content < before.size(); ++content) {
        const int more = FatalCallers::runs(site, content) - before.at(content);
        if (before.at(content) >= EndsBorne && more > RetriesBorne) {
            breaches.push_back({"a request that crashes servers is soon passed on no more",
                                "content " + std::to_string(content) + ": run " + std::to_string(before.at(content)) + " times, then " + std::to_string(more)
                                    + " times more, later than 3 s after the third"});
        }
    }
    return breaches;
}

std::vector<Breach> breachesUnderEvacuation(SoakSite &site)
{
    constexpr std::size_t Emptied = 0;
    site.setEvacuated(Emptied, true);
    std::this_thread::sleep_for(EvacuationTime);
    std::vector<std::size_t> before;
    for (std::size_t backend = 0; backend < site.backends(); ++backend) {
        before.push_back(site.runsAt(backend));
    }
    // Callers go on all the while.
    std::this_thread::sleep_for(EvacuationLook);
    std::vector<Breach> breaches;
    for (std::size_t backend = 0; backend < site.backends(); ++backend) {
        const bool isEmptied = SoakSite::zoneOfBackend(backend) == SoakSite::zoneOfBackend(Emptied);
        if (const std::size_t more = site.runsAt(backend) - before[backend]; isEmptied && more > 0) {
            breaches.push_back({"an evacuated zone gets no requests", "backend server " + std::to_string(backend) + " ran " + std::to_string(more)});
        }
    }
    site.setEvacuated(Emptied, false);
    return breaches;
}

std::vector<Breach> breachesUnderLimits(SoakSite &site)
{
    constexpr std::array<std::size_t, 2> Limited = {0, 1};
    for (const std::size_t backend : Limited) {
        site.nameLimit(backend, std::to_string(Limit));
    }
    std::this_thread::sleep_for(TouchTime);
    const TimePoint keptFrom = bootNow();
    std::this_thread::sleep_for(LimitWindow + LimitMargin);
    std::vector<Breach> breaches;
    for (const std::size_t backend : Limited) {
        if (const int most = site.mostRunsAt(backend, LimitWindow, keptFrom); most > LimitBound) {
            breaches.push_back({"a server with a limit gets no more than it allows",
                                "backend server " + std::to_string(backend) + " ran " + std::to_string(most) + " in 4 s"});
        }
        site.nameLimit(backend, "");
    }
    // A server that is used again may be left alone for a moment while others have room.
    const TimePoint usedFrom = bootNow();
    std::this_thread::sleep_for(TouchTime + LimitMargin);
    for (const std::size_t backend : Limited) {
        if (site.mostRunsAt(backend, LimitMargin, usedFrom) <= static_cast<int>(Limit)) {
            breaches.push_back({"a server whose limit has ended is used again", "backend server " + std::to_string(backend)});
        }
    }
    return breaches;
}

std::vector<Breach> breachesAtColdServers(const SoakSite &site)
{
    if (const int most = site.mostWhileCold(); most > ColdBound) {
        return {{"a cold server gets no more than it bears", std::to_string(most) + " in a second"}};
    }
    return {};
}

std::vector<Breach> awaitRecovery(SoakSite &site)
{
    BlockingClient client;
    int asked = 0;
    std::vector<Breach> breaches;
    for (std::size_t entryVm = 0; entryVm < site.entryVms(); ++entryVm) {
        std::string fault = faultOf(site, entryVm, client, asked);
        for (int look = 0; look < RecoveryLooks && !fault.empty(); ++look) {
            std::this_thread::sleep_for(RecoveryPause);
            fault = faultOf(site, entryVm, client, asked);
        }
        if (!fault.empty()) {
            breaches.push_back({"service returns after the last fault", "entry-" + std::to_string(entryVm) + ": " + fault});
        }
    }
    return breaches;
}

} // namespace Cloverbarrow::Soak
