/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/burn/burnreport.h"

namespace Cloverbarrow
{

namespace
{

constexpr double HundredPercent = 100;
// The usual thresholds for a 30-day error budget: using up 2% of it in an hour pages, 5% in six hours files a ticket.
constexpr double PageRate = 14.4;
constexpr double TicketRate = 6;
// With fewer requests in an hour the rate is not significant.
constexpr std::int64_t MinRequests = 20;
// Indices into BurnWindows.
constexpr std::size_t FiveMinutes = 0;
constexpr std::size_t OneHour = 1;
constexpr std::size_t SixHours = 2;

double rateOf(std::int64_t bad, std::int64_t total, double objectivePercent)
{
    if (total == 0) {
        return 0;
    }
    const double allowed = 1 - objectivePercent / HundredPercent;
    return static_cast<double>(bad) / static_cast<double>(total) / allowed;
}

BurnAlert alertOf(const std::array<double, BurnWindows.size()> &rates, const WindowCounts &counts)
{
    if (counts[OneHour].total < MinRequests) {
        return BurnAlert::None;
    }
    if (rates[OneHour] >= PageRate && rates[FiveMinutes] >= PageRate) {
        return BurnAlert::Page;
    }
    if (rates[SixHours] >= TicketRate && rates[OneHour] >= TicketRate) {
        return BurnAlert::Ticket;
    }
    return BurnAlert::None;
}

BurnLine lineOf(const Service &service, const Objective &objective, BurnIndicator indicator, const WindowCounts &counts)
{
    const bool isLatency = indicator == BurnIndicator::Latency;
    BurnLine line;
    line.service = service.name;
    line.kind = objective.kind;
    line.indicator = indicator;
    line.objectivePercent = isLatency ? objective.latencyPercent : objective.availabilityPercent;
    for (std::size_t window = 0; window < counts.size(); ++window) {
        // Only good answers can be slow.
        const std::int64_t total = isLatency ? counts[window].total - counts[window].unavailable : counts[window].total;
        const std::int64_t bad = isLatency ? counts[window].slow : counts[window].unavailable;
        line.rates[window] = rateOf(bad, total, line.objectivePercent);
    }
    line.requests = counts.back().total;
    line.alert = alertOf(line.rates, counts);
    return line;
}

} // namespace

std::string_view toString(BurnAlert alert)
{
    switch (alert) {
    case BurnAlert::Page:
        return "page";
    case BurnAlert::Ticket:
        return "ticket";
    case BurnAlert::None:
        break;
    }
    return "none";
}

std::string_view toString(BurnIndicator indicator)
{
    return indicator == BurnIndicator::Latency ? "latency" : "availability";
}

std::vector<BurnLine> burnLines(const Configuration &configuration, const FleetBurnCounts &counts)
{
    std::vector<BurnLine> lines;
    for (const Service &service : configuration.services) {
        for (const Objective &objective : service.objectives) {
            const auto found = counts.find({service.name, objective.kind});
            const WindowCounts windows = found == counts.end() ? WindowCounts{} : found->second;
            lines.push_back(lineOf(service, objective, BurnIndicator::Availability, windows));
            lines.push_back(lineOf(service, objective, BurnIndicator::Latency, windows));
        }
    }
    return lines;
}

} // namespace Cloverbarrow
