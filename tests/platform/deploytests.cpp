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

/// Fills in the template as the platform does, as far as this template goes: plain values, one list, and parts that stand where a value is told.
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
        const std::size_t stop = text.find(end, at);
        REQUIRE(stop != std::string::npos);
        const auto field = fields.find(name);
        const std::string value = field == fields.end() ? std::string() : field->second;
        const std::string inside = isSection ? text.substr(nameEnd + 2, stop - nameEnd - 2) : std::string();
        const bool isPart = isSection && name != "zones";
        text.replace(at, stop + end.size() - at, !isPart ? value : value.empty() ? std::string() : inside);
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

TEST_CASE("A stopped entry VM works on for nearly as long as the platform lets it", "[platform][deploy][shutdown]")
{
    // Requests that last for seconds were cut at 5.5 s where there are 10.
    CHECK(settingsWithGrace("10").shutdownLimit == milliseconds(9500));
    CHECK(settingsWithGrace("6").shutdownLimit == milliseconds(5500));
    CHECK(settingsWithGrace("2.4").shutdownLimit == milliseconds(2200));
    // It still ends before it is killed, and still gives the balancer its notice.
    CHECK(settingsWithGrace("10").shutdownNotice == milliseconds(2800));
}

TEST_CASE("Where the platform tells no grace period the limit of the settings' own default holds", "[platform][deploy][shutdown]")
{
    CHECK(settingsWithGrace("").shutdownLimit == Settings().shutdownLimit);
}

TEST_CASE("The bound on requests to cold servers is the platform's where it tells one", "[platform][deploy][cold]")
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
