/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/adminservice.h"

#include "core/intent/configurationparser.h"
#include "core/support/textdiff.h"
#include "net/bootclock.h"
#include "net/digest.h"

#include <algorithm>
#include <future>

namespace Cloverbarrow
{

namespace
{

constexpr std::size_t ChangeIdBytes = 16;
// The history is stored in the configuration's object, whose size is limited.
constexpr std::size_t MaxTextBytes = 500;

Wire::Failure failure(Wire::FailureKind::type kind, std::string step, std::string peer, std::string message)
{
    Wire::Failure made;
    made.kind = kind;
    made.step = std::move(step);
    made.peer = std::move(peer);
    made.message = std::move(message);
    return made;
}

void requireText(const std::string &text, const std::string &name)
{
    if (text.empty() || text.size() > MaxTextBytes) {
        const std::string bound = std::to_string(MaxTextBytes);
        throw failure(Wire::FailureKind::INVALID, "check change", "operator", "each change needs its " + name + ", of at most " + bound + " bytes");
    }
}

void requireValid(const std::string &document)
{
    const auto parsed = parseConfiguration(document);
    if (const auto *faults = std::get_if<std::vector<DocumentFault>>(&parsed)) {
        auto invalid = failure(Wire::FailureKind::INVALID, "check configuration", "operator", "the configuration is not valid; nothing was changed");
        for (const DocumentFault &fault : *faults) {
            invalid.faults.push_back(fault.toString("configuration"));
        }
        throw invalid;
    }
}

AcceptedChange changeOf(const std::string &author, const std::string &reason, std::string description, std::int64_t baseVersion)
{
    return {randomHex(ChangeIdBytes), author, reason, wallMilliseconds(), std::move(description), baseVersion};
}

void addChange(OperatorIntent &intent, AcceptedChange change)
{
    intent.history.push_back(std::move(change));
    if (intent.history.size() > MaxHistory) {
        intent.history.erase(intent.history.begin());
    }
}

/// Visitor that returns an accepted change and throws a Wire::Failure for any other outcome.
struct AcceptedOrThrow {
    const std::string &sent;

    ChangeAccepted operator()(const ChangeAccepted &outcome) const
    {
        return outcome;
    }

    ChangeAccepted operator()(const ChangeConflict &outcome) const
    {
        auto conflict = failure(Wire::FailureKind::CONFLICT, "accept change", "platform", "another change came first; nothing was changed");
        conflict.currentVersion = outcome.version;
        if (const auto decoded = decodeIntentUnchecked(outcome.value)) {
            conflict.diff = diffLines(decoded.value().document, sent);
        }
        throw conflict;
    }

    ChangeAccepted operator()(const ChangeNotMade &) const
    {
        throw failure(Wire::FailureKind::UNAVAILABLE, "accept change", "platform", "the platform does not answer; nothing was changed");
    }

    ChangeAccepted operator()(const ChangeUnknown &) const
    {
        throw failure(Wire::FailureKind::UNKNOWN, "accept change", "platform", "the platform's answer was lost; read back whether the change stands");
    }
};

} // namespace

AdminService::AdminService(PlatformClient &platform, Telemetry &telemetry)
    : platform_(platform)
    , telemetry_(telemetry)
    , startedAt_(bootNow())
{
}

void AdminService::open(ServiceContext context)
{
    context_ = context;
    isOpen_ = true;
}

void AdminService::apply(Wire::ApplyResult &result, const Wire::ApplyRequest &request)
{
    requireOpen();
    requireText(request.author, "author");
    requireText(request.reason, "reason");
    requireValid(request.document);
    const StoreFound found = readIntent();
    OperatorIntent next = decode(found);
    result.version = found.version;
    result.diff = diffLines(next.document, request.document);
    if (found.version != request.expectedVersion) {
        auto conflict = failure(Wire::FailureKind::CONFLICT, "accept change", "platform", "another version is in force; nothing was changed");
        conflict.currentVersion = found.version;
        conflict.diff = result.diff;
        throw conflict;
    }
    if (request.isDryRun) {
        return;
    }
    next.document = request.document;
    addChange(next, changeOf(request.author, request.reason, "apply configuration", found.version));
    result.version = commitChange(found.version, next);
}

void AdminService::get(Wire::AcceptedIntent &result)
{
    requireOpen();
    const auto intent = context_.node->intent();
    if (!intent) {
        throw failure(Wire::FailureKind::NOT_FOUND, "get configuration", "entry VM", "no configuration is in force here yet");
    }
    result.version = intent->version;
    result.document = intent->intent.document;
    result.drains = intent->intent.drains;
}

void AdminService::history(std::vector<Wire::Change> &result)
{
    requireOpen();
    if (const auto intent = context_.node->intent()) {
        for (const AcceptedChange &change : intent->intent.history) {
            Wire::Change reported;
            reported.author = change.author;
            reported.reason = change.reason;
            reported.timeMs = change.timeMs;
            reported.what = change.description;
            reported.overVersion = change.baseVersion;
            result.push_back(std::move(reported));
        }
    }
}

void AdminService::drain(Wire::ApplyResult &result, const Wire::DrainRequest &request)
{
    requireOpen();
    requireText(request.author, "author");
    requireText(request.reason, "reason");
    const StoreFound found = readIntent();
    OperatorIntent next = decode(found);
    const auto decoded = decodeIntent(found.version, found.value);
    const Service *service = decoded ? decoded.value()->configuration.findService(request.serviceName) : nullptr;
    const auto isNamed = [&request](const BackendServer &server) { return server.name == request.backend; };
    if (!service || std::none_of(service->backendServers.begin(), service->backendServers.end(), isNamed)) {
        throw failure(Wire::FailureKind::NOT_FOUND, "drain", "configuration", "no such backend server: " + request.serviceName + "/" + request.backend);
    }
    const std::string entry = request.serviceName + "/" + request.backend;
    std::erase(next.drains, entry);
    if (request.isDrained) {
        next.drains.push_back(entry);
    }
    result.diff = std::string(request.isDrained ? "+" : "-") + "drain " + entry + "\n";
    addChange(next, changeOf(request.author, request.reason, (request.isDrained ? "drain " : "undrain ") + entry, found.version));
    result.version = commitChange(found.version, next);
}

void AdminService::payout(std::vector<Wire::PayoutStatus> &result, const std::string &key)
{
    requireOpen();
    const auto intent = context_.node->intent();
    if (!intent) {
        throw failure(Wire::FailureKind::UNAVAILABLE, "look up payout", "entry VM", "no configuration is in force here yet");
    }
    for (const Service &service : intent->configuration.services) {
        const StoreResult read = callStore({payoutObject(service.name, key), StoreRead{}});
        if (std::holds_alternative<StoreMissing>(read)) {
            continue;
        }
        const auto *found = std::get_if<StoreFound>(&read);
        const auto record = found ? decodePayout(found->value) : std::nullopt;
        if (!record) {
            throw failure(Wire::FailureKind::UNAVAILABLE, "look up payout", "platform", "the record of service " + service.name + " cannot be read now");
        }
        Wire::PayoutStatus reported;
        reported.state = toString(record->state);
        reported.serviceName = service.name;
        reported.key = key;
        reported.creator = record->creator.name;
        reported.status = record->status;
        reported.result = record->result;
        result.push_back(std::move(reported));
    }
}

void AdminService::burn(Wire::BurnCounts &result)
{
    requireOpen();
    const TimePoint now = bootNow();
    result.countedSeconds = std::chrono::floor<seconds>(now - startedAt_).count();
    for (const Telemetry::Burn &burn : telemetry_.burn(now)) {
        Wire::BurnCount reported;
        reported.serviceName = burn.service;
        reported.kind = burn.kind;
        reported.windowSeconds = static_cast<std::int32_t>(std::chrono::floor<seconds>(burn.window).count());
        reported.total = burn.counts.total;
        reported.unavailable = burn.counts.unavailable;
        reported.slow = burn.counts.slow;
        result.counts.push_back(std::move(reported));
    }
}

void AdminService::requireOpen() const
{
    if (!isOpen_) {
        throw failure(Wire::FailureKind::UNAVAILABLE, "serve operator", "entry VM", "starting");
    }
}

StoreResult AdminService::callStore(StoreCall call)
{
    auto promise = std::make_shared<std::promise<StoreResult>>();
    auto answer = promise->get_future();
    platform_.call(std::move(call), [promise](StoreResult result) { promise->set_value(std::move(result)); });
    return answer.get();
}

StoreFound AdminService::readIntent()
{
    const StoreResult read = callStore({IntentObject, StoreRead{}});
    if (const auto *found = std::get_if<StoreFound>(&read)) {
        return *found;
    }
    if (std::holds_alternative<StoreMissing>(read)) {
        return {0, encodeIntent({})};
    }
    throw failure(Wire::FailureKind::UNAVAILABLE, "read configuration", "platform", "the platform does not answer; nothing was changed");
}

OperatorIntent AdminService::decode(const StoreFound &found) const
{
    if (found.version == 0) {
        return {};
    }
    const auto decoded = decodeIntentUnchecked(found.value);
    if (!decoded) {
        throw failure(Wire::FailureKind::INVALID, "read configuration", "platform", decoded.error().message);
    }
    return decoded.value();
}

std::int64_t AdminService::commitChange(std::int64_t expectedVersion, const OperatorIntent &next)
{
    IntentChange change(expectedVersion, next);
    std::optional<StoreCall> call = change.start();
    while (call) {
        call = change.resultReceived(callStore(std::move(*call)));
    }
    ChangeAccepted accepted = std::visit(AcceptedOrThrow{next.document}, *change.outcome());
    const std::int64_t version = accepted.version;
    // Activates the change here at once and forwards it to the peers, without waiting for their watches of the platform.
    context_.events->handle(ControlEvent(IntentAccepted{version, std::move(accepted.value)}));
    return version;
}

} // namespace Cloverbarrow
