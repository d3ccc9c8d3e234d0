/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <cstdint>
#include <utility>

namespace Cloverbarrow
{

/// Keeps the newest value if values from several threads arrive out of order. Not thread-safe.
template<typename Value>
class Latest
{
public:
    explicit Latest(Value initial)
        : value_(std::move(initial))
    {
    }

    /// @param order number of the value, increasing from 1. @return whether the value was newer and has replaced the former one.
    bool take(std::uint64_t order, Value value)
    {
        if (order <= order_) {
            return false;
        }
        order_ = order;
        value_ = std::move(value);
        return true;
    }

    const Value &value() const
    {
        return value_;
    }

    std::uint64_t order() const
    {
        return order_;
    }

private:
    std::uint64_t order_ = 0;
    Value value_;
};

} // namespace Cloverbarrow
