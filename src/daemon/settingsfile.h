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

/// The settings file of this process, which may change at any time, with and without a signal.
class SettingsFile
{
public:
    explicit SettingsFile(std::string path);

    /// @return the settings, or each fault found.
    std::variant<Settings, std::vector<DocumentFault>> read();
    /// @return whether the file is another than the one that was read last. A missing file is no other.
    bool hasChanged() const;

private:
    using Stamp = std::filesystem::file_time_type;

    std::string path_;
    Stamp readStamp_;
};

} // namespace Cloverbarrow
