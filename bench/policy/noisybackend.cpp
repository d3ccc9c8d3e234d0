/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "noisybackend.h"

#include "core/support/random.h"

#include <algorithm>

namespace Cloverbarrow::Bench
{

NoisyBackend::NoisyBackend(EventQueue &events, const NoisyShape &options, std::uint64_t seed)
    : events_(events)
    , shape_(options)
    , seed_(seed)
{
}

int NoisyBackend::arrive(Duration work, OnDone done)
{
    if (held() >= shape_.slots + shape_.queue) {
        done(false);
        return 0;
    }
    waiting_.push_back({++last_, work, std::move(done)});
    startNext();
    return last_;
}

void NoisyBackend::cancel(int number)
{
    std::erase_if(waiting_, [number](const Item &item) { return item.number == number; });
    if (running_.erase(number) > 0) {
        startNext();
    }
}

LoadReport NoisyBackend::report() const
{
    return {static_cast<int>(running_.size()), static_cast<int>(waiting_.size()), shape_.slots, slowness()};
}

double NoisyBackend::slowness() const
{
    return slownessIn(events_.now().time_since_epoch() / shape_.slowFor);
}

double NoisyBackend::sharingFactor() const
{
    const auto used = static_cast<double>(running_.size() + 1);
    return used > shape_.fullShare * shape_.slots ? shape_.fullFactor : 1;
}

int NoisyBackend::held() const
{
    return static_cast<int>(running_.size() + waiting_.size());
}

double NoisyBackend::slownessIn(std::int64_t period) const
{
    Random random(seed_ * 1'000'003 + static_cast<std::uint64_t>(period));
    return random.uniform() < shape_.slowShare ? shape_.slowFactor : 1;
}

void NoisyBackend::startNext()
{
    while (static_cast<int>(running_.size()) < shape_.slots && !waiting_.empty()) {
        Item item = std::move(waiting_.front());
        waiting_.pop_front();
        const int number = item.number;
        const Duration time(static_cast<Duration::rep>(static_cast<double>(item.work.count()) * slowness() * sharingFactor()));
        running_.emplace(number, std::move(item));
        events_.after(time, [this, number] { ended(number); });
    }
}

void NoisyBackend::ended(int number)
{
    const auto found = running_.find(number);
    if (found == running_.end()) {
        return;
    }
    const OnDone done = std::move(found->second.done);
    running_.erase(found);
    startNext();
    done(true);
}

} // namespace Cloverbarrow::Bench
