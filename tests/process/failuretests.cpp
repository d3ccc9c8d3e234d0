/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "fleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <iterator>
#include <string>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

TEST_CASE("A process that ends by a fault reports the signal and a backtrace", "[process][failure]")
{
    Fleet fleet;
    fleet.startEntryVm("entry-1");
    fleet.entryVm("entry-1").signal(SIGSEGV);
    constexpr int SignalBase = 128;
    CHECK(fleet.entryVm("entry-1").wait() == SignalBase + SIGSEGV);
    std::ifstream file(fleet.errorPath("entry-1"));
    const std::string errors{std::istreambuf_iterator<char>(file), {}};
    CAPTURE(errors);
    CHECK(errors.find("SIGSEGV") != std::string::npos);
    CHECK(errors.find("    @     ") != std::string::npos);
}

TEST_CASE("A process that is told to stop while it starts reports no fault", "[process][failure]")
{
    Fleet fleet;
    fleet.startEntryVm("entry-1");
    fleet.entryVm("entry-1").signal(SIGTERM);
    CHECK(fleet.entryVm("entry-1").wait() == 0);
    CHECK(std::ifstream(fleet.errorPath("entry-1")).peek() == std::ifstream::traits_type::eof());
}
