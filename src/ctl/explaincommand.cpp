/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "ctl/explaincommand.h"

#include "ctl/requesttimeline.h"

#include <fstream>
#include <istream>
#include <ostream>

namespace Cloverbarrow
{

namespace
{

void addAll(std::istream &input, RequestTimeline &timeline)
{
    std::string line;
    while (std::getline(input, line)) {
        timeline.add(line);
    }
}

} // namespace

CtlExit explainRequest(std::span<const std::string> arguments, std::istream &input, std::ostream &out, std::ostream &err)
{
    if (arguments.empty()) {
        err << "explain needs the id of a request\n";
        return CtlExit::Usage;
    }
    RequestTimeline timeline(arguments.front());
    const auto files = arguments.subspan(1);
    for (const std::string &path : files) {
        std::ifstream file(path);
        if (!file) {
            err << "read log: cannot open '" << path << "'\n";
            return CtlExit::Failed;
        }
        addAll(file, timeline);
    }
    if (files.empty()) {
        addAll(input, timeline);
    }
    const auto lines = timeline.toLines();
    if (lines.empty()) {
        err << "no line names request " << arguments.front() << "; it reached no entry VM whose log was given, or its lines were left out\n";
        return CtlExit::Failed;
    }
    for (const std::string &line : lines) {
        out << line << "\n";
    }
    return CtlExit::Done;
}

} // namespace Cloverbarrow
