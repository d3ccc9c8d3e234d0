/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/intent/configurationparser.h"

#include "core/support/address.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <set>

namespace Cloverbarrow
{

namespace
{

constexpr int MaxDeadlineMs = 600'000;
constexpr int MaxPerServer = 10'000;

constexpr std::size_t MaxNameBytes = 64;

/// Names are used in object names, metrics and commands, so their character set is restricted.
bool isName(std::string_view text)
{
    const auto isAllowed = [](unsigned char character) { return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.'; };
    return !text.empty() && text.size() <= MaxNameBytes && std::isalnum(static_cast<unsigned char>(text.front())) != 0
        && std::all_of(text.begin(), text.end(), isAllowed);
}

void readName(YamlReader &reader, const char *key, std::string &name)
{
    reader.text(key, name, true);
    if (!name.empty() && !isName(name)) {
        reader.fault(key, "1 to 64 letters, digits, dots, dashes and underscores, the first a letter or digit");
    }
}

void readKind(YamlReader &reader, RequestKind &kind)
{
    readName(reader, "name", kind.name);
    reader.texts("methods", kind.methods, true);
    reader.text("path", kind.path, true);
    if (!kind.path.empty() && kind.path.front() != '/') {
        reader.fault("path", "a pattern that starts with /");
    }
    std::string className = "read";
    reader.text("class", className, true);
    static const std::map<std::string, KindClass> classes = {{"read", KindClass::Read}, {"write", KindClass::Write}, {"payout", KindClass::Payout}};
    if (const auto found = classes.find(className); found != classes.end()) {
        kind.kindClass = found->second;
    } else {
        reader.fault("class", "read, write or payout");
    }
    reader.milliseconds("deadline_ms", kind.deadline, 1, MaxDeadlineMs);
}

void readBackendServer(YamlReader &reader, const Service &service, BackendServer &server)
{
    readName(reader, "name", server.name);
    reader.text("address", server.address, true);
    if (!isSocketAddress(server.address)) {
        reader.fault("address", "an IP number and a port, as in 10.0.0.1:8080");
    }
    reader.text("zone", server.zone, true);
    if (!server.zone.empty() && !service.allowsZone(server.zone)) {
        reader.fault("zone", "one of the service's places");
    }
}

void readRetry(YamlReader &reader, RetryRules &retry)
{
    reader.integer("max_attempts", retry.maxAttempts, 1, 10);
    reader.integer("budget_percent", retry.budgetPercent, 0, 100);
    reader.integer("hedge_percent", retry.hedgePercent, 0, 100);
    reader.integers("statuses", retry.statuses, 500, 599);
}

void readLimits(YamlReader &reader, ServiceLimits &limits)
{
    reader.integer("slots_per_server", limits.slotsPerServer, 1, MaxPerServer);
    reader.integer("connections_per_server", limits.connectionsPerServer, 1, MaxPerServer);
    reader.integer("max_in_flight", limits.maxInFlight, 1, 1'000'000);
}

void readProbeBudget(YamlReader &reader, ProbeBudget &budget)
{
    reader.integer("probes", budget.probes, 0, 100'000, true);
    reader.milliseconds("window_ms", budget.window, 10, MaxDeadlineMs);
    reader.text("path", budget.path, false);
    if (budget.path.empty() || budget.path.front() != '/') {
        reader.fault("path", "a path that starts with /");
    }
}

void readObjective(YamlReader &reader, const Service &service, Objective &objective)
{
    reader.text("kind", objective.kind, true);
    const auto isNamed = [&objective](const RequestKind &kind) { return kind.name == objective.kind; };
    if (std::none_of(service.kinds.begin(), service.kinds.end(), isNamed)) {
        reader.fault("kind", "the name of one of the service's kinds");
    }
    reader.real("availability_percent", objective.availabilityPercent, 1, 99.9999);
    reader.milliseconds("latency_ms", objective.latency, 1, MaxDeadlineMs);
    reader.real("latency_percent", objective.latencyPercent, 1, 99.9999);
}

template<typename T>
void requireDistinct(YamlReader &reader, const char *key, const std::vector<T> &items)
{
    std::set<std::string> names;
    for (const T &item : items) {
        if (!names.insert(item.name).second) {
            reader.fault(key, "distinct names, but " + item.name + " stands twice");
        }
    }
}

void readService(YamlReader &reader, Service &service)
{
    readName(reader, "name", service.name);
    reader.text("host", service.host, false);
    reader.text("path_prefix", service.pathPrefix, false);
    if (service.host.empty() && service.pathPrefix.empty()) {
        reader.fault("host", "a host, a path_prefix or both");
    }
    reader.texts("places", service.allowedZones, true);
    reader.flag("echoes_exchange_tag", service.echoesExchangeTag);
    reader.mappings("kinds", true, [&service](YamlReader &item) { readKind(item, service.kinds.emplace_back()); });
    reader.mappings("backend_servers", true, [&service](YamlReader &item) { readBackendServer(item, service, service.backendServers.emplace_back()); });
    reader.mapping("retry", [&service](YamlReader &item) { readRetry(item, service.retry); });
    reader.mapping("limits", [&service](YamlReader &item) { readLimits(item, service.limits); });
    reader.mapping("measuring", [&service](YamlReader &item) { readProbeBudget(item, service.probeBudget); });
    reader.mappings("objectives", false, [&service](YamlReader &item) { readObjective(item, service, service.objectives.emplace_back()); });
    requireDistinct(reader, "kinds", service.kinds);
    requireDistinct(reader, "backend_servers", service.backendServers);
}

void readRegion(YamlReader &reader, Region &region)
{
    readName(reader, "name", region.name);
    reader.texts("zones", region.zones, true);
}

/// @return the region of @p zone, or an empty name.
std::string regionOf(const Configuration &configuration, const std::string &zone)
{
    for (const Region &region : configuration.regions) {
        if (std::find(region.zones.begin(), region.zones.end(), zone) != region.zones.end()) {
            return region.name;
        }
    }
    return {};
}

void setRegions(Configuration &configuration)
{
    for (Service &service : configuration.services) {
        for (BackendServer &server : service.backendServers) {
            server.region = regionOf(configuration, server.zone);
        }
    }
}

void readDocument(const YAML::Node &root, Configuration &configuration, std::vector<DocumentFault> &faults)
{
    YamlReader reader(root, "", faults);
    reader.mappings("regions", false, [&configuration](YamlReader &item) { readRegion(item, configuration.regions.emplace_back()); });
    reader.mappings("services", true, [&configuration](YamlReader &item) { readService(item, configuration.services.emplace_back()); });
    requireDistinct(reader, "services", configuration.services);
    reader.finish();
}

} // namespace

std::variant<Configuration, std::vector<DocumentFault>> parseConfiguration(std::string_view document)
{
    std::vector<DocumentFault> faults;
    if (document.size() > MaxDocumentBytes) {
        faults.push_back({1, "document", "at most " + std::to_string(MaxDocumentBytes) + " bytes"});
        return faults;
    }
    Configuration configuration;
    try {
        const YAML::Node root = loadBoundedYaml(document);
        readDocument(root, configuration, faults);
    } catch (const YAML::Exception &exception) {
        faults.push_back({exception.mark.line + 1, "document", "YAML, but: " + exception.msg});
    }
    if (!faults.empty()) {
        return faults;
    }
    setRegions(configuration);
    return configuration;
}

} // namespace Cloverbarrow
