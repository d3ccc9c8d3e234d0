/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

#include "core/intent/operatorintent.h"
#include "core/support/time.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cloverbarrow
{

/// Activate this intent.
struct InstallIntent {
    std::shared_ptr<const ActiveIntent> intent;

    bool operator==(const InstallIntent &other) const
    {
        return intent->version == other.intent->version && intent->value == other.intent->value;
    }
};

/// Request the intent of a peer.
struct FetchIntent {
    std::string address;

    bool operator==(const FetchIntent &) const = default;
};

/// Read the platform's object. The platform answers once the object is newer than `afterVersion` or `wait` has passed.
struct WatchIntent {
    std::int64_t afterVersion = 0;
    Duration wait{0};

    bool operator==(const WatchIntent &) const = default;
};

/// A received intent is invalid; the active intent is kept.
struct ReportInvalidIntent {
    std::string source;
    std::int64_t version = 0;
    std::string reason;

    bool operator==(const ReportInvalidIntent &) const = default;
};

using IntentAction = std::variant<InstallIntent, FetchIntent, WatchIntent, ReportInvalidIntent>;

/// Keeps the newest accepted intent active in this process. The active version never decreases, whether intents come from
/// the platform or from peers. A few entry VMs of each zone watch the platform; the others get intents from peers and ask
/// the platform only when peers are unresponsive.
class IntentManager
{
public:
    const std::shared_ptr<const ActiveIntent> &activeIntent() const;
    std::int64_t version() const;

    /// @param isWatcher whether this entry VM is one of its zone's watchers.
    void tick(TimePoint now, bool isWatcher, std::vector<IntentAction> &actions);
    /// The platform answered, with a newer object or without one.
    void platformAnswered(TimePoint now, const std::optional<StoreFound> &newer, std::vector<IntentAction> &actions);
    void platformFailed(TimePoint now);
    /// A change was accepted through this entry VM.
    void changeAccepted(std::int64_t version, std::string_view value, std::vector<IntentAction> &actions);
    /// A peer reported the version of its active intent.
    void peerVersionReceived(TimePoint now, const std::string &address, std::int64_t version, std::vector<IntentAction> &actions);
    void peerIntentReceived(TimePoint now, const std::string &address, std::int64_t version, std::string_view value, std::vector<IntentAction> &actions);
    void fetchFailed();
    /// The directory built a newer intent, which is already validated.
    void intentPublished(const std::shared_ptr<const ActiveIntent> &intent, std::vector<IntentAction> &actions);

    /// @return whether the platform or a peer answered recently enough for the intent to be considered current.
    bool isFresh(TimePoint now) const;
    /// @return whether the platform has answered at least once.
    bool hasPlatformAnswered() const;
    bool isPlatformUnresponsive(TimePoint now) const;

private:
    void activateIfNewer(const std::string &source, std::int64_t version, std::string_view value, std::vector<IntentAction> &actions);

    std::shared_ptr<const ActiveIntent> activeIntent_;
    std::optional<TimePoint> platformContactAt_;
    std::optional<TimePoint> peerContactAt_;
    std::optional<TimePoint> watchStartedAt_; ///< Set while a watch is in flight.
    TimePoint nextWatch_;
    std::int64_t fetchingVersion_ = 0; ///< Version that was requested from a peer; 0 if none.
    std::int64_t newestInvalidVersion_ = 0; ///< Newest version that was invalid.
    int platformFailures_ = 0;
};

} // namespace Cloverbarrow
