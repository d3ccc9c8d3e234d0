/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/node.h"
#include "daemon/eventhandler.h"
#include "net/wire.h"

#include <atomic>

namespace Cloverbarrow
{

/// Objects of the daemon that the Thrift services use; set after the daemon has been constructed.
struct ServiceContext {
    Node *node = nullptr;
    EventHandler *events = nullptr;
};

/// Serves calls of other entry VMs.
class PeerService : public Wire::PeerIf
{
public:
    /// Starts to accept calls; earlier ones fail.
    void open(ServiceContext context);

    void exchange(Wire::Heartbeat &answer, const Wire::Heartbeat &heartbeat) override;
    void fetchIntent(Wire::Intent &answer) override;
    bool canReach(const std::string &name, const std::string &nonce, const std::string &peerAddress) override;

private:
    const ServiceContext &context() const;

    ServiceContext context_;
    std::atomic<bool> isOpen_{false};
};

} // namespace Cloverbarrow
