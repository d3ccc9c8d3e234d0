/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/receivewindow.h"

namespace Cloverbarrow
{

namespace
{
// A single one may have been lost, or its answer may be on its way.
constexpr int MinUnanswered = 2;
} // namespace

bool awaitsReceiver(const TcpStatus &status)
{
    // A receiver without memory drops what has been sent and closes its window.
    return status.unacknowledgedSegments > 0 ? status.hasZeroWindow : status.unsentBytes > 0;
}

bool hasPeerGone(const TcpStatus &status)
{
    const bool hasData = status.unsentBytes > 0 || status.unacknowledgedSegments > 0;
    return hasData && status.unansweredProbes + status.retransmissions >= MinUnanswered && status.sinceLastAcknowledgement >= UserTimeout;
}

} // namespace Cloverbarrow
