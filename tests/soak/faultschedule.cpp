/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "faultschedule.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace Cloverbarrow::Soak
{

namespace
{

using std::chrono::milliseconds;

// The longest interval between faults and the range of their duration: some faults overlap, others follow one another.
constexpr std::size_t MaxIntervalMs = 250;
constexpr std::size_t MinDurationMs = 100;
constexpr std::size_t MaxDurationMs = 2500;
// Combined with the seed, these select an independent random stream for each later group of faults.
constexpr std::uint64_t CrashStream = 0x63726173;
constexpr std::uint64_t EvacuationStream = 0x706c6163;
constexpr std::uint64_t LimitStream = 0x6c696d69;

using Standins::Conduct;

struct NamedConduct {
    Conduct conduct;
    const char *name;
};

constexpr std::array Conducts = {NamedConduct{Conduct::Shed, "sheds requests"},
                                 NamedConduct{Conduct::Hang, "hangs"},
                                 NamedConduct{Conduct::Reset, "resets connections after executing requests"},
                                 NamedConduct{Conduct::Unsigned, "answers without a signature"},
                                 NamedConduct{Conduct::Unframed, "answers without a length"}};

/// An invalid value that another writer stores in a field of a server's entry, as JSON.
struct CorruptedField {
    const char *name;
    const char *value;
};

constexpr std::array CorruptedFields = {CorruptedField{"address", "7"},
                                        CorruptedField{"state", "\"resting\""},
                                        CorruptedField{"slots", "\"three\""},
                                        CorruptedField{"service", "null"},
                                        CorruptedField{"born", "-1"}};

} // namespace

FaultSchedule::FaultSchedule(SoakSite &site, std::uint64_t seed)
    : site_(site)
    , random_(seed)
    , laterRandom_(~seed)
    , crashRandom_(seed ^ CrashStream)
    , placeRandom_(seed ^ EvacuationStream)
    , limitRandom_(seed ^ LimitStream)
{
}

milliseconds FaultSchedule::step()
{
    while (!ends_.empty() && ends_.begin()->first <= Clock::now()) {
        const auto node = ends_.extract(ends_.begin());
        node.mapped()();
    }
    drawFault();
    drawLaterFault();
    drawCrash();
    drawPlaceFault();
    drawLimit();
    return milliseconds(random_.below(MaxIntervalMs));
}

void FaultSchedule::endAll()
{
    for (const auto &[due, end] : ends_) {
        end();
    }
    ends_.clear();
    for (std::future<int> &stopped : stopping_) {
        if (const int code = stopped.get(); code != 0) {
            badExits_.push_back("a process exited after SIGTERM with code " + std::to_string(code));
        }
    }
    stopping_.clear();
    note("all faults ended");
}

const std::vector<std::string> &FaultSchedule::journal() const
{
    return journal_;
}

const std::vector<std::string> &FaultSchedule::badExits() const
{
    return badExits_;
}

void FaultSchedule::drawFault()
{
    constexpr std::array Injectors = {&FaultSchedule::drawSignal, &FaultSchedule::drawStoreFault, &FaultSchedule::drawServerFault, &FaultSchedule::drawChange};
    (this->*Injectors.at(random_.below(Injectors.size())))();
}

void FaultSchedule::drawSignal()
{
    const std::size_t entryVm = anyEntryVm();
    const std::string name = "entry-" + std::to_string(entryVm);
    switch (random_.below(4)) {
    case 0:
        note(name + " pauses");
        site_.signal(entryVm, SIGSTOP);
        endLater([this, entryVm] { site_.signal(entryVm, SIGCONT); });
        break;
    case 1:
        note(name + " is killed");
        site_.killAndRestart(entryVm);
        break;
    case 2:
        note(name + " is asked to stop");
        stopping_.push_back(std::async(std::launch::async, [this, entryVm] { return site_.stopAndRestart(entryVm); }));
        break;
    default:
        note(name + " reloads its settings");
        site_.signal(entryVm, SIGHUP);
        break;
    }
}

void FaultSchedule::drawStoreFault()
{
    switch (random_.below(4)) {
    case 0:
        note("the store refuses all calls");
        site_.store().setBusy(true);
        endLater([this] { site_.store().setBusy(false); });
        break;
    case 1:
        note("the store discards its change history");
        site_.store().forgetHistory();
        break;
    default:
        const std::size_t entryVm = anyEntryVm();
        harmLink(site_.storeLink(entryVm), "link of entry-" + std::to_string(entryVm) + " to the store");
        break;
    }
}

void FaultSchedule::drawServerFault()
{
    const std::size_t backend = anyBackend();
    const std::string name = "backend server " + std::to_string(backend);
    if (random_.below(2) == 0) {
        harmLink(site_.backendLink(backend), "link to " + name);
        return;
    }
    const NamedConduct &drawn = Conducts.at(random_.below(Conducts.size()));
    note(name + " " + drawn.name);
    site_.conduct(backend, drawn.conduct);
    endLater([this, backend] { site_.conduct(backend, Conduct::Serve); });
}

void FaultSchedule::drawChange()
{
    const std::size_t backend = anyBackend();
    switch (random_.below(3)) {
    case 0:
        note("configuration " + std::to_string(site_.configure()));
        break;
    case 1:
        note("backend server " + std::to_string(backend) + " is replaced");
        site_.replaceBackend(backend);
        break;
    default:
        note("backend server " + std::to_string(backend) + " drains");
        site_.setDraining(backend, true);
        endLater([this, backend] { site_.setDraining(backend, false); });
        break;
    }
}

void FaultSchedule::drawLaterFault()
{
    constexpr std::size_t StepsPerFault = 6;
    if (laterRandom_.below(StepsPerFault) > 0) {
        return;
    }
    const std::size_t backend = laterRandom_.below(site_.backends());
    const std::string name = "backend server " + std::to_string(backend);
    if (laterRandom_.below(2) == 0) {
        note(name + " restarts under the same id");
        site_.backendLink(backend).setFault(LinkFault::Reset);
        endLater(laterRandom_, [this, backend] {
            site_.backendLink(backend).setFault(LinkFault::None);
            site_.restartBackend(backend);
        });
        return;
    }
    const CorruptedField &drawn = CorruptedFields.at(laterRandom_.below(CorruptedFields.size()));
    note("another writer corrupts field '" + std::string(drawn.name) + "' of " + name);
    site_.spoilEntry(backend, drawn.name, nlohmann::json::parse(drawn.value));
    endLater(laterRandom_, [this, backend] { site_.mendEntry(backend); });
}

void FaultSchedule::drawCrash()
{
    constexpr std::size_t StepsPerCrash = 10;
    if (crashRandom_.below(StepsPerCrash) > 0) {
        return;
    }
    const std::size_t backend = crashRandom_.below(site_.backends());
    note("backend server " + std::to_string(backend) + " crashes without a request");
    site_.crash(backend);
}

void FaultSchedule::drawPlaceFault()
{
    constexpr std::size_t StepsPerFault = 8;
    if (placeRandom_.below(StepsPerFault) > 0) {
        return;
    }
    const std::size_t backend = placeRandom_.below(site_.backends());
    if (isEvacuated_ || placeRandom_.below(2) == 0) {
        note("backend server " + std::to_string(backend) + " becomes cold");
        site_.chill(backend);
        return;
    }
    // Only one zone at a time: with all zones evacuated no request can be served.
    isEvacuated_ = true;
    note("zone " + SoakSite::zoneOfBackend(backend) + " is evacuated");
    site_.setEvacuated(backend, true);
    endLater(placeRandom_, [this, backend] {
        note("zone " + SoakSite::zoneOfBackend(backend) + " is taken back");
        site_.setEvacuated(backend, false);
        isEvacuated_ = false;
    });
}

void FaultSchedule::drawLimit()
{
    constexpr std::size_t StepsPerFault = 8;
    constexpr std::array Limits = {"0", "0.5", "2.7", "20", "nan", "2,7"};
    if (limitRandom_.below(StepsPerFault) > 0) {
        return;
    }
    const std::size_t backend = limitRandom_.below(site_.backends());
    const char *limit = Limits.at(limitRandom_.below(Limits.size()));
    note("backend server " + std::to_string(backend) + " announces a request limit of " + limit);
    site_.nameLimit(backend, limit);
    endLater(limitRandom_, [this, backend] { site_.nameLimit(backend, ""); });
}

void FaultSchedule::note(const std::string &what)
{
    const auto since = std::chrono::duration_cast<milliseconds>(Clock::now() - start_);
    journal_.push_back(std::to_string(since.count()) + " ms: " + what);
}

void FaultSchedule::endLater(std::function<void()> end)
{
    endLater(random_, std::move(end));
}

void FaultSchedule::endLater(Random &random, std::function<void()> end)
{
    const milliseconds duration(MinDurationMs + random.below(MaxDurationMs - MinDurationMs));
    ends_.emplace(Clock::now() + duration, std::move(end));
}

void FaultSchedule::harmLink(FaultProxy &link, const std::string &name)
{
    constexpr std::array Faults = {LinkFault::Slow, LinkFault::CutThere, LinkFault::CutBack, LinkFault::Cut, LinkFault::Reset};
    const std::size_t drawn = random_.below(Faults.size() + 1);
    if (drawn == Faults.size()) {
        note(name + ": open connections carry no more data");
        link.silenceOpenConnections();
        return;
    }
    note(name + ": " + nameOf(Faults.at(drawn)));
    link.setFault(Faults.at(drawn));
    endLater([&link] { link.setFault(LinkFault::None); });
}

std::size_t FaultSchedule::anyEntryVm()
{
    return random_.below(site_.entryVms());
}

std::size_t FaultSchedule::anyBackend()
{
    return random_.below(site_.backends());
}

} // namespace Cloverbarrow::Soak
