/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/address.h"
#include "decode.h"
#include "jsontext.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>

using namespace Cloverbarrow;
using Json = nlohmann::json;

namespace
{

const Json Registered = {{"metadata", {{"name", "i-1"}, {"revision", 4}}},
                         {"specification",
                          {{"service", "s1"},
                           {"address", "10.0.0.1:80"},
                           {"zone", "a"},
                           {"version", "v1"},
                           {"slots", 3},
                           {"state", "ready"},
                           {"warmup_remaining_s", 1.5},
                           {"sequence", 4},
                           {"born", 1'764'700'000'000}}}};

/// @return an arbitrary value for a field, as another program may write it.
Json anyValue()
{
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<std::int64_t>();
    case 3:
        return *rc::gen::arbitrary<double>();
    case 4:
        return Platform::sanitizeJsonText(*rc::gen::arbitrary<std::string>());
    case 5:
        return Json::array({*rc::gen::arbitrary<int>()});
    default:
        return Json{{"born", 1}};
    }
}

/// @return the decoded registration; nothing when the object was rejected.
std::optional<Registration> decoded(const Json &object)
{
    try {
        DirectoryEntry entry = Platform::decodeMetadata(object);
        Platform::decodeValue(Collection::Servers, object, entry);
        return std::get<Registration>(*entry.value);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace

TEST_CASE("A registration with arbitrary fields is rejected or gives a usable server", "[platform][property][servers]")
{
    CHECK(rc::check("with any fields missing, added or changed", [] {
        Json object = Registered;
        Json &fields = object["specification"];
        const int changes = *rc::gen::inRange(0, 4);
        for (int change = 0; change < changes; ++change) {
            auto field = fields.begin();
            if (field == fields.end()) {
                break;
            }
            std::advance(field, *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(fields.size())));
            if (*rc::gen::arbitrary<bool>()) {
                fields.erase(field);
            } else {
                *field = anyValue();
            }
        }
        const auto registration = decoded(object);
        if (changes == 0) {
            RC_ASSERT(registration.has_value());
        }
        if (registration) {
            RC_ASSERT(isSocketAddress(registration->server.address));
            RC_ASSERT(registration->server.slots >= 1);
            RC_ASSERT(registration->server.warmUp >= Duration(0));
            RC_ASSERT(registration->server.name.starts_with("i-1"));
        }
    }));
}

TEST_CASE("Arbitrary bytes in one entry leave the other entries of its page readable", "[platform][property][servers]")
{
    CHECK(rc::check("and the entry is rejected when they are invalid", [] {
        std::string bytes = *rc::gen::arbitrary<std::string>();
        // A quote ends the string and a backslash begins an escape. Tabs and line ends are allowed between JSON values and thus not replaced.
        std::erase_if(bytes, [](char byte) { return byte == '"' || byte == '\\' || byte == '\t' || byte == '\n' || byte == '\r'; });
        Json object = Registered;
        object["specification"]["zone"] = "BYTES";
        std::string page = Json::array({Registered, object, Registered}).dump();
        page.replace(page.find("BYTES"), 5, bytes);
        const Json read = Json::parse(Platform::sanitizeJsonText(page));
        RC_ASSERT(read.size() == 3U);
        RC_ASSERT(decoded(read[0]).has_value());
        RC_ASSERT(decoded(read[2]).has_value());
        RC_ASSERT(decoded(read[1]).has_value() == Json::accept(page));
    }));
}
