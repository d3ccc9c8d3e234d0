/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/intent/leavingregistry.h"
#include "core/intent/operatorintent.h"
#include "core/measuring/lease.h"
#include "core/measuring/sharetable.h"
#include "core/payouts/payoutrecord.h"
#include "core/support/jsonnumber.h"
#include "net/crashjson.h"
#include "net/forwarding.h"
#include "net/quotamessages.h"
#include "net/relaymessages.h"
#include "net/rolloutmessages.h"
#include "net/slowservermessages.h"
#include "net/wire.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <string>
#include <vector>

using namespace Cloverbarrow;
using Json = nlohmann::json;

namespace
{

constexpr TimePoint Start{seconds(1000)};
constexpr TimePoint Later = Start + seconds(1);

/// A message that another process sends.
struct Message {
    std::string name;
    std::string text; ///< A valid one.
    std::function<bool(std::string_view)> isAccepted; ///< Decodes a text; true if it is accepted.
    std::vector<std::string> reals = {}; ///< Members that need not be whole numbers.
    std::vector<std::string> unlimited = {}; ///< Members that may have any number that their type represents.
};

template<typename Decode>
std::function<bool(std::string_view)> acceptedBy(Decode decode)
{
    return [decode](std::string_view text) {
        try {
            decode(text);
            return true;
        } catch (const std::exception &) {
            return false;
        }
    };
}

/// What is decoded is also written again at a later time, which takes differences of times.
std::vector<Message> messages()
{
    const std::string refusal = R"({"not_executed":true,"step":"","peer":"","detail":"","local_fault":false,"retry_after_us":5})";
    return {
        {"limits",
         R"({"version":{"process":1,"sequence":2},"known":{"process":1,"sequence":2},"reports":[{"server":"b1","age_us":5,"per_second":3.5}]})",
         acceptedBy([](std::string_view text) { encodeLimitUpdate(Later, decodeLimitUpdate(Start, text)); }),
         {"per_second"},
         {"process", "sequence"}},
        {"proof",
         R"({"age_us":5,"hears_from_store":true,"entry_vms":3,"other_relays":["a"],"newest":[1,2,3,4,5],"limits":{"process":1,"sequence":2},
             "standbys":["b"],"peers":{"same_zone":["c"],"other_zones":["d"]},"place":{"number":1,"count":4,"vacant":[0,3]}})",
         acceptedBy([](std::string_view text) {
             const RelayProof proof = decodeProof(text);
             encodeProof(proof);
             static_cast<void>(Start - proof.age - Later);
         }),
         {},
         {"process", "sequence", "newest"}},
        {"collection update",
         R"({"revision":3,"store_revision":4,"entries":[{"name":"a","revision":2,"deleted":false,"text":"{}"}]})",
         acceptedBy([](std::string_view text) { encodeCollectionUpdate(decodeCollectionUpdate(text)); }),
         {},
         {"revision", "store_revision"}},
        {"crash updates",
         R"({"answer_to":"a","news":[{"entry_vm":"e","process":"p","number":3,"ends":[{"content":"c","caller":"d","server":"s"}],"excused":[],
             "suspected":[]}],"answer_of":"b","held":[["e","p",3]]})",
         acceptedBy([](std::string_view text) { encodeCrashUpdates(decodeCrashUpdates(text)); }),
         {},
         {"number", "held"}},
        {"answer to crash updates", R"({"answer_follows":false})", acceptedBy(decodeCrashUpdatesAnswer)},
        {"quota request",
         R"({"entry_vm":"e","claims":[{"workspace":"w","version":3,"per_second":2.5,"burst":3.5,"requests":4}],"granter":"g","incarnation":7,
             "granters":["g"],"history_us":5,"all_reports":true,"reports":[{"workspace":"w","admitted":[1,2]}]})",
         acceptedBy([](std::string_view text) { encodeQuotaRequest(decodeQuotaRequest(text)); }),
         {"per_second", "burst"},
         {"version", "incarnation", "history_us"}},
        {"quota answer",
         R"({"incarnation":7,"grants":[{"workspace":"w","requests":4,"retry_us":5,"use":0.5}]})",
         acceptedBy([](std::string_view text) {
             for (const QuotaGrant &grant : decodeQuotaAnswer(text).grants) {
                 static_cast<void>(Later + grant.retryAfter);
             }
         }),
         {"use"},
         {"incarnation"}},
        {"rollout reports",
         R"({"origin":"o","zone_total":false,"reports":[{"service":"s","version":"v2","age_us":5,
             "kinds":[{"objective_us":5,"target":[9,2,3],"others":[9,2,3]}]}]})",
         acceptedBy([](std::string_view text) {
             VersionEvidence sum;
             for (const RolloutReport &report : decodeRolloutReports(text).reports) {
                 sum.add(report.evidence);
                 sum.add(report.evidence);
                 static_cast<void>(Later - (Start - report.age));
             }
         })},
        {"slow servers",
         R"({"position":{"process":1,"sequence":2},"known":{"process":1,"sequence":2},"reports":[{"server":"b1","cause":"slow","age_us":5}]})",
         acceptedBy([](std::string_view text) { encodeSlowServers(Later, decodeSlowServers(Start, text)); }),
         {},
         {"process", "sequence"}},
        {"forwarded request",
         R"({"service":"s","region":"r","class":0,"deadline_us":5,"attempts":3,"objective_us":5,"priority":1,"waited_us":5,"content":"c","caller":"d",
             "workspace":"w","takes_backoffs":true,"avoid":["b1"]})",
         [](std::string_view text) {
             const auto request = decodeForwardedRequest(text);
             static_cast<void>(request ? Later + request->arrival.deadline.time_since_epoch() + request->arrival.priorWait : Later);
             return request.has_value();
         }},
        {"backoffs", R"([{"server":"b1","left_us":5}])", [](std::string_view text) { return decodeServerBackoffs(text).has_value(); }},
        {"refusal of a forwarded request",
         refusal,
         [](std::string_view text) {
             HttpAnswer answer;
             answer.status = 503;
             answer.headers = {{ForwardResultHeader, "refusal " + std::string(text)}};
             return std::holds_alternative<ForwardRefused>(interpretForwardedAnswer(answer));
         }},
        {"lease", R"({"name":"n","nonce":"o","renewal":3})", [](std::string_view text) { return decodeLease(text).has_value(); }, {}, {"renewal"}},
        {"shares",
         R"({"shares":[{"holder":{"name":"n","nonce":"o","address":"a"},"unconfirmed":{"name":"n","nonce":"o","address":"a"}}]})",
         [](std::string_view text) { return decodeShares(text).has_value(); }},
        {"payout",
         R"({"state":"settled","digest":"d","creator":{"name":"n","nonce":"o"},"mark":3,"status":200,"content_type":"t","result":"r","whole":true})",
         [](std::string_view text) { return decodePayout(text).has_value(); },
         {},
         {"mark"}},
        {"operator intent",
         R"({"document":"d","drains":["b"],"history":[{"id":"i","author":"a","reason":"r","time_ms":5,"what":"w","over_version":3}]})",
         [](std::string_view text) { return static_cast<bool>(decodeIntentUnchecked(text)); },
         {},
         {"time_ms", "over_version"}},
    };
}

/// @return the valid text with @p value in place of the leaf at @p pointer.
std::string withValue(const Json &valid, const std::string &pointer, const std::string &value)
{
    Json changed = valid;
    changed[Json::json_pointer(pointer)] = "@";
    std::string text = changed.dump();
    return text.replace(text.find(R"("@")"), 3, value);
}

bool isIn(const std::vector<std::string> &names, const std::string &pointer)
{
    return std::any_of(names.begin(), names.end(), [&pointer](const std::string &name) { return pointer.find("/" + name) != std::string::npos; });
}

std::string nested()
{
    constexpr std::size_t Depth = 100'000;
    return std::string(Depth, '[') + std::string(Depth, ']');
}

} // namespace

TEST_CASE("Numbers of JSON text are converted within the range of their type", "[json][numbers]")
{
    using Limits = std::numeric_limits<std::int64_t>;
    const auto integer = [](const char *text) { return integerFrom<std::int64_t>(Json::parse(text)); };
    CHECK(integer("5") == 5);
    CHECK(integer("-5.9") == -5);
    CHECK(integer("9223372036854775807") == Limits::max());
    CHECK(integer("-9223372036854775808") == Limits::min());
    CHECK(integer("-9223372036854775808.0") == Limits::min());
    for (const char *text : {"9223372036854775808", "9223372036854775808.0", "1e300", "-1e300", "true", "null", R"("5")", "[]"}) {
        CAPTURE(text);
        CHECK_THROWS(integer(text));
    }
    const auto unsignedNumber = [](const char *text) { return integerFrom<std::uint64_t>(Json::parse(text)); };
    CHECK(unsignedNumber("18446744073709551615") == std::numeric_limits<std::uint64_t>::max());
    CHECK(unsignedNumber("5.9") == 5);
    for (const char *text : {"18446744073709551616", "-1", "-0.5", "1e300", "-1e300", "true", "null"}) {
        CAPTURE(text);
        CHECK_THROWS(unsignedNumber(text));
    }
    CHECK_THROWS(integerFrom<int>(Json::parse("4294967297")));
    CHECK(durationFrom(Json::parse("7")) == Duration(7));
    CHECK_THROWS(durationFrom(Json(MaxJsonDuration.count() + 1)));
    CHECK_THROWS(durationFrom(Json(-MaxJsonDuration.count() - 1)));
}

TEST_CASE("A message with a value that is nested too deep or beyond a double is rejected", "[json][bounds][messages]")
{
    for (const Message &message : messages()) {
        CAPTURE(message.name);
        CHECK(message.isAccepted(message.text));
        CHECK_FALSE(message.isAccepted(nested()));
        CHECK_FALSE(message.isAccepted("1e999"));
        const Json valid = Json::parse(message.text);
        const Json leaves = valid.flatten();
        for (const auto &[pointer, value] : leaves.items()) {
            CAPTURE(pointer);
            CHECK_FALSE(message.isAccepted(withValue(valid, pointer, nested())));
            CHECK_FALSE(message.isAccepted(withValue(valid, pointer, "1e999")));
        }
    }
}

TEST_CASE("A message with a number out of range is rejected instead of used as another number", "[json][numbers][messages]")
{
    const std::vector<std::string> numbers = {"1e300", "-1e300", "1e18", "9223372036854775807", "-9223372036854775808"};
    for (const Message &message : messages()) {
        const Json valid = Json::parse(message.text);
        const Json leaves = valid.flatten();
        for (const auto &[pointer, value] : leaves.items()) {
            if (!value.is_number() || isIn(message.reals, pointer)) {
                continue;
            }
            CAPTURE(message.name, pointer);
            for (const std::string &number : numbers) {
                CAPTURE(number);
                const bool mayBeAccepted = isIn(message.unlimited, pointer) && number.find("e300") == std::string::npos;
                const bool isAccepted = message.isAccepted(withValue(valid, pointer, number));
                CHECK((mayBeAccepted || !isAccepted));
            }
        }
    }
}

TEST_CASE("Numbers of int members are not taken for others that have the same lower half", "[json][numbers][messages]")
{
    constexpr std::string_view Wide = "4294967297"; // 2^32 + 1
    const std::vector<std::string> members = {"class", "attempts", "priority", "requests", "admitted", "entry_vms", "number", "count", "vacant", "status"};
    int count = 0;
    for (const Message &message : messages()) {
        const Json valid = Json::parse(message.text);
        const Json leaves = valid.flatten();
        for (const auto &[pointer, value] : leaves.items()) {
            if (value.is_number() && isIn(members, pointer) && !isIn(message.unlimited, pointer)) {
                CAPTURE(message.name, pointer);
                CHECK_FALSE(message.isAccepted(withValue(valid, pointer, std::string(Wide))));
                ++count;
            }
        }
    }
    CHECK(count >= 12);
}

TEST_CASE("Times of a relay's follower and of a heartbeat that cannot be represented are not used", "[numbers][messages]")
{
    CHECK(parseCollectionUpdateTarget("/relay/news/servers/3/1500").value().wait == milliseconds(1500));
    CHECK_FALSE(parseCollectionUpdateTarget("/relay/news/servers/3/9223372036854775807"));

    Wire::Heartbeat wire;
    for (const std::int64_t ageMs : {std::numeric_limits<std::int64_t>::min(), std::int64_t(-1), std::numeric_limits<std::int64_t>::max()}) {
        Wire::LeavingSign sign;
        sign.ageMs = ageMs;
        wire.leaving.push_back(sign);
    }
    LeavingRegistry registry;
    CHECK_FALSE(registry.merge(Start, fromWire(wire).leavingSigns));
}
