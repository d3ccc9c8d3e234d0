/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/requests/memorybudget.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

// For the program, the directory, heads of messages and the allocator: a quarter of the memory, and what a process with a large directory uses on a small VM.
constexpr std::size_t OtherDivisor = 4;
constexpr std::size_t MinOtherBytes = 40 * 1024 * 1024;
// A VM that has hardly more than the program needs serves small requests at least.
constexpr std::size_t MinBytes = 4 * 1024 * 1024;
// Small reservations may use all bytes: 32 or more of the largest small bodies beside large ones.
constexpr std::size_t SmallOnlyDivisor = 32;
// The answers to the requests that are held may be as long as these.
constexpr std::size_t AnswersOnlyDivisor = 2;

std::size_t largePart(std::size_t bytes)
{
    return bytes > MemoryBudget::SmallBytes ? bytes : 0;
}

} // namespace

MemoryBudget::MemoryBudget(std::size_t maxBytes)
{
    counts_.maxBytes = maxBytes;
}

std::size_t MemoryBudget::shareOf(std::size_t memoryBytes)
{
    const std::size_t others = std::max(memoryBytes / OtherDivisor, MinOtherBytes);
    return memoryBytes < others + MinBytes ? MinBytes : memoryBytes - others;
}

void MemoryBudget::setMaxBytes(std::size_t maxBytes)
{
    const std::lock_guard lock(mutex_);
    counts_.maxBytes = maxBytes;
}

bool MemoryBudget::change(MemoryUse use, std::size_t from, std::size_t to)
{
    const std::lock_guard lock(mutex_);
    if (to > from && !allows(use, from, to)) {
        ++(use == MemoryUse::Request ? counts_.refusedRequests : counts_.refusedAnswers);
        return false;
    }
    counts_.usedBytes = counts_.usedBytes - from + to;
    counts_.peakBytes = std::max(counts_.peakBytes, counts_.usedBytes);
    largeBytes_ = largeBytes_ - largePart(from) + largePart(to);
    return true;
}

bool MemoryBudget::allows(MemoryUse use, std::size_t from, std::size_t to) const
{
    const std::size_t used = counts_.usedBytes - from + to;
    if (to <= SmallBytes) {
        return used <= counts_.maxBytes;
    }
    // A single request may use what is otherwise left for answers, so that the longest body that operators allow is accepted on a small VM.
    const bool isOnlyLarge = largeBytes_ == largePart(from);
    const std::size_t divisor = use == MemoryUse::Request && !isOnlyLarge ? AnswersOnlyDivisor : SmallOnlyDivisor;
    return used <= counts_.maxBytes - counts_.maxBytes / divisor;
}

std::size_t MemoryBudget::longestBody() const
{
    const std::lock_guard lock(mutex_);
    return counts_.maxBytes - counts_.maxBytes / SmallOnlyDivisor;
}

MemoryCounts MemoryBudget::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryBudget> budget, MemoryUse use)
    : budget_(std::move(budget))
    , use_(use)
{
}

MemoryReservation::~MemoryReservation()
{
    resize(0);
}

MemoryReservation::MemoryReservation(MemoryReservation &&other) noexcept
    : budget_(std::move(other.budget_))
    , use_(other.use_)
    , bytes_(std::exchange(other.bytes_, 0))
{
}

MemoryReservation &MemoryReservation::operator=(MemoryReservation &&other) noexcept
{
    if (this != &other) {
        resize(0);
        budget_ = std::move(other.budget_);
        use_ = other.use_;
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

bool MemoryReservation::resize(std::size_t bytes)
{
    if (budget_ && bytes != bytes_ && !budget_->change(use_, bytes_, bytes)) {
        return false;
    }
    bytes_ = bytes;
    return true;
}

std::size_t MemoryReservation::bytes() const
{
    return bytes_;
}

} // namespace Cloverbarrow
