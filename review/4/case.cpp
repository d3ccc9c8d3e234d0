// Users come at once. Each sends one document on a kept connection and a small request now and then. Like the platform, the script kills the entry VM
// when it exceeds its memory. Other clients have payments at work all the while.
#include "harness.h"

#include <fstream>

using namespace Review;

namespace
{

constexpr double MemoryMb = 260; // limits.memory_mb of the machine
constexpr std::size_t DocumentBytes = 4 * 1024 * 1024; // the limit is 64 MB
constexpr int UsualUsers = 36;
constexpr double Burst = 1.8;
constexpr double BurstFor = 3.2;
constexpr double RouteTimeout = 5.0;
constexpr int DeadlineMs = 5000;
constexpr int Payers = 12;
constexpr double Pause = 6.0; // between the requests of a user; the idle limit is 15 s

double residentMb(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (file >> word) {
        if (word == "VmRSS:") {
            double kilobytes = 0;
            file >> kilobytes;
            return kilobytes / 1024;
        }
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return CannotRun;
    }
    ::signal(SIGPIPE, SIG_IGN);
    Record record(argv[1]);
    Runs runs;
    Store store("127.0.0.1");
    std::vector<std::unique_ptr<Backend>> backends;
    for (int number = 0; number < 6; ++number) {
        const bool isPayments = number % 2 == 0;
        backends.push_back(std::make_unique<Backend>(store,
                                                     runs,
                                                     record,
                                                     "127.0.1." + std::to_string(number + 1),
                                                     "i-" + std::to_string(number),
                                                     isPayments ? "payments" : "documents",
                                                     "zone-a",
                                                     isPayments ? 0.6 : 0.03,
                                                     12));
    }
    store.put("config",
              "main",
              configuration(3,
                            Json::array({route("r-1", "docs.example", "/docs/", "safe", RouteTimeout, "documents"),
                                         route("r-2", "pay.example", "/pay/", "unsafe", RouteTimeout, "payments")}),
                            Json::array({serviceEntry("documents"), serviceEntry("payments")})));
    EntryVm vm(record, argv[2], "entry-1", "127.0.2.1", "zone-a", store.address());
    vm.start();
    if (!vm.waitUntilReady(20)) {
        record.say("the entry VM does not become ready");
        std::_Exit(CannotRun);
    }
    record.say("memory: " + std::to_string(residentMb(vm.pid())) + " MB");

    std::atomic<bool> isOver{false};
    std::atomic<bool> isKilled{false};
    std::atomic<double> peakMb{0};
    std::thread platform([&] {
        while (!isOver && !isKilled) {
            const double used = residentMb(vm.pid());
            peakMb = std::max<double>(peakMb, used);
            if (used > MemoryMb) {
                record.say("memory: " + std::to_string(used) + " MB, over the limit of 260 MB; the platform kills the process");
                isKilled = true;
                vm.kill(SIGKILL);
            }
            sleepFor(0.02);
        }
    });

    std::atomic<int> paid{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> threads;
    for (int number = 0; number < Payers; ++number) {
        threads.emplace_back([&, number] {
            sleepFor(0.05 * number);
            Client client(vm.callers());
            while (!isOver && !isKilled) {
                const std::string id = nextId();
                record.line("sent    " + id + " POST /pay/1");
                const Reply reply = client.ask("POST", "pay.example", "/pay/1", id, DeadlineMs, "amount=1");
                record.line("answer  " + id + " " + (reply.status != 0 ? std::to_string(reply.status) : std::string("none, the connection has ended")));
                paid += reply.status == 200 ? 1 : 0;
                const bool isCut = reply.isConnected && (reply.end == ReadEnd::Closed || reply.end == ReadEnd::Reset);
                lost += isCut && runs.count(id) > 0 ? 1 : 0;
            }
        });
    }
    std::atomic<int> sent{0};
    const auto addUser = [&](int number) {
        threads.emplace_back([&, number] {
            sleepFor(0.1 * number);
            Client client(vm.callers());
            std::string id = nextId();
            Reply reply = client.ask("POST", "docs.example", "/docs/1", id, DeadlineMs, std::string(DocumentBytes, 'd'));
            record.line("sent    " + id + " POST /docs/1 with 4 MB; answered " + std::to_string(reply.status));
            sent += reply.status == 200 ? 1 : 0;
            while (!isOver && !isKilled) {
                for (const double until = now() + Pause; now() < until && !isOver && !isKilled; sleepFor(0.1)) { }
                id = nextId();
                reply = client.ask("GET", "docs.example", "/docs/1", id, DeadlineMs);
                record.line("sent    " + id + " GET /docs/1; answered " + std::to_string(reply.status));
            }
        });
    };
    for (int number = 0; number < UsualUsers; ++number) {
        addUser(number);
    }
    sleepFor(0.1 * UsualUsers + 3);
    record.say("users: " + std::to_string(UsualUsers) + ", documents sent: " + std::to_string(sent) + ", memory: " + std::to_string(residentMb(vm.pid()))
               + " MB");
    if (!isCalm()) {
        record.say("users come at once, 1.8 times as many in all");
        for (int number = 0; number < static_cast<int>(UsualUsers * (Burst - 1)); ++number) {
            addUser(number);
        }
    }
    for (const double until = now() + BurstFor; now() < until && !isKilled; sleepFor(0.1)) { }
    sleepFor(0.5);
    isOver = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    platform.join();
    record.say("documents sent: " + std::to_string(sent) + "; most memory: " + std::to_string(peakMb) + " MB; payments answered: " + std::to_string(paid)
               + "; connections that ended without an answer while the payment was at work: " + std::to_string(lost));
    const bool isBroken = lost > 3;
    record.say(isBroken ? "rule LOST is broken" : "the rule held");
    vm.kill(SIGKILL);
    std::_Exit(isBroken ? RuleBroken : RuleHeld);
}
