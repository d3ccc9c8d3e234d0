// Backends break off some of their answers, or late second answers, at any byte, and close the connection in order.
#include "harness.h"

using namespace Review;

namespace
{

constexpr double BrokenShare = 0.03; // of the answers of three in five backends
constexpr double BreaksFor = 5.0;
constexpr int DeadlineMs = 1000;
constexpr int Clients = 60;

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
    for (int number = 0; number < 10; ++number) {
        backends.push_back(std::make_unique<Backend>(store,
                                                     runs,
                                                     record,
                                                     "127.0.1." + std::to_string(number + 1),
                                                     "i-" + std::to_string(number),
                                                     number < 5 ? "readings" : "payments",
                                                     "zone-a",
                                                     0.03,
                                                     12));
    }
    store.put("config",
              "main",
              configuration(3,
                            Json::array({route("r-1", "read.example", "/read/", "safe", 1.0, "readings"),
                                         route("r-2", "pay.example", "/pay/", "unsafe", 1.0, "payments")}),
                            Json::array({serviceEntry("readings"), serviceEntry("payments")})));
    std::vector<std::unique_ptr<EntryVm>> vms;
    for (int number = 0; number < 2; ++number) {
        const std::string text = std::to_string(number + 1);
        vms.push_back(std::make_unique<EntryVm>(record, argv[2], "entry-" + text, "127.0.2." + text, "zone-a", store.address()));
        vms.back()->start();
    }
    for (const auto &vm : vms) {
        if (!vm->waitUntilReady(20)) {
            record.say(vm->name() + " does not become ready");
            std::_Exit(CannotRun);
        }
    }
    sleepFor(5);
    if (!isCalm()) {
        for (int number = 0; number < 10; ++number) {
            backends[static_cast<std::size_t>(number)]->breakOff(number % 5 < 3 ? BrokenShare : 0);
        }
        record.say("three in five backends of each service spoil three answers in a hundred");
    }
    std::mutex mutex;
    std::map<int, int> statuses;
    int mixed = 0;
    int foreign = 0;
    std::vector<std::thread> threads;
    const double end = now() + BreaksFor;
    for (int number = 0; number < Clients; ++number) {
        threads.emplace_back([&, number] {
            Client client(vms[static_cast<std::size_t>(number) % vms.size()]->callers());
            while (now() < end) {
                const bool isPayment = number % 2 == 0;
                const std::string id = nextId();
                const Reply reply = isPayment ? client.ask("POST", "pay.example", "/pay/1", id, DeadlineMs, "amount=1")
                                              : client.ask("GET", "read.example", "/read/1", id, DeadlineMs);
                const bool isMixed = reply.status == 200 && reply.message.body != Backend::bodyFor(id);
                record.line((isPayment ? "sent    " + id + " POST /pay/1; answered " : "sent    " + id + " GET /read/1; answered ")
                            + std::to_string(reply.status));
                const std::string stamp = reply.message.header("x-cloverbarrow-server-stamp");
                const bool isForeign = isMixed && !stamp.ends_with("." + id);
                if (isMixed) {
                    record.line("mixed   " + id + ": success with a body of " + std::to_string(reply.message.body.size()) + " bytes, stamp " + stamp);
                }
                {
                    const std::lock_guard lock(mutex);
                    ++statuses[reply.status];
                    mixed += isMixed ? 1 : 0;
                    foreign += isForeign ? 1 : 0;
                }
                sleepFor(0.05);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::size_t broken = 0;
    for (const auto &backend : backends) {
        broken += backend->brokenOff().size();
    }
    std::string text;
    for (const auto &[status, count] : statuses) {
        text += " " + std::to_string(status) + ": " + std::to_string(count) + ";";
    }
    record.say("answers by status:" + text + " spoiled by backends: " + std::to_string(broken) + "; successes without the backend's whole body: "
               + std::to_string(mixed) + ", of these with the stamp of another request: " + std::to_string(foreign));
    const bool isBroken = mixed > 0;
    record.say(isBroken ? "rule MIXED is broken" : "the rule held");
    for (const auto &vm : vms) {
        vm->kill(SIGKILL);
    }
    std::_Exit(isBroken ? RuleBroken : RuleHeld);
}
