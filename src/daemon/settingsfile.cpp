/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "daemon/settingsfile.h"

#include "net/textfile.h"

#include <system_error>

namespace Cloverbarrow
{

SettingsFile::SettingsFile(std::string path)
    : path_(std::move(path))
{
}

std::variant<Settings, std::vector<DocumentFault>> SettingsFile::read()
{
    // Taken before the content, so that a change in between causes one more read instead of being missed.
    std::error_code error;
    lastReadModificationTime_ = std::filesystem::last_write_time(path_, error);
    const auto document = readTextFile(path_);
    if (!document) {
        return std::vector<DocumentFault>{{0, "file", "a file that can be opened, as named by --settings=FILE"}};
    }
    return parseSettings(*document);
}

bool SettingsFile::hasChanged() const
{
    std::error_code error;
    const ModificationTime stamp = std::filesystem::last_write_time(path_, error);
    return !error && stamp != lastReadModificationTime_;
}

} // namespace Cloverbarrow
