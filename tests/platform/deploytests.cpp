/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/settings.h"
#include "net/textfile.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace Cloverbarrow;

namespace
{

using Fields = std::map<std::string, std::string>;

/// Renders the template as the platform does, with what this template needs: plain values, one list, and sections that are kept when their value is set.
std::string rendered(const Fields &fields)
{
    std::string text = readTextFile(DEPLOY_FOLDER "/settings.yaml.tmpl").value();
    for (std::size_t at = text.find("{{"); at != std::string::npos; at = text.find("{{", at)) {
        const bool isSection = text[at + 2] == '#';
        const std::size_t nameAt = at + (isSection ? 3 : 2);
        const std::size_t nameEnd = text.find("}}", at);
        REQUIRE(nameEnd != std::string::npos);
        const std::string name = text.substr(nameAt, nameEnd - nameAt);
        const std::string end = isSection ? "{{/" + name + "}}" : "}}";
        const std::size_t endAt = text.find(end, at);
        REQUIRE(endAt != std::string::npos);
        const auto field = fields.find(name);
        const std::string value = field == fields.end() ? std::string() : field->second;
        const std::string body = isSection ? text.substr(nameEnd + 2, endAt - nameEnd - 2) : std::string();
        const bool isConditional = isSection && name != "zones";
        text.replace(at, endAt + end.size() - at, !isConditional ? value : value.empty() ? std::string() : body);
    }
    return text;
}

Fields fieldsWithGrace(const std::string &graceSeconds)
{
    return {{"node", "entry-1"},
            {"zone", "a"},
            {"region", "r"},
            {"ip", "10.0.0.1"},
            {"listen_addresses.frontend_address", "10.0.0.1:81"},
            {"listen_addresses.readiness_address", "10.0.0.1:82"},
            {"platform.address", "10.0.0.2:83"},
            {"internal_port_range.0", "7200"},
            {"bootstrap", "true"},
            {"limits.link_mbps", "20.0"},
            {"zones", "a,b"},
            {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.retry_budget_slack", "64"},
            {"bounds.probes_per_s", "60"},
            {"bounds.grace_period_s", graceSeconds}};
}

Settings settingsWithGrace(const std::string &graceSeconds)
{
    const auto parsed = parseSettings(rendered(fieldsWithGrace(graceSeconds)));
    REQUIRE(std::holds_alternative<Settings>(parsed));
    return std::get<Settings>(parsed);
}

} // namespace

TEST_CASE("A stopped entry VM serves requests for nearly the whole grace period of the platform", "[platform][deploy][shutdown]")
{
    // Guards against a fixed limit of 5.5 s, which ends requests of several seconds although the grace period is 10 s.
    CHECK(settingsWithGrace("10").shutdownLimit == milliseconds(9500));
    CHECK(settingsWithGrace("6").shutdownLimit == milliseconds(5500));
    CHECK(settingsWithGrace("2.4").shutdownLimit == milliseconds(2200));
    // The entry VM exits before it is killed, and the balancer in front of it still gets its notice.
    CHECK(settingsWithGrace("10").shutdownNotice == milliseconds(2800));
}

TEST_CASE("The default shutdown limit applies when the platform sets no grace period", "[platform][deploy][shutdown]")
{
    CHECK(settingsWithGrace("").shutdownLimit == Settings().shutdownLimit);
}

TEST_CASE("The platform's bound on requests to cold servers applies when it sets one", "[platform][deploy][cold]")
{
    Fields fields = fieldsWithGrace("6");
    const auto budgetsOf = [&fields] { return std::get<Settings>(parseSettings(rendered(fields))).directory->budgets; };
    CHECK(budgetsOf().coldRateFactor == FleetBudgets().coldRateFactor);
    CHECK(budgetsOf().coldSlack == FleetBudgets().coldSlack);
    fields["bounds.warmup_overage"] = "1.25";
    fields["bounds.warmup_slack"] = "5";
    CHECK(budgetsOf().coldRateFactor == 1.25);
    CHECK(budgetsOf().coldSlack == 5);
}

TEST_CASE("The memory of the VM bounds the requests and answers that an entry VM keeps", "[platform][deploy][memory]")
{
    Fields fields = fieldsWithGrace("6");
    const auto memoryOf = [&fields] { return std::get<Settings>(parseSettings(rendered(fields))).memoryBytes; };
    CHECK(memoryOf() == Settings().memoryBytes);
    fields["limits.memory_mb"] = "112";
    CHECK(memoryOf() == 112'000'000);
    fields["limits.memory_mb"] = "260.0";
    CHECK(memoryOf() == 260'000'000);
    fields["limits.memory_mb"] = "little";
    CHECK(std::holds_alternative<std::vector<DocumentFault>>(parseSettings(rendered(fields))));
}
