/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include <unistd.h>

#include <utility>

namespace Cloverbarrow
{

/// Owns a file descriptor and closes it on destruction.
class Descriptor
{
public:
    Descriptor() = default;
    explicit Descriptor(int fd)
        : fd_(fd)
    {
    }
    Descriptor(Descriptor &&other) noexcept
        : fd_(std::exchange(other.fd_, -1))
    {
    }
    Descriptor &operator=(Descriptor &&other) noexcept
    {
        if (this != &other) {
            reset();
            fd_ = std::exchange(other.fd_, -1);
        }
        return *this;
    }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;
    ~Descriptor()
    {
        reset();
    }

    int get() const
    {
        return fd_;
    }
    bool isOpen() const
    {
        return fd_ >= 0;
    }
    void reset()
    {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }

private:
    int fd_ = -1;
};

} // namespace Cloverbarrow
