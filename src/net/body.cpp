/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/body.h"

#include <algorithm>
#include <utility>

namespace Cloverbarrow
{

namespace
{

constexpr std::size_t MinCapacity = 1024;

} // namespace

Body::Body(std::string bytes)
    : Body(std::move(bytes), MemoryReservation())
{
}

Body::Body(const char *bytes)
    : Body(std::string(bytes))
{
}

Body::Body(std::string bytes, MemoryReservation reservation)
    : content_(bytes.empty() ? nullptr : std::make_shared<const Content>(Content{std::move(bytes), std::move(reservation)}))
{
}

std::string_view Body::view() const
{
    // Not null if the body is empty: libcurl would then read the body from a callback.
    return content_ ? std::string_view(content_->bytes) : std::string_view("");
}

Body::operator std::string_view() const
{
    return view();
}

std::size_t Body::size() const
{
    return view().size();
}

bool Body::empty() const
{
    return view().empty();
}

const char *Body::data() const
{
    return view().data();
}

const char *Body::begin() const
{
    return view().data();
}

const char *Body::end() const
{
    return view().data() + size();
}

BodyBuilder::BodyBuilder(std::shared_ptr<MemoryBudget> budget, MemoryUse use)
    : budget_(std::move(budget))
    , use_(use)
    , reservation_(budget_, use_)
{
}

bool BodyBuilder::reserve(std::size_t bytes)
{
    if (bytes <= bytes_.capacity()) {
        return true;
    }
    // While the bytes are moved, both the old and the new memory are in use.
    const std::size_t moved = bytes_.empty() ? 0 : bytes_.capacity();
    if (!reservation_.resize(bytes + moved)) {
        return false;
    }
    bytes_.reserve(bytes);
    reservation_.resize(bytes_.capacity());
    return true;
}

bool BodyBuilder::append(std::string_view bytes)
{
    const std::size_t size = bytes_.size() + bytes.size();
    if (size > bytes_.capacity() && !reserve(std::max({size, 2 * bytes_.size(), MinCapacity}))) {
        return false;
    }
    bytes_.append(bytes);
    return true;
}

std::size_t BodyBuilder::size() const
{
    return bytes_.size();
}

Body BodyBuilder::take()
{
    Body body(std::exchange(bytes_, {}), std::exchange(reservation_, MemoryReservation(budget_, use_)));
    return body;
}

} // namespace Cloverbarrow
