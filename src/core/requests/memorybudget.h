/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>

namespace Cloverbarrow
{

/// What memory is reserved for.
enum class MemoryUse {
    Request, ///< May be refused before the request is executed.
    Answer, ///< A refusal loses the answer of a request that may have been executed.
};

/// State of a MemoryBudget, in bytes.
struct MemoryCounts {
    std::size_t maxBytes = 0;
    std::size_t usedBytes = 0;
    std::size_t peakBytes = 0;
    std::uint64_t refusedRequests = 0; ///< Number of reservations.
    std::uint64_t refusedAnswers = 0;
};

/// Bounds the bytes of requests and answers that a process keeps, over all connections. Thread-safe.
///
/// The load that it answers: many large bodies at a time, and answers that are read slowly, on a VM with little memory. Large reservations leave a part
/// free for small ones, and those for requests leave a larger part free for answers, since a refused request can be repeated elsewhere.
class MemoryBudget
{
public:
    /// Reservations up to this size are small, in bytes.
    static constexpr std::size_t SmallBytes = 64 * 1024;

    explicit MemoryBudget(std::size_t maxBytes);

    /// @return the bytes for requests and answers, if the process may use @p memoryBytes in all.
    static std::size_t shareOf(std::size_t memoryBytes);

    /// @return the longest body that is accepted while no other large one is held, in bytes.
    std::size_t longestBody() const;
    /// Applies to later reservations; those held remain.
    void setMaxBytes(std::size_t maxBytes);
    /// Changes a reservation from @p from to @p to bytes. Smaller ones are always allowed. @return whether it was changed.
    bool change(MemoryUse use, std::size_t from, std::size_t to);
    MemoryCounts counts() const;

private:
    bool allows(MemoryUse use, std::size_t from, std::size_t to) const;

    mutable std::mutex mutex_;
    MemoryCounts counts_;
    std::size_t largeBytes_ = 0; ///< Of the reservations that are not small.
};

/// Memory reserved from a budget; returned at the end of its lifetime. Without a budget nothing is counted.
class MemoryReservation
{
public:
    MemoryReservation() = default;
    MemoryReservation(std::shared_ptr<MemoryBudget> budget, MemoryUse use);
    ~MemoryReservation();
    MemoryReservation(MemoryReservation &&other) noexcept;
    MemoryReservation &operator=(MemoryReservation &&other) noexcept;
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

    /// @return whether @p bytes are reserved now; if not, the reservation is as before.
    bool resize(std::size_t bytes);
    std::size_t bytes() const;

private:
    std::shared_ptr<MemoryBudget> budget_;
    MemoryUse use_ = MemoryUse::Request;
    std::size_t bytes_ = 0;
};

} // namespace Cloverbarrow
