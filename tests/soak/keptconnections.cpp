/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "keptconnections.h"

#include "core/directory/directoryevents.h"
#include "core/support/random.h"
#include "names.h"
#include "net/bootclock.h"
#include "rawcaller.h"

#include <map>
#include <sstream>

namespace Cloverbarrow::Soak
{

namespace
{

constexpr const char *AnsweredInvariant = "a request on a kept connection is answered or not read";
// A request sent later than this before the end of its connection may be lost.
constexpr Duration LossSlack = milliseconds(200);
// Far longer than the route's timeout and any pause of a process together.
constexpr int AnswerTimeoutMs = 25'000;
constexpr int ResetTimeoutMs = 5000;
constexpr std::size_t RequestsPerWrite = 2;
// Pauses between requests, in hundredths of the idle limit.
constexpr std::size_t MinPauseShare = 60;
constexpr std::size_t MaxPauseShare = 140;
// Each other entry VM waits at a relay for changes of each collection and for a proof.
constexpr std::size_t WaitingRequestsPerPeer = CollectionCount + 1;
constexpr int MaxCountChecks = 100;
constexpr auto CountCheckInterval = std::chrono::milliseconds(100);

/// Values of cloverbarrow_connection_requests by side and state.
using RequestCounts = std::map<std::string, std::map<std::string, double>>;

RequestCounts requestCountsIn(const std::string &metrics)
{
    constexpr std::string_view Prefix = "cloverbarrow_connection_requests{side=\"";
    constexpr std::string_view Separator = "\",state=\"";
    RequestCounts counts;
    std::istringstream lines(metrics);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t separator = line.find(Separator);
        const std::size_t end = line.find("\"} ");
        if (line.starts_with(Prefix) && separator != std::string::npos && end != std::string::npos) {
            const std::size_t state = separator + Separator.size();
            counts[line.substr(Prefix.size(), separator - Prefix.size())][line.substr(state, end - state)] = std::stod(line.substr(end + 3));
        }
    }
    return counts;
}

/// @return what is wrong with the counts; empty if every request is accounted for.
std::string faultIn(const RequestCounts &counts, std::size_t otherEntryVms)
{
    if (!counts.contains("caller") || !counts.contains("peer")) {
        return "the metrics have no counts";
    }
    for (const auto &[side, states] : counts) {
        const std::size_t waiting = side == "peer" ? WaitingRequestsPerPeer * otherEntryVms : 0;
        const bool isBalanced = states.at("read") == states.at("answered") + states.at("left_by_caller") + states.at("unanswered") + states.at("in_flight");
        if (isBalanced && states.at("in_flight") <= static_cast<double>(waiting) && states.at("unanswered") == 0 && states.at("dropped_input") == 0) {
            continue;
        }
        std::ostringstream text;
        text << side << ":";
        for (const auto &[state, value] : states) {
            text << " " << state << " " << value;
        }
        return text.str();
    }
    return {};
}

} // namespace

/// An open connection to the process that listened when it was opened.
class KeptConnection
{
public:
    explicit KeptConnection(const EntryAddress &entry)
        : process(entry.start)
        , caller(entry.callers)
    {
    }

    ProcessStart process;
    Tests::RawCaller caller;
};

KeptConnectionCallers::KeptConnectionCallers(const SoakSite &site, int count, std::uint64_t seed)
    : site_(site)
{
    for (int number = 0; number < count; ++number) {
        threads_.emplace_back([this, number, seed] { run(number, seed); });
    }
}

KeptConnectionCallers::~KeptConnectionCallers()
{
    stop();
}

void KeptConnectionCallers::stop()
{
    isStopping_ = true;
    for (std::thread &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

std::vector<Violation> KeptConnectionCallers::violations() const
{
    return violations_;
}

std::string KeptConnectionCallers::figures() const
{
    return std::to_string(sent_) + " on kept connections, " + std::to_string(answered_) + " answered, " + std::to_string(reset_) + " reset";
}

void KeptConnectionCallers::run(int number, std::uint64_t seed)
{
    Random random(seed * 1000 + static_cast<std::uint64_t>(number));
    int sent = 0;
    while (!isStopping_) {
        KeptConnection connection(site_.entryAddress(random.below(site_.entryVms())));
        bool isUsable = true;
        while (isUsable && !isStopping_) {
            const std::string id = "k" + std::to_string(number) + "-" + std::to_string(++sent) + "-k";
            isUsable = send(connection, id, random.below(RequestsPerWrite) == 0);
            const std::size_t share = MinPauseShare + random.below(MaxPauseShare - MinPauseShare);
            std::this_thread::sleep_for(site_.idleTimeout() * share / 100);
        }
    }
}

bool KeptConnectionCallers::send(KeptConnection &connection, const std::string &id, bool isWrite)
{
    const std::string head = (isWrite ? "POST /pay/" : "GET /read/") + id + " HTTP/1.1\r\nHost: a.example\r\n" + Platform::RequestIdHeader + ": " + id + "\r\n"
        + Platform::DeadlineMsHeader + ": 4000\r\n";
    const TimePoint sentAt = bootNow();
    connection.caller.send(head + (isWrite ? "Content-Length: 7\r\n\r\nmonto=1" : "\r\n"));
    ++sent_;
    // May start with the rest of the previous answer's body.
    const std::string read = connection.caller.readUntil("\r\n\r\n", 1, AnswerTimeoutMs);
    const Duration after = bootNow() - sentAt;
    if (read.find("\r\n\r\n") != std::string::npos) {
        ++answered_;
        return read.find("Connection: close") == std::string::npos;
    }
    if (connection.caller.isReset(ResetTimeoutMs)) {
        ++reset_;
    } else if (after > LossSlack && !site_.wasKilled(connection.process)) {
        addViolation(connection.process, id, after < milliseconds(AnswerTimeoutMs) ? "read, and ended without an answer" : "no answer", after);
    }
    return false;
}

void KeptConnectionCallers::addViolation(const ProcessStart &process, const std::string &id, const std::string &what, Duration after)
{
    const std::lock_guard lock(mutex_);
    violations_.push_back({AnsweredInvariant,
                           id + " at entry-" + std::to_string(process.entryVm) + "." + std::to_string(process.number) + ": " + what + ", "
                               + std::to_string(static_cast<int>(toMilliseconds(after))) + " ms after it was sent"});
}

std::vector<Violation> violationsOfConnectionCounts(const SoakSite &site)
{
    BlockingClient client;
    std::vector<Violation> violations;
    for (std::size_t entryVm = 0; entryVm < site.entryVms(); ++entryVm) {
        const EntryAddress entry = site.entryAddress(entryVm);
        std::string fault = "no metrics";
        for (int check = 0; check < MaxCountChecks && !fault.empty(); ++check) {
            const HttpOutcome outcome = client.send(entry.operations, callerRequest("GET", "x", "/metrics", "m"), seconds(3));
            const auto *answer = std::get_if<HttpAnswer>(&outcome);
            fault = answer && answer->status == 200 ? faultIn(requestCountsIn(std::string(answer->body)), site.entryVms() - 1) : "no metrics";
            if (!fault.empty()) {
                std::this_thread::sleep_for(CountCheckInterval);
            }
        }
        if (!fault.empty()) {
            violations.push_back({"each request that an entry VM has read is accounted for", "entry-" + std::to_string(entryVm) + ": " + fault});
        }
    }
    return violations;
}

} // namespace Cloverbarrow::Soak
