/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "net/exchangeprotocol.h"

namespace Cloverbarrow
{

/// The project's own headers; docs/CALLERS.md and docs/BACKENDS.md describe them.
class OwnProtocol : public ExchangeProtocol
{
public:
    const char *deadlineHeader() const override;
    const char *requestIdHeader() const override;
    HttpCall attempt(const OutgoingAttempt &outgoing) const override;
    HttpCall probe(const StartProbe &action) const override;
    AnsweredWhole read(const HttpAnswer &answer) const override;
    std::optional<LoadReport> load(const Headers &headers) const override;
    std::optional<Duration> warmUp(const Headers &headers) const override;
    LimitNotice requestLimit(const Headers &headers) const override;
    bool isLeaving(const Headers &headers) const override;
    Headers forCaller(const Headers &headers) const override;
    void markRetried(HttpAnswer &answer) const override;
    HttpAnswer refusal(const Problem &problem) const override;
};

} // namespace Cloverbarrow
