/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/directory/directorykeeper.h"
#include "core/node.h"
#include "net/gzip.h"
#include "net/relaymessages.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>

// What one entry VM spends on lists and changes of backend servers, by their number: processor time and bytes.

using namespace Cloverbarrow;

namespace
{

constexpr int Changes = 50;
const std::vector<std::string> Services = {"polizas", "liquidacion", "reclamos"};
const std::vector<std::string> Zones = {"sala-a", "sala-b", "sala-c", "sala-d"};

/// @return milliseconds that @p work took.
double timeOf(const std::function<void()> &work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

/// A backend server, with a text about as long as a store would tell it.
DirectoryEntry serverEntry(int number, std::int64_t revision, bool isDraining, Random &random)
{
    constexpr std::size_t Digits = 10;
    std::string id = "i-";
    for (std::size_t digit = 0; digit < Digits; ++digit) {
        id += "0123456789abcdef"[random.below(16)];
    }
    Registration registration;
    const auto place = static_cast<std::size_t>(number);
    registration.service = Services[place % Services.size()];
    const std::string address = "10." + std::to_string(1 + number % 4) + "." + std::to_string(64 + number / 250) + "." + std::to_string(number % 250) + ":8581";
    registration.server = {id, address, Zones[place % Zones.size()], {}, 3};
    registration.isDraining = isDraining;
    const std::string text = R"({"object":{"created_at":)" + std::to_string(revision) + R"(,"deleting":false,"holders":[],"name":")" + id + R"(","revision":)"
        + std::to_string(revision) + R"(},"registration":{"address":")" + address + R"(","heartbeat":1,"service":")" + registration.service
        + R"(","slots":3,"state":")" + (isDraining ? "draining" : "ready") + R"(","version":"v1","warm_up_left_s":0.0,"zone":")" + registration.server.zone
        + R"("},"status":{}})";
    return {id, revision, registration, false, text};
}

DirectoryEntry planEntry()
{
    RoutingPlan plan;
    plan.version = 1;
    plan.versionText = "r1";
    for (const std::string &name : Services) {
        Service service;
        service.name = name;
        service.allowedZones = Zones;
        plan.services.push_back(std::move(service));
    }
    return {"main", 1, plan, false, "{}"};
}

/// An entry VM that follows the store alone, with the services that it hands servers to.
class EntryVm
{
public:
    EntryVm()
        : keeper_(FleetBudgets{}, RelayElection({}, true, 1), 1)
        , node_(settings(), LoadReportPick{})
    {
        DirectoryActions actions;
        keeper_.tick(now_, actions);
    }

    void list(const std::vector<DirectoryEntry> &entries)
    {
        take({1, DirectoryListed{Collection::Routing, {planEntry()}, false, {}, 1, 1}});
        take({1, DirectoryListed{Collection::Servers, entries, false, {}, 1, 1}});
    }

    void change(std::int64_t revision, const std::vector<DirectoryEntry> &entries)
    {
        now_ += seconds(1);
        DirectoryActions actions;
        keeper_.tick(now_, actions);
        take({++call_, DirectoryChanged{Collection::Servers, entries, revision, revision}});
    }

    const DirectoryManager &keeper() const
    {
        return keeper_;
    }

private:
    static ControlSettings settings()
    {
        ControlSettings control;
        control.self.id = {"entry-1", "n"};
        control.self.zone = Zones.front();
        control.hasDirectory = true;
        return control;
    }

    void take(const DirectoryAnswer &answer)
    {
        DirectoryActions actions;
        keeper_.handle(now_, answer, actions);
        for (const DirectoryAction &action : actions) {
            if (const auto *publish = std::get_if<PublishDirectory>(&action)) {
                NodeActions ignored;
                node_.handle(now_, ControlEvent(DirectoryPublished{publish->intent}), ignored);
            }
        }
    }

    TimePoint now_ = TimePoint(seconds(100));
    int call_ = 1;
    DirectoryManager keeper_;
    Node node_;
};

void measure(int servers)
{
    Random random(7);
    std::vector<DirectoryEntry> entries;
    entries.reserve(static_cast<std::size_t>(servers));
    for (int number = 0; number < servers; ++number) {
        entries.push_back(serverEntry(number, 100 + number, false, random));
    }
    EntryVm vm;
    const double listMs = timeOf([&] { vm.list(entries); });
    const CollectionUpdate news{1, 1, entries};
    std::string text;
    std::string packed;
    const double encodeMs = timeOf([&] {
        text = encodeCollectionUpdate(news);
        packed = gzip(text);
    });
    const double decodeMs = timeOf([&] { decodeCollectionUpdate(text); });
    double changeMs = 0;
    for (int change = 1; change <= Changes; ++change) {
        DirectoryEntry entry = entries[static_cast<std::size_t>(change) * 3 % entries.size()];
        entry.revision = 10'000 + change;
        std::get<Registration>(*entry.value).isDraining = true;
        changeMs += timeOf([&] { vm.change(entry.revision, {entry}); });
    }
    std::printf("| %d | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f |\n",
                servers,
                static_cast<double>(text.size()) / 1000,
                static_cast<double>(packed.size()) / 1000,
                encodeMs,
                decodeMs,
                listMs,
                changeMs / Changes);
}

} // namespace

int main()
{
    std::printf("| servers | list KB | packed KB | pack ms | unpack ms | take list ms | one change ms |\n|---|---|---|---|---|---|---|\n");
    for (const int servers : {39, 222, 1000, 3000}) {
        measure(servers);
    }
    return 0;
}
