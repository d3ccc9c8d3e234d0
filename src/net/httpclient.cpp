/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/httpclient.h"

#include "core/support/stablehash.h"
#include "core/support/text.h"
#include "net/bootclock.h"
#include "net/httptransfer.h"
#include "net/log.h"
#include "net/signalstack.h"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace Cloverbarrow
{

namespace
{

constexpr int PollMs = 1000;
// With PollMs, each connection is looked at within UserTimeout.
constexpr Duration WindowCheckInterval = milliseconds(250);
constexpr long MaxIdleConnections = 4096;
constexpr std::size_t MaxSpareHandles = 256;
// Used until a server announces its own idle timeout; shorter than the usual default of servers.
constexpr Duration DefaultIdleTimeout = seconds(4);
// Covers the transit time of a request and the rounding to whole seconds.
constexpr Duration IdleMargin = seconds(1);
constexpr int MaxAnnouncedIdleSeconds = 3600;
// How often the bytes received on connections are counted. In one iteration libcurl reads at most 1.6 MB from a connection.
constexpr int IterationsPerFloodCheck = 4;
constexpr std::string_view TimeoutParameter = "timeout=";

struct MultiDeleter {
    void operator()(CURLM *handle) const
    {
        curl_multi_cleanup(handle);
    }
};
using MultiHandle = std::unique_ptr<CURLM, MultiDeleter>;

void initialiseOnce()
{
    static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(result);
}

} // namespace

/// One thread with one libcurl multi handle.
class HttpClient::Worker
{
public:
    explicit Worker(std::shared_ptr<MemoryBudget> memory)
        : log_("http")
        , memory_(std::move(memory))
        , multi_(curl_multi_init())
    {
        curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS, MaxIdleConnections);
        thread_ = std::thread([this] { run(); });
    }

    ~Worker()
    {
        stop();
    }

    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    void start(HttpCallId id, HttpCall call, HttpCallback done)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->id = id;
        transfer->call = std::move(call);
        transfer->done = std::move(done);
        transfer->body = BodyBuilder(memory_, MemoryUse::Answer);
        transfer->sockets = &sockets_;
        if (!enqueue(transfer)) {
            transfer->done(HttpFailure{false, false, "shutting down"});
            return;
        }
        curl_multi_wakeup(multi_.get());
    }

    void cancel(HttpCallId id)
    {
        {
            const std::lock_guard lock(mutex_);
            cancelled_.push_back(id);
        }
        curl_multi_wakeup(multi_.get());
    }

    void setConnectionsPerAddress(long count)
    {
        connectionsPerAddress_ = count;
        curl_multi_wakeup(multi_.get());
    }

    void stop()
    {
        {
            const std::lock_guard lock(mutex_);
            isStopping_ = true;
        }
        curl_multi_wakeup(multi_.get());
        if (thread_.joinable()) {
            thread_.join();
        }
    }

private:
    /// Takes ownership of @p transfer unless the worker is stopping. @return whether it did.
    bool enqueue(std::unique_ptr<Transfer> &transfer)
    {
        const std::lock_guard lock(mutex_);
        if (isStopping_) {
            return false;
        }
        queue_.push_back(std::move(transfer));
        return true;
    }

    void run()
    {
        const SignalStack signalStack;
        while (processQueue()) {
            int running = 0;
            curl_multi_perform(multi_.get(), &running);
            finishCompleted();
            finishFlooded();
            finishWithoutPeer();
            curl_multi_poll(multi_.get(), nullptr, 0, PollMs, nullptr);
        }
        while (!transfers_.empty()) {
            finish(*transfers_.begin()->second, CURLE_ABORTED_BY_CALLBACK);
        }
    }

    /// Starts queued calls and cancels calls. @return whether the worker continues.
    bool processQueue()
    {
        if (const long count = connectionsPerAddress_; count != appliedConnections_) {
            appliedConnections_ = count;
            curl_multi_setopt(multi_.get(), CURLMOPT_MAX_HOST_CONNECTIONS, count);
        }
        std::deque<std::unique_ptr<Transfer>> queued;
        std::vector<HttpCallId> cancelled;
        bool isStopping = false;
        {
            const std::lock_guard lock(mutex_);
            queued.swap(queue_);
            cancelled.swap(cancelled_);
            isStopping = isStopping_;
        }
        for (auto &transfer : queued) {
            begin(std::move(transfer));
        }
        for (const HttpCallId id : cancelled) {
            if (const auto found = transfers_.find(id); found != transfers_.end()) {
                finish(*found->second, CURLE_ABORTED_BY_CALLBACK);
            }
        }
        return !isStopping;
    }

    void begin(std::unique_ptr<Transfer> transfer)
    {
        // Replaced in the map, it would be destroyed while libcurl uses it, and its callback would never be called.
        if (const auto sameId = transfers_.find(transfer->id); sameId != transfers_.end()) {
            finish(*sameId->second, CURLE_ABORTED_BY_CALLBACK);
        }
        if (spare_.empty()) {
            transfer->easy.reset(curl_easy_init());
        } else {
            transfer->easy = std::move(spare_.back());
            spare_.pop_back();
        }
        configureTransfer(*transfer, maxIdleOf(transfer->call.address));
        curl_multi_add_handle(multi_.get(), transfer->easy.get());
        const HttpCallId id = transfer->id;
        transfers_.emplace(id, std::move(transfer));
    }

    Duration maxIdleOf(const std::string &address) const
    {
        const auto found = idleTimeouts_.find(address);
        return found == idleTimeouts_.end() ? DefaultIdleTimeout : found->second;
    }

    /// Stores the idle timeout that a server announces (Keep-Alive header). A request sent just when the server closes the connection would be lost.
    void updateIdleTimeout(const std::string &address, const HttpOutcome &outcome)
    {
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        const auto keepAlive = answer ? findHeader(answer->headers, "keep-alive") : std::nullopt;
        if (!keepAlive || !keepAlive->starts_with(TimeoutParameter)) {
            return;
        }
        const std::string_view value = keepAlive->substr(TimeoutParameter.size());
        if (const auto announced = parseNumber(value.substr(0, value.find(',')), MaxAnnouncedIdleSeconds)) {
            idleTimeouts_.insert_or_assign(address, std::max<Duration>(seconds(1), seconds(*announced) - IdleMargin));
        }
    }

    void finishCompleted()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi_.get(), &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            Transfer *transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            finish(*transfer, message->data.result);
        }
    }

    /// Ends transfers on whose connections too many bytes have been received.
    void finishFlooded()
    {
        if (++iterations_ % IterationsPerFloodCheck != 0) {
            return;
        }
        for (Transfer *transfer : transfersThat(isFlooded)) {
            transfer->isTooLong = true;
            finish(*transfer, CURLE_ABORTED_BY_CALLBACK);
        }
    }

    /// Ends transfers whose peers have gone while they were not reading the request.
    void finishWithoutPeer()
    {
        const TimePoint now = bootNow();
        if (now - windowsCheckedAt_ < WindowCheckInterval) {
            return;
        }
        windowsCheckedAt_ = now;
        for (Transfer *transfer : transfersThat(awaitsGonePeer)) {
            finish(*transfer, CURLE_SEND_ERROR);
        }
    }

    std::vector<Transfer *> transfersThat(bool (*condition)(Transfer &)) const
    {
        std::vector<Transfer *> found;
        for (const auto &[id, transfer] : transfers_) {
            if (condition(*transfer)) {
                found.push_back(transfer.get());
            }
        }
        return found;
    }

    void finish(Transfer &finished, CURLcode code)
    {
        auto node = transfers_.extract(finished.id);
        Transfer &transfer = *node.mapped();
        curl_multi_remove_handle(multi_.get(), transfer.easy.get());
        HttpOutcome outcome = outcomeOf(transfer, code);
        if (isHeadTruncated(transfer, code)) {
            log_.warn("answer truncated in its head", {{"server", transfer.call.address}, {"head_bytes", static_cast<std::int64_t>(transfer.headBytes)}});
        }
        updateIdleTimeout(transfer.call.address, outcome);
        if (spare_.size() < MaxSpareHandles) {
            curl_easy_reset(transfer.easy.get());
            spare_.push_back(std::move(transfer.easy));
        }
        transfer.done(std::move(outcome));
    }

    Log log_;
    std::shared_ptr<MemoryBudget> memory_;
    ConnectionSockets sockets_; // Accessed only by the worker's thread, and when libcurl closes its connections.
    MultiHandle multi_;
    std::mutex mutex_;
    std::deque<std::unique_ptr<Transfer>> queue_;
    std::vector<HttpCallId> cancelled_;
    bool isStopping_ = false;
    std::atomic<long> connectionsPerAddress_{0};
    long appliedConnections_ = 0;
    // Accessed only by the worker's thread.
    std::map<HttpCallId, std::unique_ptr<Transfer>> transfers_;
    std::vector<EasyHandle> spare_;
    std::map<std::string, Duration> idleTimeouts_;
    unsigned iterations_ = 0;
    TimePoint windowsCheckedAt_;
    std::thread thread_;
};

HttpClient::HttpClient(std::size_t threads, const std::shared_ptr<MemoryBudget> &memory)
{
    initialiseOnce();
    for (std::size_t index = 0; index < std::max<std::size_t>(1, threads); ++index) {
        workers_.push_back(std::make_unique<Worker>(memory));
    }
}

HttpClient::~HttpClient()
{
    stop();
}

void HttpClient::start(HttpCallId id, HttpCall call, HttpCallback done)
{
    Worker &worker = workerOf(call.address);
    worker.start(id, std::move(call), std::move(done));
}

void HttpClient::cancel(HttpCallId id, const std::string &address)
{
    workerOf(address).cancel(id);
}

void HttpClient::setMaxConnectionsPerAddress(long count)
{
    for (const auto &worker : workers_) {
        worker->setConnectionsPerAddress(count);
    }
}

void HttpClient::stop()
{
    for (const auto &worker : workers_) {
        worker->stop();
    }
}

HttpClient::Worker &HttpClient::workerOf(const std::string &address)
{
    return *workers_[stableHash({address}) % workers_.size()];
}

} // namespace Cloverbarrow
