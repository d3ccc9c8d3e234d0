/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/httpmessage.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Cloverbarrow
{

/// What is accepted as a request. Sizes are in bytes.
struct RequestLimits {
    std::size_t head = 32 * 1024;
    std::size_t target = 8 * 1024;
    std::size_t body = 8 * 1024 * 1024;
    bool requiresHost = true; ///< Whether a request of HTTP/1.1 without a Host header is rejected (RFC 9112).
};

/// The request is not complete yet.
struct NeedsMore {
    bool wantsContinue = false; ///< The sender waits for "100 Continue".
};

/// The request is rejected. The connection cannot be used further, since the start of a next request is unknown.
struct FramingFault {
    int status = 400;
    std::string message;
};

/// There is no memory for the body of the request. The rest of the body still follows on the connection.
struct NoMemoryForBody {
    HttpRequest head;
};

using FramingResult = std::variant<NeedsMore, HttpRequest, FramingFault, NoMemoryForBody>;

/// Extracts HTTP/1.1 requests from a caller's bytes. The parser is strict: it rejects whatever two parsers could interpret
/// differently, which prevents request smuggling. It keeps target and headers as received, since the maps of headers and query keys of
/// HTTP libraries lose repeated keys and their order.
///
/// A body is taken out of the caller's bytes as it arrives, into memory that is reserved before: for a body with a length when its head is complete,
/// for a chunked one as it grows.
class RequestFramer
{
public:
    /// @param budget for the bodies; may be null.
    explicit RequestFramer(std::shared_ptr<MemoryBudget> budget = nullptr);

    /// Extracts the next request. After a fault the framer must not be used further.
    /// @param input bytes of the connection; those that have been read are removed.
    FramingResult next(std::string &input, const RequestLimits &limits);
    /// @return whether a head is complete and its body is not.
    bool isReadingBody() const;
    /// @return bytes of the body that is being read which have been read so far.
    std::size_t bodyBytes() const;
    /// @return whether the request whose body is being read has a safe method (RFC 9110).
    bool isReadingSafeRequest() const;
    /// Drops a request whose body is not complete.
    void reset();

private:
    /// What a chunked body continues with.
    enum class ChunkPart {
        Size,
        Data,
        DataEnd,
        Trailers,
    };
    /// A request whose head is complete.
    struct PartialRequest {
        HttpRequest request;
        BodyBuilder body;
        bool isChunked = false;
        std::size_t length = 0; ///< Of the body; if it is chunked, of the rest of the chunk.
        ChunkPart part = ChunkPart::Size;
        std::size_t trailerBytes = 0;
        bool hasStarted = false; ///< Whether a byte of the body has been read.
    };
    enum class Progress {
        Incomplete,
        Complete,
        NoMemory,
    };
    using BodyProgress = std::variant<Progress, FramingFault>;

    std::optional<FramingResult> readHead(std::string &input, const RequestLimits &limits);
    BodyProgress readBody(std::string_view &input, const RequestLimits &limits);
    BodyProgress readChunks(std::string_view &input, const RequestLimits &limits);
    BodyProgress readChunkSize(std::string_view &input, const RequestLimits &limits);
    BodyProgress readTrailers(std::string_view &input, const RequestLimits &limits);
    /// Moves bytes from @p input to the body, up to the end of the body or chunk.
    Progress readData(std::string_view &input);

    std::shared_ptr<MemoryBudget> budget_;
    std::optional<PartialRequest> partial_;
};

/// @return whether a request with this method may be processed in parallel with others (a safe method of RFC 9110).
bool isSafeMethod(std::string_view method);

} // namespace Cloverbarrow
