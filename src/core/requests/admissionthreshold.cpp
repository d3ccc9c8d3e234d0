/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/admissionthreshold.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Cloverbarrow
{

namespace
{

// Below this fraction of servers with free capacity there is a shortage. A request that is held for an eighth of its objective finds one of so few free
// slots, and more free slots are lost capacity: with 0.2, 0.71 of the callers in a burst of 1.8 times the usual load were in time, with 0.07 0.73 to 0.75.
constexpr double ShortageFreeFraction = 0.07;
// While requests with a better rank than those at the threshold arrive, more capacity is left free for them. With 0.15, 0.2 and 0.25, 0.83, 0.89 and 0.91
// of the urgent requests in a burst of others were in time, and 0.69, 0.65 and 0.62 of the others.
constexpr double ReservedFreeFraction = 0.2;
// Capacity is reserved for better ranks with at least this fraction of the arriving work.
constexpr double MinBetterWork = 0.05;
// The admitted fraction changes by at most this factor (natural logarithm) in a second if the free capacity is 0 or twice the wanted one. Requests admitted
// now show in reports a service time later (0.1 to 0.7 s).
constexpr double ChangePerSecond = 3;
// When much capacity is free, the admitted fraction returns to 1 within a fraction of a second: after a burst, a slower return refused callers for 2 s.
constexpr double MaxSurplus = 4;
// The admitted fraction returns to 1 repeatedly within one shortage.
constexpr Duration ShortageMemory = seconds(5);
// A kind that has sent no request for this long does not limit the hold of others.
constexpr Duration ObjectiveMemory = seconds(5);
// A longer gap between reports says nothing about the time in between.
constexpr Duration MaxStep = milliseconds(250);
// Some requests must always be admitted, so that the end of a shortage is noticed where only requests of the last rank arrive.
constexpr double MinAdmittedFraction = 0.05;
// At two to four requests a second, the shares of the ranks are known to about a quarter after this time.
constexpr double ArrivalMemorySeconds = 5;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void AdmissionThreshold::adapt(TimePoint now, const std::optional<Capacity> &capacity)
{
    const Duration step = adaptedAt_ ? std::min(MaxStep, now - *adaptedAt_) : Duration(0);
    adaptedAt_ = now;
    const double freeFraction = capacity ? capacity->freeFraction : 1;
    const double wanted = hasBetterThanThreshold() ? ReservedFreeFraction : ShortageFreeFraction;
    if (admittedFraction_ < 1) {
        lastShortageAt_ = now;
    }
    hasSurplus_ = freeFraction >= wanted;
    const double surplus = std::clamp((freeFraction - wanted) / wanted, -1.0, MaxSurplus);
    admittedFraction_ = std::clamp(admittedFraction_ * std::exp(ChangePerSecond * secondsOf(step) * surplus), MinAdmittedFraction, 1.0);
}

void AdmissionThreshold::countArrival(TimePoint now, const AdmissionRank &rank, Duration objective, double workMs)
{
    objectives_[objective] = now;
    std::erase_if(objectives_, [now](const auto &entry) { return now - entry.second > ObjectiveMemory; });
    const double kept = std::exp(-secondsOf(now - countedAt_) / ArrivalMemorySeconds);
    countedAt_ = now;
    for (auto &[other, work] : arrivedWork_) {
        work *= kept;
    }
    arrivedWork_[rank] += workMs;
    // Ranks come from the configuration, but old ones must not remain forever.
    std::erase_if(arrivedWork_, [](const auto &entry) { return entry.second < 1; });
}

bool AdmissionThreshold::admits(const AdmissionRank &rank, double uniform) const
{
    double before = 0;
    for (const auto &[other, work] : arrivedWork_) {
        before += other < rank ? work : 0;
    }
    const auto own = arrivedWork_.find(rank);
    const double capacityLeft = admittedFraction_ * totalWork() - before;
    return admittedFraction_ >= 1 || hasSurplus_ || own == arrivedWork_.end() || capacityLeft > uniform * own->second;
}

double AdmissionThreshold::totalWork() const
{
    return std::accumulate(arrivedWork_.begin(), arrivedWork_.end(), 0.0, [](double sum, const auto &entry) { return sum + entry.second; });
}

bool AdmissionThreshold::hasBetterThanThreshold() const
{
    const double total = totalWork();
    double before = 0;
    for (const auto &[rank, work] : arrivedWork_) {
        if (before + work >= admittedFraction_ * total) {
            break;
        }
        before += work;
    }
    return before > MinBetterWork * total;
}

bool AdmissionThreshold::isShortage(TimePoint now) const
{
    return lastShortageAt_ && now - *lastShortageAt_ < ShortageMemory;
}

Duration AdmissionThreshold::shortestObjective() const
{
    return objectives_.empty() ? Duration::max() : objectives_.begin()->first;
}

double AdmissionThreshold::admittedFraction() const
{
    return admittedFraction_;
}

} // namespace Cloverbarrow
