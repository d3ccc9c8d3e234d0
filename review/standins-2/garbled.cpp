/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

// Cases 6 and 7: the three busiest of ten servers of a service spoil each fiftieth of their answers for 5.5 s. `garbled length FOLDER RECORD` spoils the length,
// `garbled head FOLDER RECORD` a line of the head.

#include "world.h"

#include <array>
#include <numeric>

using namespace World;

namespace
{

constexpr int Servers = 10;
constexpr int GarblingServers = 3; // share 0.3, of 0.35 that the site names
constexpr int AnswersPerSpoiled = 50; // x 0.02
constexpr double GarbledSeconds = 5.5;
constexpr double CalmSeconds = 3;
constexpr int Clients = 24;
constexpr double RequestsPerSecond = 72.9;

bool isTokenCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || std::strchr("!#$%&'*+-.^_`|~", character) != nullptr;
}

/// @return the first line of an answer's head that is none in HTTP/1.1 (RFC 9112, 4 and 5); empty if there is none.
std::string badLine(const std::string &head)
{
    std::size_t at = 0;
    for (bool isFirst = true; at + 2 < head.size(); isFirst = false) {
        const std::size_t end = head.find("\r\n", at);
        const std::string line = head.substr(at, end - at);
        at = end + 2;
        const auto isControl = [](unsigned char character) { return (character < 0x20 && character != '\t') || character == 0x7f; };
        const std::size_t colon = line.find(':');
        const bool isName = colon != std::string::npos && colon > 0 && std::all_of(line.begin(), line.begin() + static_cast<long>(colon), isTokenCharacter);
        const bool isStatus = line.rfind("HTTP/1.1 ", 0) == 0;
        if (std::any_of(line.begin(), line.end(), isControl) || (isFirst ? !isStatus : !isName)) {
            return line;
        }
    }
    return {};
}

} // namespace

int main(int, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    const bool spoilsLength = std::string(arguments[1]) == "length";
    Record record(arguments[3]);
    Store store;
    std::atomic<bool> isGarbling{false};
    std::atomic<int> garblersAnswers{0};
    std::atomic<int> spoiled{0};
    std::array<std::atomic<bool>, Servers> isGarbler{};
    std::vector<std::unique_ptr<Backend>> servers;
    for (int number = 0; number < Servers; ++number) {
        auto &server = *servers.emplace_back(std::make_unique<Backend>(record, "i-" + std::to_string(number), "polizas", "sala-a"));
        server.work = 0.09;
        server.answer = [&, number](Backend &self, int fd, const Message &request) {
            const std::string body = Backend::bodyFor(request, self.id(), 600);
            const Headers headers = self.headersFor(request, body);
            std::string text = answerText(200, body, headers);
            const bool counts = isGarbling && isGarbler[static_cast<std::size_t>(number)];
            const int count = counts ? ++garblersAnswers : 0;
            if (counts && count % AnswersPerSpoiled == 0) {
                const int turn = spoiled++;
                const std::size_t length = text.find("Content-Length: ");
                if (spoilsLength) {
                    // A second length, or a letter in it.
                    text.insert(text.find("\r\n", length), turn % 2 == 0 ? "\r\nContent-Length: 240" : "");
                    text.replace(length, 19, turn % 2 == 0 ? "Content-Length: 600" : "Content-Length: 60x");
                } else {
                    // A control character in a name, or a blank behind one.
                    text.insert(length, turn % 2 == 0 ? "Content\x01Type: text/plain\r\n" : "Content-Length : 7\r\n");
                }
                record.line("server %s SPOILS its answer to %s: %s", self.id().c_str(), find(request.headers, "x-cloverbarrow-request-id")->c_str(),
                            shown(text, 330).c_str());
            }
            return sendAll(fd, text);
        };
        server.start();
        store.put("servers", server.id(), server.registration());
    }
    store.put("config", "main", configuration(1, Json::array({route("polizas.example", "/polizas/", "polizas", "safe", 2, 0.25, 2)}), Json::array({serviceOf("polizas")})));
    store.start();
    EntryVm::Options options;
    options.store = store.address();
    options.folder = arguments[2];
    EntryVm entryVm(options);
    const auto finish = [&entryVm](int code) {
        entryVm.send(SIGKILL);
        std::fflush(stdout);
        std::_Exit(code);
    };
    if (!entryVm.awaitReady(15)) {
        std::puts("the entry VM isn't ready");
        finish(CouldNotRun);
    }

    std::atomic<bool> isOver{false};
    std::atomic<int> sent{0};
    std::atomic<int> good{0};
    std::atomic<int> failures{0};
    std::atomic<int> mixed{0};
    std::vector<std::thread> clients;
    for (int client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client] {
            int fd = -1;
            std::unique_ptr<Reader> reader;
            double next = now() + client / RequestsPerSecond;
            while (!isOver) {
                sleepFor(std::max(0.0, next - now()));
                next += Clients / RequestsPerSecond;
                if (fd < 0) {
                    fd = connectTo(entryVm.callers);
                    reader = std::make_unique<Reader>(fd);
                }
                const std::string id = "c" + std::to_string(client) + "-" + std::to_string(sent++);
                sendAll(fd, requestText("GET", "polizas.example", "/polizas/" + id, id, 2000));
                Message answer;
                const bool isWhole = reader->readAnswer(answer, 2.5);
                const std::string bad = isWhole ? badLine(answer.head) : std::string();
                const auto stamp = find(answer.headers, "x-cloverbarrow-server-stamp");
                const std::string signature = "." + std::to_string(answer.body.size()) + "." + std::to_string(hashOf(answer.body));
                const bool isSuccess = isWhole && answer.status / 100 == 2;
                const bool isSigned = stamp && stamp->size() > signature.size() && stamp->substr(stamp->size() - signature.size()) == signature;
                std::string fault;
                if (!bad.empty()) {
                    fault = "a line that is none in the protocol: " + shown(bad);
                } else if (isSuccess && !isSigned) {
                    fault = "a success whose body of " + std::to_string(answer.body.size()) + " bytes isn't the server's whole body: " + shown(answer.head);
                }
                good += isSuccess && fault.empty() ? 1 : 0;
                failures += isSuccess ? 0 : 1;
                if (!fault.empty()) {
                    ++mixed;
                    record.line("client gets for %s: status %d, MIXED: %s", id.c_str(), answer.status, fault.c_str());
                } else if (!isSuccess) {
                    record.line("client gets for %s: status %d", id.c_str(), answer.status);
                }
                const auto connection = find(answer.headers, "connection");
                if (!isWhole || !fault.empty() || (connection && isSame(*connection, "close"))) {
                    ::close(fd);
                    fd = -1;
                }
            }
        });
    }
    sleepFor(CalmSeconds);
    // Those that get most of the requests. Others may get none in this time.
    std::vector<std::size_t> busiest(Servers);
    std::iota(busiest.begin(), busiest.end(), std::size_t(0));
    std::sort(busiest.begin(), busiest.end(), [&servers](std::size_t left, std::size_t right) { return servers[left]->ran().size() > servers[right]->ran().size(); });
    for (int place = 0; place < GarblingServers; ++place) {
        isGarbler[busiest[static_cast<std::size_t>(place)]] = true;
        record.line("%s: %s", servers[busiest[static_cast<std::size_t>(place)]]->id().c_str(), hasTrouble() ? "garbles" : "no disruption");
    }
    isGarbling = hasTrouble();
    sleepFor(GarbledSeconds);
    isGarbling = false;
    record.line("the servers are sound again");
    sleepFor(CalmSeconds);
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    std::printf("%d requests, %d served, %d others; %d of %d answers of the garbling servers spoiled; MIXED %d times\n", sent.load(), good.load(), failures.load(),
                spoiled.load(), garblersAnswers.load(), mixed.load());
    record.line("%d requests, %d served, %d others, %d spoiled, MIXED %d times", sent.load(), good.load(), failures.load(), spoiled.load(), mixed.load());
    const bool didRun = good > 0 && (!hasTrouble() || spoiled > 0);
    finish(mixed > 0 ? Broken : didRun ? Held : CouldNotRun);
}
