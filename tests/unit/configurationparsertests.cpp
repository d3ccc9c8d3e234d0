/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/intent/configurationparser.h"
#include "daemon/settings.h"
#include "sampleservice.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

std::string replaced(std::string document, const std::string &from, const std::string &to)
{
    document.replace(document.find(from), from.size(), to);
    return document;
}

std::string firstFault(const std::string &document)
{
    const auto parsed = parseConfiguration(document);
    const auto *faults = std::get_if<std::vector<DocumentFault>>(&parsed);
    return faults ? faults->front().toString("c.yaml") : "valid";
}

std::string settingsFault(const std::string &document)
{
    const auto parsed = parseSettings(document);
    const auto *faults = std::get_if<std::vector<DocumentFault>>(&parsed);
    return faults ? faults->front().toString("s.yaml") : "valid";
}

const std::string ValidSettings = "name: entry-1\n"
                                  "zone: bog-a\n"
                                  "region: bogota\n"
                                  "listen: {callers: 127.0.0.1:0, peers: 127.0.0.1:0, admin: 127.0.0.1:0, operations: 127.0.0.1:0}\n"
                                  "platform: 127.0.0.1:7900\n";

} // namespace

TEST_CASE("A valid configuration is read completely", "[configuration]")
{
    const auto parsed = parseConfiguration(sampleDocument());
    REQUIRE(std::holds_alternative<Configuration>(parsed));
    const Service &service = std::get<Configuration>(parsed).services.at(0);
    CHECK(service.kinds.at(2).kindClass == KindClass::Payout);
    CHECK(service.probeBudget.probes == 4);
    CHECK(service.objectives.at(0).latency == milliseconds(100));
    CHECK(service.limits.slotsPerServer == 3);
}

TEST_CASE("An invalid configuration is rejected with line, key and expected value", "[configuration]")
{
    const std::string valid = sampleDocument();
    CHECK(firstFault(valid) == "valid");
    CHECK(firstFault(replaced(valid, "zone: bog-a", "zone: lima")) == "c.yaml:11: services[0].backend_servers[0].zone: expected one of the service's places");
    CHECK(firstFault(replaced(valid, "class: read", "class: reed")) == "c.yaml:7: services[0].kinds[0].class: expected read, write or payout");
    CHECK(firstFault(replaced(valid, "deadline_ms: 2000", "deadline_ms: -1"))
          == "c.yaml:7: services[0].kinds[0].deadline_ms: expected a whole number from 1 to 600000");
    CHECK(firstFault(replaced(valid, "window_ms", "windows_ms")) == "c.yaml:12: services[0].measuring.windows_ms: expected no such key");
    CHECK(firstFault(replaced(valid, "name: liquidacion", "name: li/qui")).find("services[0].name: expected 1 to 64 letters") != std::string::npos);
    CHECK(firstFault(replaced(valid, "127.0.0.1:9001", "localhost:1")).find("expected an IP number and a port") != std::string::npos);
    CHECK(firstFault("services: []") == "c.yaml:1: services: expected a list of mappings");
    CHECK(firstFault("").find("expected a mapping") != std::string::npos);
    CHECK(firstFault("services: [") != "valid");
    CHECK(firstFault(std::string(MaxDocumentBytes + 1, '#')).find("at most") != std::string::npos);
}

TEST_CASE("All faults of a document are reported at once", "[configuration]")
{
    std::string invalid = replaced(sampleDocument(), "class: read", "class: reed");
    invalid = replaced(invalid, "probes: 4", "probes: many");
    const auto parsed = parseConfiguration(invalid);
    REQUIRE(std::holds_alternative<std::vector<DocumentFault>>(parsed));
    CHECK(std::get<std::vector<DocumentFault>>(parsed).size() == 2);
}

TEST_CASE("Settings with missing, unknown or invalid values are rejected", "[settings]")
{
    CHECK(settingsFault(ValidSettings) == "valid");
    CHECK(settingsFault(replaced(ValidSettings, "zone: bog-a\n", "")) == "s.yaml:1: zone: expected a value, but it is missing");
    CHECK(settingsFault(ValidSettings + "leader: yes\n") == "s.yaml:6: leader: expected no such key");
    CHECK(settingsFault(ValidSettings + "threads: {callers: 0}\n") == "s.yaml:6: threads.callers: expected a whole number from 1 to 64");
    CHECK(settingsFault(replaced(ValidSettings, "127.0.0.1:7900", "platform:1"))
          == "s.yaml:5: platform: expected an IP number and a port, as in 10.0.0.1:8080");
}

namespace
{

std::string repeated(std::string_view text, std::size_t count)
{
    std::string all;
    all.reserve(text.size() * count);
    for (std::size_t number = 0; number < count; ++number) {
        all += text;
    }
    return all;
}

/// Documents that are small but deep, or have many more values than their text.
std::vector<std::string> oddDocuments()
{
    constexpr std::size_t Depth = 100'000;
    constexpr std::size_t Aliases = 20'000;
    std::string indented;
    for (std::size_t depth = 0; depth < 1000; ++depth) {
        indented += std::string(depth, ' ') + "a:\n";
    }
    // Each level has ten times the values of the one before.
    std::string laughs = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n";
    for (int level = 1; level < 12; ++level) {
        const std::string alias = "*a" + std::to_string(level - 1);
        const std::string name = "a" + std::to_string(level);
        laughs.append(name).append(": &").append(name).append(" [").append(repeated(alias + ", ", 9)).append(alias).append("]\n");
    }
    const std::string aliases = repeated("*k, ", Aliases) + "*k";
    std::string aliasedServices = "base: &s {name: s, places: [a], kinds: &l [";
    aliasedServices.append(repeated("{}, ", Aliases)).append("{}], backend_servers: *l}\nservices: [");
    aliasedServices.append(repeated("*s, ", Aliases)).append("*s]\n");
    return {repeated("[", Depth),
            repeated("[", Depth) + repeated("]", Depth),
            repeated("{a: ", Depth) + repeated("}", Depth),
            repeated("- ", Depth),
            repeated("? ", Depth),
            repeated("a: ", Depth),
            repeated("!a ", Depth),
            repeated("&a ", Depth),
            "services: " + repeated("[", Depth) + repeated("]", Depth),
            indented,
            laughs,
            "services: &s [*s, *s]\n",
            "services: &s {kinds: *s}\n",
            "k: &k {name: k}\nservices: [" + aliases + "]\n",
            aliasedServices};
}

} // namespace

TEST_CASE("A document that is nested too deep or repeats aliases too often has faults, and takes neither long nor much memory",
          "[configuration][settings][bounds]")
{
    const auto checkFaults = [](const auto &parsed) {
        const auto *faults = std::get_if<std::vector<DocumentFault>>(&parsed);
        REQUIRE(faults);
        CHECK(faults->size() <= MaxDocumentFaults);
    };
    for (const std::string &document : oddDocuments()) {
        CAPTURE(document.substr(0, 100));
        const auto start = std::chrono::steady_clock::now();
        checkFaults(parseConfiguration(document));
        checkFaults(parseSettings(document));
        CHECK(std::chrono::steady_clock::now() - start < seconds(5));
    }
}

TEST_CASE("Aliases are read like the values for which they stand", "[configuration][settings]")
{
    const auto parsed = parseSettings("x: &a 127.0.0.1:0\n" + replaced(ValidSettings, "callers: 127.0.0.1:0", "callers: *a"));
    REQUIRE(std::holds_alternative<std::vector<DocumentFault>>(parsed));
    CHECK(std::get<std::vector<DocumentFault>>(parsed).size() == 1);
    CHECK(std::holds_alternative<Settings>(
        parseSettings(replaced(replaced(ValidSettings, "callers: 127.0.0.1:0", "callers: &a 127.0.0.1:0"), "peers: 127.0.0.1:0", "peers: *a"))));
}

TEST_CASE("Settings that are cut at any byte have faults or are valid", "[settings][bounds]")
{
    std::size_t faulty = 0;
    for (std::size_t length = 0; length < ValidSettings.size(); ++length) {
        faulty += std::holds_alternative<Settings>(parseSettings(ValidSettings.substr(0, length))) ? 0 : 1;
    }
    // The last value is still an address without its last digits and the line end.
    CHECK(faulty >= ValidSettings.size() - 4);
    CHECK(faulty < ValidSettings.size());
}
