/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
