/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "connectedcaller.h"
#include "generate.h"

#include "net/connectionmonitor.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

using namespace Cloverbarrow;
using namespace Cloverbarrow::Tests;

namespace
{

constexpr std::size_t AllBytes = 1024 * 1024;
constexpr std::size_t BlockingAnswerBytes = 400'000; // more than a socket takes at once
constexpr std::size_t LargeBodyBytes = 90'000;
constexpr Duration LongAfterAllLimits = seconds(100);

struct SentRequest {
    std::string target;
    std::string body;
    std::size_t begin = 0; ///< Position in the stream.
};

struct ReadAnswer {
    int status = 0;
    bool closes = false;
    std::string body;
};

/// @return the final answers in @p bytes; one that is cut is left out.
std::vector<ReadAnswer> answersIn(const std::string &bytes)
{
    constexpr std::string_view LengthHeader = "Content-Length: ";
    std::vector<ReadAnswer> answers;
    std::size_t at = 0;
    for (std::size_t headEnd = bytes.find("\r\n\r\n"); headEnd != std::string::npos; headEnd = bytes.find("\r\n\r\n", at)) {
        const std::string head = bytes.substr(at, headEnd - at);
        const int status = std::stoi(head.substr(std::string_view("HTTP/1.1 ").size()));
        at = headEnd + 4;
        if (status < 200) {
            continue;
        }
        const std::size_t length = std::stoul(head.substr(head.find(LengthHeader) + LengthHeader.size()));
        if (bytes.size() - at < length) {
            break;
        }
        answers.push_back({status, head.find("Connection: close") != std::string::npos, bytes.substr(at, length)});
        at += length;
    }
    return answers;
}

CallerBounds drawBounds()
{
    CallerBounds bounds;
    bounds.idleTimeout = *rc::gen::element(std::optional<Duration>(), std::optional<Duration>(seconds(2)), std::optional<Duration>(seconds(15)));
    bounds.headTimeout = *rc::gen::element<Duration>(seconds(1), seconds(10));
    bounds.limits.head = *rc::gen::element<std::size_t>(100, 32 * 1024, 32 * 1024, 32 * 1024);
    return bounds;
}

/// Plays a caller, the thread that reads from its socket, the handler of its requests and the thread that checks timeouts, in random order.
class ConnectionPlay
{
public:
    void playStep()
    {
        const int step = pick(0, 20);
        if (step == 0) {
            caller_.connection->setBounds(drawBounds());
        } else if (step == 1) {
            caller_.connection->closeAfterAnswer();
        } else if (step == 2) {
            caller_.connection->closeGracefully();
        } else if (step == 3 && pick(0, 4) == 0) {
            hasCallerClosed_ = true;
            caller_.closeSending();
        } else if (step < 6) {
            while (read()) { }
        } else if (step < 9) {
            elapse(*rc::gen::element<Duration>(milliseconds(0), milliseconds(500), milliseconds(1500), seconds(5), seconds(20)));
        } else if (step < 12) {
            answerOne(pick<std::size_t>(0, 8), pick(0, 6) == 0 ? BlockingAnswerBytes : 0);
        } else if (step < 16) {
            passOn(*rc::gen::element<std::size_t>(1, 30, 200, AllBytes));
        } else {
            send(*rc::gen::element<std::size_t>(7, 50, 300, AllBytes));
        }
    }

    /// Processes what was sent, and lets the time of all limits pass.
    void end()
    {
        finishRequests();
        elapse(LongAfterAllLimits);
        finishRequests();
        caller_.connection->closeGracefully();
        finishRequests();
        caller_.closeSending();
        passOn(AllBytes);
        elapse(LongAfterAllLimits);
    }

    void check() const
    {
        const std::vector<ReadAnswer> answers = answersIn(output_);
        const std::size_t dispatched = caller_.dispatched.size();
        for (std::size_t index = 0; index < dispatched; ++index) {
            RC_ASSERT(caller_.dispatched[index].target == requests_.at(index).target);
            RC_ASSERT(caller_.dispatched[index].body.view() == requests_[index].body);
        }
        for (std::size_t index = 0; index < answers.size(); ++index) {
            const bool isRefusal = answers[index].status >= 400;
            const bool isOwn = answers[index].body.starts_with(requests_.at(index).target + "\n");
            RC_ASSERT((isRefusal ? index >= dispatched && answers[index].closes : isOwn));
            RC_ASSERT(!answers[index].closes || index + 1 == answers.size());
        }
        const auto begun = static_cast<std::size_t>(
            std::count_if(requests_.begin(), requests_.end(), [this](const SentRequest &request) { return request.begin < passedOn_; }));
        const ConnectionCounts counts = monitor_->counts();
        RC_ASSERT(counts.read == counts.answered + counts.leftByCaller + counts.unanswered + counts.inFlight);
        RC_ASSERT((caller_.connection->isClosed() && counts.inFlight == 0));
        RC_CLASSIFY(hasCallerClosed_ || madeNoProgress_, "the caller closes or does not read");
        RC_CLASSIFY(!answers.empty() && answers.back().status >= 400, "refused");
        RC_CLASSIFY(dispatched > 2, "three requests and more");
        RC_ASSERT((madeNoProgress_ || (counts.droppedInputs == 0 && answers.size() >= dispatched)));
        if (!hasCallerClosed_ && !madeNoProgress_) {
            RC_ASSERT(counts.unanswered == 0U);
            RC_ASSERT(answers.size() >= begun || (!answers.empty() && answers.back().closes));
        }
    }

private:
    void addRequest()
    {
        SentRequest request{"/" + std::to_string(requests_.size()), {}, stream_.size()};
        const bool hasBody = pick(0, 2) == 0;
        stream_ += (hasBody ? "POST " : "GET ") + request.target + " HTTP/1.1\r\nHost: tablero.example\r\n" + (pick(0, 15) == 0 ? "Connection: close\r\n" : "");
        if (!hasBody) {
            stream_ += "\r\n";
        } else {
            stream_ += pick(0, 4) == 0 ? "Expect: 100-continue\r\n" : "";
            request.body = std::string(pick(0, 6) == 0 ? LargeBodyBytes : pick<std::size_t>(0, 50), static_cast<char>(pick('a', 'z')));
            if (!request.body.empty() && pick(0, 2) == 0) {
                std::ostringstream size;
                size << std::hex << request.body.size();
                stream_ += "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" + request.body + "\r\n0\r\n\r\n";
            } else {
                stream_ += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
            }
        }
        requests_.push_back(std::move(request));
    }

    void send(std::size_t count)
    {
        while (stream_.size() - sent_ < std::min<std::size_t>(count, 1000)) {
            addRequest();
        }
        sent_ += hasCallerClosed_ ? 0 : caller_.sendBytes(std::string_view(stream_).substr(sent_, count));
    }

    std::size_t passOn(std::size_t count)
    {
        const std::size_t passed = caller_.passOn(count);
        passedOn_ += passed;
        elapsed_ = passed > 0 ? Duration(0) : elapsed_;
        return passed;
    }

    /// Answers one of the requests that have no answer yet. @return whether there is one.
    bool answerOne(std::size_t choice, std::size_t extraBytes)
    {
        for (; known_ < caller_.dispatched.size(); ++known_) {
            waiting_.push_back(known_);
        }
        if (waiting_.empty()) {
            return false;
        }
        std::swap(waiting_[choice % waiting_.size()], waiting_.back());
        const std::size_t index = waiting_.back();
        waiting_.pop_back();
        caller_.answer(index, requests_.at(index).target + "\n" + std::string(extraBytes, '.'));
        elapsed_ = Duration(0);
        return true;
    }

    bool read()
    {
        const std::string bytes = caller_.readBytes();
        output_ += bytes;
        caller_.connection->checkTimeouts(bootNow());
        elapsed_ = bytes.empty() ? elapsed_ : Duration(0);
        return !bytes.empty();
    }

    void elapse(Duration time)
    {
        elapsed_ += time;
        madeNoProgress_ = madeNoProgress_ || (caller_.connection->isSending() && elapsed_ >= CallerBounds().transferTimeout);
        caller_.connection->checkTimeouts(bootNow() + elapsed_);
    }

    void finishRequests()
    {
        while (passOn(AllBytes) > 0 || answerOne(0, 0) || read()) { }
    }

    std::shared_ptr<ConnectionMonitor> monitor_ = std::make_shared<ConnectionMonitor>("test");
    ConnectedCaller caller_{{.maxRequestsInFlight = pick<std::size_t>(1, 5), .monitor = monitor_}, drawBounds()};
    std::string stream_;
    std::vector<SentRequest> requests_;
    std::size_t sent_ = 0;
    std::size_t passedOn_ = 0;
    std::vector<std::size_t> waiting_; ///< Dispatched requests that have no answer yet.
    std::size_t known_ = 0; ///< Dispatched requests that are in waiting_ or answered.
    std::string output_; ///< What the caller has read.
    Duration elapsed_{0}; ///< Since bytes were passed on, answered or read.
    bool hasCallerClosed_ = false;
    bool madeNoProgress_ = false;
};

} // namespace

TEST_CASE("Each request that is read is answered or refused, or an earlier answer announced the end, however its connection ends", "[caller][property]")
{
    CHECK(rc::check("whatever the order of input, answers, limits and ends", [] {
        ConnectionPlay play;
        for (int steps = pick(5, 80); steps > 0; --steps) {
            play.playStep();
        }
        play.end();
        play.check();
    }));
}
