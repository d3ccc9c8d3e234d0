/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/requests/memorybudget.h"

#include <concepts>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace Cloverbarrow
{

/// Body of a request or an answer. Copies share the bytes, and the memory reserved for them is returned with the last copy.
class Body
{
public:
    Body() = default;
    Body(std::string bytes);
    Body(const char *bytes);
    /// @param reservation for at least the capacity of @p bytes.
    Body(std::string bytes, MemoryReservation reservation);

    std::string_view view() const;
    operator std::string_view() const;
    std::size_t size() const;
    bool empty() const;
    const char *data() const;
    const char *begin() const;
    const char *end() const;

    template<std::convertible_to<std::string_view> Text>
    friend bool operator==(const Body &left, const Text &right)
    {
        return left.view() == std::string_view(right);
    }

private:
    struct Content {
        std::string bytes;
        MemoryReservation reservation;
    };

    std::shared_ptr<const Content> content_; ///< Null if the body is empty.
};

/// Collects the bytes of a body as they arrive, within a memory budget.
class BodyBuilder
{
public:
    BodyBuilder() = default;
    /// @param budget may be null; then the body is not counted.
    BodyBuilder(std::shared_ptr<MemoryBudget> budget, MemoryUse use);

    /// Reserves memory for a body of @p bytes in all. @return whether there is enough.
    bool reserve(std::size_t bytes);
    /// @return false if there is not enough memory for the bytes; then they are not added.
    bool append(std::string_view bytes);
    std::size_t size() const;
    /// @return the body; the builder is empty afterwards.
    Body take();

private:
    std::shared_ptr<MemoryBudget> budget_;
    MemoryUse use_ = MemoryUse::Request;
    MemoryReservation reservation_;
    std::string bytes_;
};

} // namespace Cloverbarrow
