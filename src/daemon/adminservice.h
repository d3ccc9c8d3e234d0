/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/intentchange.h"
#include "core/node.h"
#include "daemon/peerservice.h"
#include "daemon/telemetry.h"
#include "net/platformclient.h"
#include "net/wire.h"

#include <atomic>
#include <string>
#include <vector>

namespace Cloverbarrow
{

/// Serves the administration API. Every entry VM offers it; changes that the fleet must agree on are written to the platform.
class AdminService : public Wire::AdminIf
{
public:
    AdminService(PlatformClient &platform, Telemetry &telemetry);

    /// Starts to accept calls; earlier ones fail.
    void open(ServiceContext context);

    void apply(Wire::ApplyResult &result, const Wire::ApplyRequest &request) override;
    void get(Wire::AcceptedIntent &result) override;
    void history(std::vector<Wire::Change> &result) override;
    void drain(Wire::ApplyResult &result, const Wire::DrainRequest &request) override;
    void status(Wire::Status &result) override;
    void payout(std::vector<Wire::PayoutStatus> &result, const std::string &key) override;
    void burn(Wire::BurnCounts &result) override;

private:
    void requireOpen() const;
    /// Calls the platform and waits for its answer.
    StoreResult callStore(StoreCall call);
    /// @return the state stored at the platform, with version 0 if there is none yet. @throws Wire::Failure if it cannot be read.
    StoreFound readIntent();
    /// @return an empty intent if @p found has version 0. @throws Wire::Failure if it cannot be decoded.
    OperatorIntent decode(const StoreFound &found) const;
    /// Writes one change to the platform. @return the accepted version. @throws Wire::Failure if it was not accepted.
    std::int64_t commitChange(std::int64_t expectedVersion, const OperatorIntent &next);
    void addEntryVms(Wire::Status &result) const;
    void addBackends(Wire::Status &result) const;

    PlatformClient &platform_;
    Telemetry &telemetry_;
    TimePoint startedAt_;
    ServiceContext context_;
    std::atomic<bool> isOpen_{false};
};

} // namespace Cloverbarrow
