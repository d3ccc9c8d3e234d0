/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "eventually.h"

#include <chrono>
#include <thread>

namespace Cloverbarrow::Standins
{

bool eventually(const std::function<bool()> &isTrue)
{
    for (int attempt = 0; attempt < 2000; ++attempt) {
        if (isTrue()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

} // namespace Cloverbarrow::Standins
