/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/intent/configuration.h"

#include <algorithm>

namespace Cloverbarrow
{

bool Service::allowsZone(const std::string &zone) const
{
    return std::find(allowedZones.begin(), allowedZones.end(), zone) != allowedZones.end();
}

const Service *Configuration::findService(const std::string &name) const
{
    const auto found = std::find_if(services.begin(), services.end(), [&name](const Service &service) { return service.name == name; });
    return found == services.end() ? nullptr : &*found;
}

} // namespace Cloverbarrow
