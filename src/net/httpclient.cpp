/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/httpclient.h"

#include "core/stablehash.h"

#include <curl/curl.h>

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
constexpr long ConnectTimeoutMs = 1000;
constexpr long MaxIdleConnections = 4096;
constexpr std::size_t MaxSpareHandles = 256;
constexpr std::size_t MaxAnswerHead = 64 * 1024;

struct EasyDeleter {
    void operator()(CURL *handle) const
    {
        curl_easy_cleanup(handle);
    }
};
using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;

struct MultiDeleter {
    void operator()(CURLM *handle) const
    {
        curl_multi_cleanup(handle);
    }
};
using MultiHandle = std::unique_ptr<CURLM, MultiDeleter>;

struct ListDeleter {
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

void initialiseOnce()
{
    static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(result);
}

/// One call under way.
struct Transfer {
    HttpCallId id = 0;
    HttpCall call;
    HttpDone done;
    EasyHandle easy;
    HeaderList headers;
    std::string url;
    HttpAnswer answer;
    std::size_t headBytes = 0;
    bool hasLeft = false;
    bool isResend = false;
    bool isTooLong = false;
};

/// libcurl asks right before it sends. A second question for one call means that it wants to send the
/// request again by itself, on a fresh connection after a dead one; only the core may decide that.
int beforeSend(void *context, char *, char *, int, int)
{
    auto *transfer = static_cast<Transfer *>(context);
    if (transfer->hasLeft) {
        transfer->isResend = true;
        return CURL_PREREQFUNC_ABORT;
    }
    transfer->hasLeft = true;
    return CURL_PREREQFUNC_OK;
}

std::size_t takeBody(char *bytes, std::size_t, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    if (transfer->answer.body.size() + count > transfer->call.maxAnswerBytes) {
        transfer->isTooLong = true;
        return 0;
    }
    transfer->answer.body.append(bytes, count);
    return count;
}

void startAnswer(std::string_view statusLine, HttpAnswer &answer)
{
    // A new status line begins the final answer after interim ones.
    answer = {};
    const std::size_t space = statusLine.find(' ');
    const std::size_t reason = statusLine.find(' ', space + 1);
    if (space != std::string_view::npos && reason != std::string_view::npos) {
        answer.reason = std::string(statusLine.substr(reason + 1));
    }
}

std::size_t takeHeader(char *bytes, std::size_t, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    std::string_view line(bytes, count);
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
        line.remove_suffix(1);
    }
    if (line.starts_with("HTTP/")) {
        startAnswer(line, transfer->answer);
        transfer->headBytes = 0;
    } else if (const std::size_t colon = line.find(':'); colon != std::string_view::npos) {
        std::string_view value = line.substr(colon + 1);
        value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
        transfer->answer.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
    }
    transfer->headBytes += count;
    if (transfer->headBytes > MaxAnswerHead) {
        transfer->isTooLong = true;
        return 0;
    }
    return count;
}

HeaderList headerList(const HttpCall &call)
{
    curl_slist *list = nullptr;
    const auto add = [&list](const std::string &line) { list = curl_slist_append(list, line.c_str()); };
    for (const Header &header : call.request.headers) {
        // The library takes "Name;" for an empty value.
        add(header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
    }
    if (!call.tag.empty()) {
        add(std::string(ExchangeTagHeader) + ": " + call.tag);
    }
    // The library adds these by itself unless told not to.
    for (const char *name : {"Accept", "Content-Type", "User-Agent"}) {
        if (!findHeader(call.request.headers, name)) {
            add(std::string(name) + ":");
        }
    }
    add("Expect:");
    return HeaderList(list);
}

void setMethod(CURL *easy, const HttpRequest &request)
{
    const bool isBodiless =
        request.body.empty() && (request.method == "GET" || request.method == "HEAD" || request.method == "DELETE" || request.method == "OPTIONS");
    if (request.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else if (!isBodiless) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void configure(Transfer &transfer)
{
    CURL *easy = transfer.easy.get();
    transfer.headers = headerList(transfer.call);
    transfer.url = "http://" + transfer.call.address + "/";
    curl_easy_setopt(easy, CURLOPT_URL, transfer.url.c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, transfer.call.request.target.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    // The environment must not send requests elsewhere.
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_HTTP09_ALLOWED, 0L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers.get());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max<long>(1, static_cast<long>(toMilliseconds(transfer.call.timeout))));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, transfer.call.mayReuseConnection ? 0L : 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, transfer.call.mayReuseConnection ? 0L : 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, takeBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, takeHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, beforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    setMethod(easy, transfer.call.request);
}

/// @return whether the end of the answer was told by the answer itself and not by the connection's end.
bool tellsItsEnd(const Transfer &transfer)
{
    const HttpAnswer &answer = transfer.answer;
    const bool isBodiless = transfer.call.request.method == "HEAD" || answer.status == 204 || answer.status == 304;
    return isBodiless || findHeader(answer.headers, "content-length") || findHeader(answer.headers, "transfer-encoding");
}

HttpOutcome outcomeOf(Transfer &transfer, CURLcode code)
{
    if (transfer.isTooLong) {
        return HttpFailure{true, false, "the answer is too long"};
    }
    if (transfer.isResend) {
        return HttpFailure{true, false, "the connection closed without an answer"};
    }
    if (code != CURLE_OK) {
        return HttpFailure{transfer.hasLeft, code == CURLE_OPERATION_TIMEDOUT, curl_easy_strerror(code)};
    }
    long status = 0;
    curl_easy_getinfo(transfer.easy.get(), CURLINFO_RESPONSE_CODE, &status);
    transfer.answer.status = static_cast<int>(status);
    if (!tellsItsEnd(transfer)) {
        return HttpFailure{true, false, "the answer ended with its connection, so it may be cut"};
    }
    if (!transfer.call.tag.empty() && findHeader(transfer.answer.headers, ExchangeTagHeader) != transfer.call.tag) {
        return HttpFailure{true, false, "the answer belongs to another exchange"};
    }
    return std::move(transfer.answer);
}

} // namespace

/// One thread with one multi handle.
class HttpClient::Worker
{
public:
    Worker()
        : multi_(curl_multi_init())
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

    void start(HttpCallId id, HttpCall call, HttpDone done)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->id = id;
        transfer->call = std::move(call);
        transfer->done = std::move(done);
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
    /// Takes @p transfer over unless the worker is stopping.
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
        while (takeQueued()) {
            int running = 0;
            curl_multi_perform(multi_.get(), &running);
            finishDone();
            curl_multi_poll(multi_.get(), nullptr, 0, PollMs, nullptr);
        }
        while (!transfers_.empty()) {
            finish(*transfers_.begin()->second, CURLE_ABORTED_BY_CALLBACK);
        }
    }

    /// @return whether to go on.
    bool takeQueued()
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
        if (spare_.empty()) {
            transfer->easy.reset(curl_easy_init());
        } else {
            transfer->easy = std::move(spare_.back());
            spare_.pop_back();
        }
        configure(*transfer);
        curl_multi_add_handle(multi_.get(), transfer->easy.get());
        const HttpCallId id = transfer->id;
        transfers_.insert_or_assign(id, std::move(transfer));
    }

    void finishDone()
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

    void finish(Transfer &finished, CURLcode code)
    {
        auto node = transfers_.extract(finished.id);
        Transfer &transfer = *node.mapped();
        curl_multi_remove_handle(multi_.get(), transfer.easy.get());
        HttpOutcome outcome = outcomeOf(transfer, code);
        if (spare_.size() < MaxSpareHandles) {
            curl_easy_reset(transfer.easy.get());
            spare_.push_back(std::move(transfer.easy));
        }
        transfer.done(std::move(outcome));
    }

    MultiHandle multi_;
    std::mutex mutex_;
    std::deque<std::unique_ptr<Transfer>> queue_;
    std::vector<HttpCallId> cancelled_;
    bool isStopping_ = false;
    std::atomic<long> connectionsPerAddress_{0};
    long appliedConnections_ = 0;
    // Used by the worker's thread only.
    std::map<HttpCallId, std::unique_ptr<Transfer>> transfers_;
    std::vector<EasyHandle> spare_;
    std::thread thread_;
};

HttpClient::HttpClient(std::size_t threads)
{
    initialiseOnce();
    for (std::size_t index = 0; index < std::max<std::size_t>(1, threads); ++index) {
        workers_.push_back(std::make_unique<Worker>());
    }
}

HttpClient::~HttpClient()
{
    stop();
}

void HttpClient::start(HttpCallId id, HttpCall call, HttpDone done)
{
    Worker &worker = workerOf(call.address);
    worker.start(id, std::move(call), std::move(done));
}

void HttpClient::cancel(HttpCallId id, const std::string &address)
{
    workerOf(address).cancel(id);
}

void HttpClient::setConnectionsPerAddress(long count)
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
