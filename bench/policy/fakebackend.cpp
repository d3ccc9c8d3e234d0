/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "fakebackend.h"

#include <cmath>

namespace Cloverbarrow::Bench
{

namespace
{

// Twice a second on average, a noisy neighbour slows the server down to a third of its speed for 30 ms.
constexpr Duration MeanQuietTime = milliseconds(500);
constexpr Duration MeanNoisyTime = milliseconds(30);
constexpr double NoisyFactor = 3;
constexpr Duration FastErrorDelay = microseconds(200);

Duration exponential(Random &random, Duration mean)
{
    return Duration(static_cast<Duration::rep>(-std::log(1 - random.uniform()) * static_cast<double>(mean.count())));
}

} // namespace

FakeBackend::FakeBackend(EventQueue &events, std::string name, std::string zone, std::uint64_t seed)
    : events_(events)
    , name_(std::move(name))
    , zone_(std::move(zone))
    , random_(seed)
{
}

void FakeBackend::setOptions(const FakeBackendOptions &options)
{
    options_ = options;
}

const FakeBackendOptions &FakeBackend::options() const
{
    return options_;
}

const std::string &FakeBackend::name() const
{
    return name_;
}

const std::string &FakeBackend::zone() const
{
    return zone_;
}

void FakeBackend::arrive(TimePoint deadline, OnDone done)
{
    if (options_.refusesConnections) {
        done({false, true, 0});
        return;
    }
    if (options_.failsFast) {
        events_.scheduleAfter(FastErrorDelay, [done = std::move(done)] { done({true, true, 0}); });
        return;
    }
    queue_.push_back({deadline, std::move(done)});
    startNext();
}

bool FakeBackend::hasFreeSlot() const
{
    return !options_.refusesConnections && !options_.failsFast && running_ + static_cast<int>(queue_.size()) < options_.slots;
}

std::size_t FakeBackend::served() const
{
    return served_;
}

Duration FakeBackend::drawServiceTime()
{
    // Half constant and half exponential, since the service times of one request kind vary moderately.
    const Duration half = options_.meanServiceTime / 2;
    const Duration work = half + exponential(random_, half);
    return Duration(static_cast<Duration::rep>(static_cast<double>(work.count()) * options_.slowFactor * noiseFactor()));
}

void FakeBackend::startNext()
{
    while (!queue_.empty() && queue_.front().deadline <= events_.now()) {
        queue_.pop_front();
    }
    if (running_ >= options_.slots || queue_.empty()) {
        return;
    }
    OnDone done = std::move(queue_.front().done);
    queue_.pop_front();
    ++running_;
    events_.scheduleAfter(drawServiceTime(), [this, done = std::move(done)] {
        --running_;
        ++served_;
        startNext();
        done({true, false, running_ + static_cast<int>(queue_.size())});
    });
}

double FakeBackend::noiseFactor()
{
    while (events_.now() >= noisyUntil_) {
        noisyFrom_ = std::max(noisyUntil_, events_.now() - MeanQuietTime) + exponential(random_, MeanQuietTime);
        noisyUntil_ = noisyFrom_ + exponential(random_, MeanNoisyTime);
    }
    return events_.now() >= noisyFrom_ ? NoisyFactor : 1;
}

} // namespace Cloverbarrow::Bench
