/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/gzip.h"

#include <zlib.h>

#include <memory>
#include <stdexcept>

namespace Cloverbarrow
{

namespace
{

// Base-2 logarithm of zlib's window size, and the flag that selects a gzip header.
constexpr int WindowBits = 15;
constexpr int GzipHeader = 16;
constexpr int MemoryLevel = 8;

struct DeflateDeleter {
    void operator()(z_stream *stream) const
    {
        deflateEnd(stream);
    }
};

} // namespace

std::string gzip(std::string_view text)
{
    z_stream stream{};
    if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, WindowBits + GzipHeader, MemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK) {
        throw std::runtime_error("zlib: deflateInit2 failed");
    }
    const std::unique_ptr<z_stream, DeflateDeleter> end(&stream);
    std::string compressed(deflateBound(&stream, text.size()), '\0');
    // zlib does not modify its input, although next_in is not const.
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(text.data()));
    stream.avail_in = static_cast<uInt>(text.size());
    stream.next_out = reinterpret_cast<Bytef *>(compressed.data());
    stream.avail_out = static_cast<uInt>(compressed.size());
    if (deflate(&stream, Z_FINISH) != Z_STREAM_END) {
        throw std::runtime_error("zlib: deflate failed");
    }
    compressed.resize(stream.total_out);
    return compressed;
}

} // namespace Cloverbarrow
