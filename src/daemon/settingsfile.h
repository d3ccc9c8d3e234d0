/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "daemon/settings.h"

#include <filesystem>
#include <string>

namespace Cloverbarrow
{

/// The settings file of this process. It may change at any time, with or without a reload signal.
class SettingsFile
{
public:
    explicit SettingsFile(std::string path);

    /// @return the settings, or all faults found.
    std::variant<Settings, std::vector<DocumentFault>> read();
    /// @return whether the modification time differs from that at the last read; false if the file is missing.
    bool hasChanged() const;

private:
    using ModificationTime = std::filesystem::file_time_type;

    std::string path_;
    ModificationTime lastReadModificationTime_;
};

} // namespace Cloverbarrow
