/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "ctl/commands.h"
#include "net/thriftclient.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace Cloverbarrow
{

using Json = nlohmann::ordered_json;
using Admin = ThriftClient<Wire::AdminClient>;

constexpr int AdminConnectTimeoutMs = 2000;
constexpr int AdminCallTimeoutMs = 20'000;

/// Options, arguments and output streams of a subcommand.
struct Session {
    const CtlOptions &options;
    std::vector<std::string> arguments;
    std::ostream &out;
    std::ostream &err;

    Admin connect() const
    {
        return {options.admin, AdminConnectTimeoutMs, AdminCallTimeoutMs};
    }
    void print(const Json &json) const
    {
        out << json.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
    }
};

} // namespace Cloverbarrow
