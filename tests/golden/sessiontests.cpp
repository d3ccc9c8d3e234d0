/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "core/intent/operatorintent.h"
#include "core/node.h"
#include "describe.h"
#include "sampleservice.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

/// Drives one node and records the name of each event with the resulting actions. Event names are part of the golden files.
class Session
{
public:
    Session()
        : node_(settings(), LoadReportPick{})
    {
    }

    void advance(Duration time)
    {
        now_ += time;
    }

    void event(const std::string &name, const NodeEvent &event)
    {
        text_ += "[" + std::to_string(now_.time_since_epoch().count() / 1000) + " ms] " + name + "\n";
        NodeActions actions;
        node_.handle(now_, event, actions);
        for (const NodeAction &action : actions) {
            text_ += "    " + describe(action) + "\n";
        }
    }

    void service(const std::string &name, ServiceEvent typed)
    {
        event(name, EventForService{"liquidacion", std::move(typed)});
    }

    void control(const std::string &name, ControlEvent typed)
    {
        event(name, std::move(typed));
    }

    void tick(const std::string &why)
    {
        control("tick: " + why, ControlTick{node_.remainingWork()});
    }

    void requestArrives(RequestId id, std::size_t kind, const std::string &key = {})
    {
        RequestArrived arrived;
        arrived.request = id;
        arrived.kind = kind;
        arrived.kindClass = static_cast<KindClass>(kind);
        arrived.deadline = now_ + seconds(2);
        arrived.idempotencyKey = key;
        arrived.digest = "digest";
        service("request " + std::to_string(id) + " arrives", arrived);
    }

    void attemptEnds(RequestId id, int attempt, AttemptOutcome outcome, const std::string &how)
    {
        service("attempt " + std::to_string(attempt) + " of " + std::to_string(id) + " ends: " + how,
                AttemptEnded{id, attempt, std::move(outcome), LoadReport{1}});
    }

    void storeAnswers(RequestId id, StoreResult result, const std::string &what)
    {
        service("platform on " + std::to_string(id) + ": " + what, PayoutStoreAnswered{id, std::move(result)});
    }

    void configure()
    {
        OperatorIntent intent;
        intent.document = sampleDocument();
        const std::string secondServer = "      - {name: b2, address: 127.0.0.1:9002, zone: bog-b}\n";
        intent.document.insert(intent.document.find("    measuring"), secondServer);
        control("platform answers the watch", WatchAnswered{StoreFound{7, encodeIntent(intent)}});
    }

    const std::string &text() const
    {
        return text_;
    }

    TimePoint now() const
    {
        return now_;
    }

private:
    static ControlSettings settings()
    {
        ControlSettings control;
        control.self.id = {"entry-1", "n1"};
        control.self.peerAddress = "127.0.0.1:7001";
        control.self.zone = "bog-a";
        control.seedPeers = {"127.0.0.1:7011"};
        control.seed = 5;
        return control;
    }

    TimePoint now_ = TimePoint(seconds(100));
    Node node_;
    std::string text_;
};

std::string goldenPath(const std::string &name)
{
    return std::string(GOLDEN_FOLDER) + "/" + name + ".golden.txt";
}

std::string readGolden(const std::string &name)
{
    std::ifstream file(goldenPath(name));
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

/// Compares the text with the golden file. With UPDATE_GOLDEN=1 the file is rewritten first, for review.
void approve(const std::string &name, const std::string &text)
{
    if (std::getenv("UPDATE_GOLDEN")) {
        std::ofstream(goldenPath(name)) << text;
    }
    CHECK(text == readGolden(name));
}

Heartbeat peerHeartbeat(std::uint64_t counter, std::int64_t version)
{
    Heartbeat heartbeat;
    heartbeat.sender.id = {"entry-2", "n2"};
    heartbeat.sender.peerAddress = "127.0.0.1:7011";
    heartbeat.sender.zone = "bog-b";
    heartbeat.sender.sequenceNumber = counter;
    heartbeat.sender.configurationVersion = version;
    return heartbeat;
}

/// A session whose node has a configuration and one peer.
class StartedSession : public Session
{
public:
    StartedSession()
    {
        tick("start");
        configure();
        control("entry-2 is heard", HeartbeatReceived{peerHeartbeat(1, 7)});
    }
};

} // namespace

TEST_CASE("Session: reads are retried within the retry limits, and writes only if not executed", "[golden]")
{
    StartedSession session;
    session.requestArrives(1, ReadKind);
    session.attemptEnds(1, 1, LostAnswer{"cut", false}, "answer cut");
    session.attemptEnds(1, 2, CompleteAnswer{}, "whole answer");
    session.requestArrives(2, WriteKind);
    session.attemptEnds(2, 1, LostAnswer{"cut", false}, "answer cut");
    session.requestArrives(3, WriteKind);
    session.attemptEnds(3, 1, NotSent{"connection refused"}, "never left");
    session.attemptEnds(3, 2, CompleteAnswer{503, true, false, false, {}, {}, true}, "declared not run");
    session.attemptEnds(3, 3, NotSent{"connection refused"}, "never left");
    session.requestArrives(4, ReadKind);
    session.service("caller of 4 goes", CallerGone{4});
    approve("reads-and-writes", session.text());
}

TEST_CASE("Session: a payout whose create and settle answers are lost is executed once", "[golden]")
{
    StartedSession session;
    session.requestArrives(1, PayoutKind, "pago-1");
    session.storeAnswers(1, StoreOutcomeUnknown{}, "the create's answer is lost");
    const PayoutRecord intentRecord{PayoutState::Intent, "digest", {"entry-1", "n1"}, 1, 0, {}, {}, true};
    session.storeAnswers(1, StoreFound{20, encodePayout(intentRecord)}, "the record stands");
    session.attemptEnds(1, 1, CompleteAnswer{200, false, false, false, "text/plain", "paid", true}, "paid");
    session.storeAnswers(1, StoreOutcomeUnknown{}, "the settle's answer is lost");
    session.advance(milliseconds(250));
    session.tick("heal the record");
    session.storeAnswers(1, StoreFound{20, encodePayout(intentRecord)}, "the settle did not take effect");
    session.storeAnswers(1, StoreWritten{21}, "settled");
    PayoutRecord settled = intentRecord;
    settled.state = PayoutState::Settled;
    settled.status = 200;
    settled.result = "paid";
    session.requestArrives(2, PayoutKind, "pago-1");
    session.storeAnswers(2, StoreConflict{}, "the key is taken");
    session.storeAnswers(2, StoreFound{21, encodePayout(settled)}, "settled before");
    session.requestArrives(3, PayoutKind, "pago-2");
    session.storeAnswers(3, StoreUnavailable{}, "the platform is down");
    session.requestArrives(4, PayoutKind, "pago-3");
    session.storeAnswers(4, StoreWritten{30}, "created");
    session.attemptEnds(4, 1, LostAnswer{"the connection closed", false}, "lost");
    session.storeAnswers(4, StoreWritten{31}, "recorded as unknown");
    approve("payout", session.text());
}

TEST_CASE("Session: a drain, a leaving server and a newer version take effect at once", "[golden]")
{
    StartedSession session;
    session.requestArrives(1, ReadKind);
    session.attemptEnds(1, 1, CompleteAnswer{503, true, true, false, {}, {}, true}, "leaving, not run");
    session.attemptEnds(1, 2, CompleteAnswer{}, "whole answer");
    session.advance(milliseconds(150));
    session.tick("the news is hurried to peers");
    session.control("entry-2 has a newer version", HeartbeatReceived{peerHeartbeat(2, 9)});
    OperatorIntent intent;
    intent.document = sampleDocument();
    intent.drains = {"liquidacion/b1"};
    session.control("entry-2 sends it", IntentFetched{"127.0.0.1:7011", 9, encodeIntent(intent)});
    session.requestArrives(2, ReadKind);
    session.control("a late answer brings an older version", WatchAnswered{StoreFound{8, encodeIntent({sampleDocument(), {}, {}})}});
    approve("leaving-and-configuration", session.text());
}

TEST_CASE("Session: a shutdown finishes what is in flight", "[golden]")
{
    StartedSession session;
    session.requestArrives(1, PayoutKind, "pago-1");
    session.storeAnswers(1, StoreWritten{20}, "created");
    session.control("stop is requested", StopRequested{});
    session.advance(milliseconds(100));
    session.tick("not ready, still serving");
    session.requestArrives(2, ReadKind);
    session.attemptEnds(2, 1, CompleteAnswer{}, "whole answer");
    session.advance(seconds(2));
    session.tick("the balancer has noticed");
    session.attemptEnds(1, 1, CompleteAnswer{200, false, false, false, "text/plain", "paid", true}, "paid");
    session.advance(milliseconds(100));
    session.tick("the record is not settled yet");
    session.storeAnswers(1, StoreWritten{21}, "settled");
    session.advance(milliseconds(100));
    session.tick("all is done");
    approve("shutdown", session.text());
}

TEST_CASE("The same events give byte-identical actions", "[golden]")
{
    const auto run = [] {
        StartedSession session;
        for (RequestId id = 1; id <= 50; ++id) {
            session.requestArrives(id, ReadKind);
            session.attemptEnds(id, 1, CompleteAnswer{}, "whole answer");
        }
        return session.text();
    };
    CHECK(run() == run());
}
