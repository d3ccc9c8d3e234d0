/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/intent/configurationparser.h"
#include "core/intent/operatorintent.h"
#include "core/measuring/sharetable.h"
#include "core/payouts/payoutrecord.h"
#include "daemon/settings.h"
#include "generate.h"
#include "net/requestframer.h"
#include "sampleservice.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

/// @return @p text with some bytes changed, removed or duplicated.
std::string damaged(std::string text)
{
    const int changes = pick(0, 6);
    for (int change = 0; change < changes && !text.empty(); ++change) {
        const auto at = pick<std::size_t>(0, text.size());
        switch (pick(0, 3)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, pick<std::size_t>(1, 20));
            break;
        default:
            text.insert(at, text.substr(at, pick<std::size_t>(1, 20)));
        }
    }
    return text;
}

const std::string TwoRequests = "POST /a?b=1&b=2 HTTP/1.1\r\nHost: h\r\nX: 1\r\nContent-Length: 5\r\n\r\nhello"
                                "PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwxyz\r\n0\r\n\r\n";

/// Frames @p bytes that arrive in pieces of the given sizes. @return the targets and bodies of the requests, followed by the fault, if any.
std::vector<std::string> frameInPieces(const std::string &bytes, const std::vector<std::size_t> &sizes)
{
    std::vector<std::string> results;
    RequestFramer framer;
    std::string buffer;
    std::size_t at = 0;
    std::size_t next = 0;
    while (at < bytes.size()) {
        const std::size_t size = sizes.empty() ? bytes.size() : 1 + sizes[next++ % sizes.size()] % 40;
        buffer += bytes.substr(at, size);
        at += size;
        while (true) {
            auto result = framer.next(buffer, {});
            if (const auto *fault = std::get_if<FramingFault>(&result)) {
                results.push_back("fault " + std::to_string(fault->status));
                return results;
            }
            const auto *request = std::get_if<HttpRequest>(&result);
            if (!request) {
                break;
            }
            results.push_back(request->target + " " + std::string(request->body));
        }
    }
    return results;
}

} // namespace

TEST_CASE("Requests are framed in the same way however their bytes are split", "[framing][property]")
{
    CHECK(rc::check("also for damaged bytes", [] {
        const std::string bytes = damaged(TwoRequests);
        const auto whole = frameInPieces(bytes, {});
        const auto pieces = frameInPieces(bytes, *rc::gen::container<std::vector<std::size_t>>(8, rc::gen::arbitrary<std::size_t>()));
        // A fault in an incomplete request may be detected at different times, so only the common results are compared.
        for (std::size_t index = 0; index < std::min(whole.size(), pieces.size()); ++index) {
            RC_ASSERT(whole[index] == pieces[index]);
        }
    }));
}

TEST_CASE("Damaged documents and records are rejected or parsed without a crash", "[input][property]")
{
    CHECK(rc::check("configuration", [] { parseConfiguration(damaged(sampleDocument())); }));
    CHECK(rc::check("settings", [] { parseSettings(damaged("name: a\nzone: z\nlisten: {callers: 127.0.0.1:0}\nfirst_peers: [1.2.3.4:5]\n")); }));
    CHECK(rc::check("intent", [] {
        const auto decoded = decodeIntent(1, damaged(encodeIntent({sampleDocument(), {"a/b"}, {}})));
        RC_CLASSIFY(static_cast<bool>(decoded), "still readable");
    }));
    CHECK(rc::check("payout record", [] { decodePayout(damaged(encodePayout({PayoutState::Settled, "d", {"e", "n"}, 1, 200, "t", "r", true}))); }));
    CHECK(rc::check("share table", [] { decodeShares(damaged(encodeShares({{{}, {}}}))); }));
}

TEST_CASE("Records are unchanged after encoding and decoding", "[input][property]")
{
    CHECK(rc::check("payout records with any printable result", [] {
        PayoutRecord record;
        record.state = *rc::gen::element(PayoutState::Intent, PayoutState::Settled, PayoutState::Refused, PayoutState::Unknown);
        record.digest = "d";
        record.creator = {"entry-1", "n"};
        record.tryNumber = *rc::gen::arbitrary<std::uint64_t>();
        record.result = *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
        RC_ASSERT(decodePayout(encodePayout(record)) == record);
    }));
}
