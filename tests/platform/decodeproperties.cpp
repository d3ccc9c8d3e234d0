/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/support/address.h"
#include "decode.h"
#include "readabletext.h"

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

/// @return any value that another writer may put in place of a field.
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
        return Platform::readableText(*rc::gen::arbitrary<std::string>());
    case 5:
        return Json::array({*rc::gen::arbitrary<int>()});
    default:
        return Json{{"born", 1}};
    }
}

/// @return what became of decoding; nothing when it was refused.
std::optional<Registration> decoded(const Json &object)
{
    try {
        DirectoryEntry entry = Platform::decodeHead(object);
        Platform::decodeContent(Collection::Servers, object, entry);
        return std::get<Registration>(*entry.value);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace

TEST_CASE("Whatever another writer puts into an entry, it is refused or names a server that can be used", "[platform][property][servers]")
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

TEST_CASE("Whatever bytes stand in an entry's text, the page around it can be read", "[platform][property][servers]")
{
    CHECK(rc::check("and the entry is refused when they are no text", [] {
        std::string bytes = *rc::gen::arbitrary<std::string>();
        // These two end the text or begin an escape, and so are no part of it.
        std::erase_if(bytes, [](char byte) { return byte == '"' || byte == '\\' || byte == '\t' || byte == '\n' || byte == '\r'; });
        Json object = Registered;
        object["specification"]["zone"] = "BYTES";
        std::string page = Json::array({Registered, object, Registered}).dump();
        page.replace(page.find("BYTES"), 5, bytes);
        const Json read = Json::parse(Platform::readableText(page));
        RC_ASSERT(read.size() == 3U);
        RC_ASSERT(decoded(read[0]).has_value());
        RC_ASSERT(decoded(read[2]).has_value());
        RC_ASSERT(decoded(read[1]).has_value() == Json::accept(page));
    }));
}
