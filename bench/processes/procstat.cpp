/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "procstat.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace Cloverbarrow
{

double processorSeconds(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(file, line);
    // User and system time are fields 14 and 15. Fields are counted after the last ")", since the process name (field 2) may contain spaces and
    // parentheses.
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string skipped;
    for (int field = 3; field < 14; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double residentMegabytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (file >> word) {
        if (word == "VmRSS:") {
            double kilobytes = 0;
            file >> kilobytes;
            return kilobytes / 1024;
        }
    }
    return 0;
}

std::int64_t loopbackBytes()
{
    std::ifstream file("/proc/net/dev");
    std::string line;
    while (std::getline(file, line)) {
        if (const std::size_t at = line.find("lo:"); at != std::string::npos) {
            std::istringstream fields(line.substr(at + 3));
            std::int64_t value = 0;
            // The ninth field is the number of sent bytes.
            for (int field = 0; field < 9; ++field) {
                fields >> value;
            }
            return value;
        }
    }
    return 0;
}

} // namespace Cloverbarrow
