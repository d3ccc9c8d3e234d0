/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/servers/unresponsiveservers.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace Cloverbarrow
{

void UnresponsiveServers::probeStarted(TimePoint now, const std::string &server)
{
    Server &state = servers_[server];
    if (!state.probedAt || now - *state.probedAt > EvidenceLifetime) {
        state.probedAt = now;
    }
}

void UnresponsiveServers::answered(TimePoint now, const std::string &server, bool isProbe)
{
    servers_[server] = {now, std::nullopt, 0, {}};
    haveAnsweredProbes_ = haveAnsweredProbes_ || isProbe;
}

void UnresponsiveServers::failed(TimePoint now, const std::string &server, TimePoint sentAt, bool isProbe)
{
    Server &state = servers_[server];
    const bool isContradicted = state.answeredAt && *state.answeredAt >= sentAt;
    // Servers of some services answer requests but no probes.
    const bool isMeaningful = !isProbe || haveAnsweredProbes_;
    if (isContradicted || !isMeaningful) {
        return;
    }
    state.failures = now - state.failedAt > EvidenceLifetime ? 1 : state.failures + 1;
    state.failedAt = now;
}

void UnresponsiveServers::keepOnly(std::span<const std::string> servers)
{
    const std::set<std::string_view> kept(servers.begin(), servers.end());
    std::erase_if(servers_, [&kept](const auto &entry) { return !kept.contains(entry.first); });
}

std::vector<std::string> UnresponsiveServers::servers(TimePoint now, UnresponsiveEvidence evidence) const
{
    std::optional<TimePoint> lastUnanswered;
    if (evidence == UnresponsiveEvidence::SlowProbe) {
        for (const auto &[name, server] : servers_) {
            if (server.probedAt && hasEvidence(server, now, evidence)) {
                lastUnanswered = std::max(lastUnanswered.value_or(*server.probedAt), *server.probedAt);
            }
        }
    }
    std::vector<std::string> names;
    for (const auto &[name, server] : servers_) {
        // While servers stop answering, one that has answered since is more certain to be up than one that has not been probed.
        const bool isDoubtful = lastUnanswered && (!server.answeredAt || *server.answeredAt <= *lastUnanswered);
        if (isDoubtful || hasEvidence(server, now, evidence)) {
            names.push_back(name);
        }
    }
    return names;
}

bool UnresponsiveServers::hasEvidence(const Server &server, TimePoint now, UnresponsiveEvidence evidence)
{
    const bool hasFailed = server.failures > 0 && now - server.failedAt <= EvidenceLifetime;
    switch (evidence) {
    case UnresponsiveEvidence::SlowProbe:
        return hasFailed || (server.probedAt && now - *server.probedAt >= ProbeAnswerTime && now - *server.probedAt <= EvidenceLifetime);
    case UnresponsiveEvidence::Failure:
        return hasFailed;
    case UnresponsiveEvidence::RepeatedFailure:
        break;
    }
    return hasFailed && server.failures >= FailuresIfDown;
}

} // namespace Cloverbarrow
