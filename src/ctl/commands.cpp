/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "ctl/commands.h"

#include "ctl/burncommand.h"
#include "ctl/explaincommand.h"
#include "ctl/output.h"
#include "ctl/session.h"
#include "ctl/statuscommand.h"
#include "net/textfile.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <functional>
#include <iostream>
#include <optional>
#include <span>
#include <thread>

namespace Cloverbarrow
{

namespace
{

constexpr auto PollInterval = std::chrono::milliseconds(100);

struct Command {
    const char *name;
    std::size_t argumentCount;
    const char *help;
    std::function<CtlExit(const Session &)> run;
};

std::string timeText(std::int64_t milliseconds)
{
    const std::time_t seconds = milliseconds / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    constexpr std::size_t Size = 32;
    char buffer[Size];
    std::strftime(buffer, Size, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return buffer;
}

void requireAuthorAndReason(const CtlOptions &options)
{
    if (options.author.empty() || options.reason.empty()) {
        throw std::invalid_argument("each change needs --author and --reason");
    }
}

void printChange(const Session &session, const Wire::ApplyResult &result, bool isAccepted)
{
    if (session.options.isJson) {
        session.print({{"version", result.version}, {"accepted", isAccepted}, {"diff", result.diff}});
        return;
    }
    session.out << result.diff << (isAccepted ? "accepted as version " : "dry run; in force is version ") << result.version << "\n";
}

CtlExit apply(const Session &session)
{
    const auto document = readTextFile(session.arguments[0]);
    if (!document) {
        session.err << "read configuration: cannot open " << session.arguments[0] << "\n";
        return CtlExit::Usage;
    }
    if (session.options.expectedVersion < 0) {
        throw std::invalid_argument("apply needs --expect_version; 0 means that no configuration is in force yet");
    }
    requireAuthorAndReason(session.options);
    Wire::ApplyRequest request;
    request.document = *document;
    request.expectedVersion = session.options.expectedVersion;
    request.author = session.options.author;
    request.reason = session.options.reason;
    request.isDryRun = session.options.isDryRun;
    Wire::ApplyResult result;
    session.connect()->apply(result, request);
    printChange(session, result, !request.isDryRun);
    return CtlExit::Done;
}

CtlExit get(const Session &session)
{
    Wire::AcceptedIntent intent;
    session.connect()->get(intent);
    if (session.options.isJson) {
        session.print({{"version", intent.version}, {"document", intent.document}, {"drains", intent.drains}});
        return CtlExit::Done;
    }
    session.out << "# version " << intent.version << "\n";
    for (const std::string &drain : intent.drains) {
        session.out << "# drained: " << drain << "\n";
    }
    session.out << intent.document;
    return CtlExit::Done;
}

CtlExit history(const Session &session)
{
    std::vector<Wire::Change> changes;
    session.connect()->history(changes);
    Json json = Json::array();
    Table table({"OVER VERSION", "TIME", "AUTHOR", "WHAT", "REASON"});
    for (const Wire::Change &change : changes) {
        json.push_back(
            {{"over_version", change.overVersion}, {"time_ms", change.timeMs}, {"author", change.author}, {"what", change.what}, {"reason", change.reason}});
        table.add({std::to_string(change.overVersion), timeText(change.timeMs), change.author, change.what, change.reason});
    }
    if (session.options.isJson) {
        session.print(json);
    } else {
        session.out << table.toString();
    }
    return CtlExit::Done;
}

bool isLiveOrSuspect(const Wire::EntryVmStatus &vm)
{
    return vm.state == "live" || vm.state == "suspect";
}

/// @return names of live entry VMs that have not reported @p version or a later one as active.
std::vector<std::string> entryVmsBehind(const Wire::Status &status, std::int64_t version)
{
    std::vector<std::string> names;
    for (const Wire::EntryVmStatus &vm : status.entryVms) {
        if (isLiveOrSuspect(vm) && vm.configurationVersion < version) {
            names.push_back(vm.name);
        }
    }
    return names;
}

CtlExit wait(const Session &session)
{
    if (session.options.version <= 0) {
        throw std::invalid_argument("wait needs --version");
    }
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(session.options.timeoutMs);
    while (true) {
        Wire::Status status;
        session.connect()->status(status);
        const auto vmsBehind = entryVmsBehind(status, session.options.version);
        const bool isOver = vmsBehind.empty() || std::chrono::steady_clock::now() >= deadline;
        if (!isOver) {
            std::this_thread::sleep_for(PollInterval);
            continue;
        }
        if (session.options.isJson) {
            session.print({{"version", session.options.version}, {"in_force_everywhere", vmsBehind.empty()}, {"behind", vmsBehind}});
        } else if (vmsBehind.empty()) {
            session.out << "version " << session.options.version << " is in force on every live entry VM\n";
        } else {
            session.out << "version " << session.options.version << " is not in force on:\n";
            for (const std::string &name : vmsBehind) {
                session.out << "  " << name << "\n";
            }
        }
        return vmsBehind.empty() ? CtlExit::Done : CtlExit::Incomplete;
    }
}

CtlExit drain(const Session &session)
{
    requireAuthorAndReason(session.options);
    const std::string &name = session.arguments[0];
    const std::size_t slash = name.find('/');
    if (slash == std::string::npos) {
        throw std::invalid_argument("drain takes SERVICE/BACKEND");
    }
    Wire::DrainRequest request;
    request.serviceName = name.substr(0, slash);
    request.backend = name.substr(slash + 1);
    request.isDrained = !session.options.isUndo;
    request.author = session.options.author;
    request.reason = session.options.reason;
    Wire::ApplyResult result;
    session.connect()->drain(result, request);
    printChange(session, result, true);
    return CtlExit::Done;
}

CtlExit payout(const Session &session)
{
    std::vector<Wire::PayoutStatus> records;
    session.connect()->payout(records, session.arguments[0]);
    Json json = Json::array();
    Table table({"SERVICE", "KEY", "STATE", "CREATED BY", "STATUS", "RESULT"});
    for (const Wire::PayoutStatus &record : records) {
        json.push_back({{"service", record.serviceName},
                        {"key", record.key},
                        {"state", record.state},
                        {"creator", record.creator},
                        {"status", record.status},
                        {"result", record.result}});
        std::string result = record.result;
        std::replace(result.begin(), result.end(), '\n', ' ');
        table.add({record.serviceName, record.key, record.state, record.creator, std::to_string(record.status), result});
    }
    if (session.options.isJson) {
        session.print(json);
    } else if (records.empty()) {
        session.out << "no payout instruction is known under " << session.arguments[0] << "\n";
    } else {
        session.out << table.toString();
    }
    return records.empty() ? CtlExit::Failed : CtlExit::Done;
}

const std::vector<Command> &commands()
{
    static const std::vector<Command> all = {
        {"apply", 1, "apply FILE --expect_version=N --author=A --reason=R [--dry_run]: change the configuration", apply},
        {"get", 0, "get: print the configuration in force", get},
        {"history", 0, "history: list accepted changes", history},
        {"wait", 0, "wait --version=N [--timeout_ms=T]: until every live entry VM has it in force", wait},
        {"status", 0, "status: entry VMs, backend servers, measuring shares", printStatus},
        {"drain", 1, "drain SERVICE/BACKEND --author=A --reason=R [--undo]: send it no new work", drain},
        {"payout", 1, "payout KEY: what is known of a payout instruction", payout},
        {"report", 1, "report burn [--plot=FILE.svg]: burn of the service-level objectives", reportBurn},
    };
    return all;
}

CtlExit exitOf(Wire::FailureKind::type kind)
{
    switch (kind) {
    case Wire::FailureKind::CONFLICT:
        return CtlExit::Conflict;
    case Wire::FailureKind::INVALID:
        return CtlExit::InvalidInput;
    case Wire::FailureKind::UNKNOWN:
        return CtlExit::Unknown;
    case Wire::FailureKind::UNAVAILABLE:
        return CtlExit::Unavailable;
    case Wire::FailureKind::NOT_FOUND:
        break;
    }
    return CtlExit::Failed;
}

CtlExit printFailure(const Session &session, const Wire::Failure &failure)
{
    session.err << failure.step << " at " << failure.peer << ": " << failure.message << "\n";
    for (const std::string &fault : failure.faults) {
        session.err << "  " << fault << "\n";
    }
    if (failure.kind == Wire::FailureKind::CONFLICT) {
        session.err << "in force is version " << failure.currentVersion << "; from it to what was sent:\n" << failure.diff;
    }
    return exitOf(failure.kind);
}

bool isChange(const std::string &name)
{
    return name == "apply" || name == "drain";
}

} // namespace

CtlExit runCommand(const CtlOptions &options, const std::vector<std::string> &words, std::ostream &out, std::ostream &err)
{
    if (!words.empty() && words.front() == "explain") {
        return explainRequest(std::span(words).subspan(1), std::cin, out, err);
    }
    const auto &all = commands();
    const auto found = std::find_if(all.begin(), all.end(), [&words](const Command &command) { return !words.empty() && command.name == words.front(); });
    if (found == all.end() || words.size() != found->argumentCount + 1) {
        err << usageText();
        return CtlExit::Usage;
    }
    const Session session{options, {words.begin() + 1, words.end()}, out, err};
    try {
        return found->run(session);
    } catch (const Wire::Failure &failure) {
        return printFailure(session, failure);
    } catch (const std::invalid_argument &exception) {
        err << exception.what() << "\n";
        return CtlExit::Usage;
    } catch (const apache::thrift::transport::TTransportException &exception) {
        const bool mayBeAccepted =
            isChange(words.front()) && !options.isDryRun && exception.getType() != apache::thrift::transport::TTransportException::NOT_OPEN;
        err << "call administration API at " << options.admin << ": " << exception.what() << "\n";
        if (mayBeAccepted) {
            err << "the change may or may not stand; look with history\n";
        }
        return mayBeAccepted ? CtlExit::Unknown : CtlExit::Failed;
    } catch (const apache::thrift::TException &exception) {
        err << "call administration API at " << options.admin << ": " << exception.what() << "\n";
        return CtlExit::Failed;
    }
}

std::string usageText()
{
    std::string text = "cloverbarrowctl --admin=IP:PORT [--output=json] COMMAND\n";
    for (const Command &command : commands()) {
        text += std::string("  ") + command.help + "\n";
    }
    text += "  explain ID [LOG...]: the story of a request from collected logs, or from the standard input\n";
    return text;
}

} // namespace Cloverbarrow
