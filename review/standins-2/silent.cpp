/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

// Case 9: the store loses two answers, those of the watches in which two relays would learn of an added server. Later a server says that it leaves.
// `silent FOLDER RECORD`

#include "world.h"

using namespace World;

namespace
{

constexpr double DrainSeconds = 2; // drain_period_s
constexpr double LossSeconds = 4;
constexpr double SoundSeconds = 4.5; // more than touch_s
constexpr double LeavingSeconds = 20; // "at times many seconds"
constexpr double RequestsPerSecond = 12; // at each machine
constexpr const char *RelaysKind = "cloverbarrow-relays";

struct Machine {
    std::string zone;
    std::string relay;
    std::unique_ptr<StorePath> path;
    std::unique_ptr<EntryVm> entryVm;
};

} // namespace

int main(int, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(arguments[2]);
    Store store;
    std::vector<std::unique_ptr<Backend>> servers;
    const auto addServer = [&]() -> Backend & {
        const std::size_t number = servers.size();
        auto &server = *servers.emplace_back(
            std::make_unique<Backend>(record, "i-" + std::to_string(number), "uitbetaling", number % 2 == 0 ? "nlw-hal-a" : "nlw-hal-b"));
        server.work = 0.078;
        server.start();
        store.put("servers", server.id(), server.registration());
        return server;
    };
    servers.reserve(16);
    for (int number = 0; number < 6; ++number) {
        addServer();
    }
    store.put("config",
              "main",
              configuration(1, Json::array({route("pagos.example", "/payout/", "uitbetaling", "unsafe", 1, 0.25, 1)}), Json::array({serviceOf("uitbetaling")})));

    std::vector<std::unique_ptr<Machine>> machines;
    const auto finish = [&machines](int code) {
        for (const auto &machine : machines) {
            machine->entryVm->send(SIGKILL);
        }
        std::fflush(stdout);
        std::_Exit(code);
    };
    for (int number = 0; number < 4; ++number) {
        auto &machine = *machines.emplace_back(std::make_unique<Machine>());
        machine.zone = number % 2 == 0 ? "nlw-hal-a" : "nlw-hal-b";
        machine.relay = "127.0.0.1:" + std::to_string(freePort());
        machine.path = std::make_unique<StorePath>(store);
        machine.path->start();
        EntryVm::Options options;
        options.name = "frontend-" + machine.zone + "-" + std::to_string(number / 2 + 1);
        options.zone = machine.zone;
        options.zones = "nlw-hal-a, nlw-hal-b";
        options.store = machine.path->address();
        options.relay = machine.relay;
        options.folder = arguments[1];
        machine.entryVm = std::make_unique<EntryVm>(options);
    }
    for (const auto &machine : machines) {
        if (!machine->entryVm->awaitReady(15)) {
            std::puts("an entry VM isn't ready");
            finish(CouldNotRun);
        }
    }
    // Until the relays know each other.
    sleepFor(12);
    std::vector<Machine *> relays;
    for (const auto &machine : machines) {
        const Json relay = store.specification(RelaysKind, machine->zone);
        if (relay.is_object() && relay.value("address", "") == machine->relay) {
            relays.push_back(machine.get());
        }
    }
    if (relays.size() != 2) {
        std::puts("no machine relays");
        finish(CouldNotRun);
    }

    std::atomic<bool> isOver{false};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (const auto &machine : machines) {
        clients.emplace_back([&, &target = *machine] {
            std::vector<std::thread> requests;
            for (double next = now(); !isOver; next += 1 / RequestsPerSecond) {
                sleepFor(std::max(0.0, next - now()));
                requests.emplace_back([&] {
                    const std::string id = "c" + std::to_string(sent++);
                    const int fd = connectTo(target.entryVm->callers);
                    sendAll(fd, requestText("POST", "pagos.example", "/payout/" + id, id, 1000, "amount=1"));
                    Reader reader(fd);
                    Message answer;
                    const bool isWhole = reader.readAnswer(answer, 1.5);
                    ::close(fd);
                    served += isWhole && answer.status == 200 ? 1 : 0;
                    record.line("%s: status %d", id.c_str(), isWhole ? answer.status : 0);
                });
            }
            for (std::thread &request : requests) {
                request.join();
            }
        });
    }
    const auto answers = [&machines] {
        int count = 0;
        for (const auto &machine : machines) {
            count += machine->path->answered();
        }
        return count;
    };
    sleepFor(1);
    const int before = answers();
    if (hasTrouble()) {
        for (Machine *relay : relays) {
            relay->path->loseNextWatchAnswer("servers");
        }
    }
    record.line("%s", hasTrouble() ? "the store begins to lose answers" : "no disruption");
    sleepFor(0.5);
    addServer();
    sleepFor(LossSeconds - 0.5);
    const int given = answers() - before;
    const int lost = relays[0]->path->lost() + relays[1]->path->lost();
    record.line("the store loses no answers any more; it gave %d and lost %d", given, lost);
    if (hasTrouble() && (lost != 2 || lost > 0.35 * (given + lost))) {
        std::printf("%d answers given, %d lost\n", given, lost);
        finish(CouldNotRun);
    }
    sleepFor(SoundSeconds);
    // The one that gets most of the requests.
    Backend &leaving = **std::max_element(
        servers.begin(), servers.end(), [](const auto &left, const auto &right) { return left->arrivals().size() < right->arrivals().size(); });
    store.put("servers", leaving.id(), leaving.registration("draining"));
    const double acknowledgedAt = now();
    record.line("acknowledged: server %s is draining", leaving.id().c_str());
    sleepFor(LeavingSeconds);
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    int late = 0;
    double last = 0;
    for (const double at : leaving.arrivals()) {
        if (at > acknowledgedAt + DrainSeconds) {
            ++late;
            last = at - acknowledgedAt;
        }
    }
    std::printf("%d requests, %d served; the store gave %d answers and lost %d; %d requests reached the leaving server later than %.0f s after its acknowledgement, the last "
                "one %.1f s after it\n",
                sent.load(), served.load(), given, lost, late, DrainSeconds, last);
    record.line("%d requests later than %.0f s after the acknowledgement, the last one %.3f s after it", late, DrainSeconds, last);
    finish(late > 0 ? Broken : served > 0 ? Held : CouldNotRun);
}
