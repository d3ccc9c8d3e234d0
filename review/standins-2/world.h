/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#pragma once

// Small stand-ins of the platform's store, of backend servers and of clients, and the start of entry VMs as the deploy file starts them. They follow PROTOCOL.md
// and use nothing of the project's own code.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fcntl.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace World
{

using Json = nlohmann::json;
using Headers = std::vector<std::pair<std::string, std::string>>;

inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// What was sent, answered and run, one event a line.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(std::fopen(path.c_str(), "w"))
    {
    }

    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        const std::lock_guard lock(mutex_);
        std::va_list arguments;
        va_start(arguments, format);
        std::fprintf(file_, "%8.3f  ", now());
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE *file_;
};

/// Text with control characters made visible.
inline std::string shown(const std::string &text, std::size_t most = 400)
{
    std::string result;
    for (const char character : text.substr(0, most)) {
        if (character == '\r') {
            result += "\\r";
        } else if (character == '\n') {
            result += "\\n";
        } else if (static_cast<unsigned char>(character) < 0x20) {
            result += "?";
        } else {
            result += character;
        }
    }
    return result + (text.size() > most ? "..." : "");
}

inline bool isSame(const std::string &left, const std::string &right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

inline std::optional<std::string> find(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (isSame(key, name)) {
            return value;
        }
    }
    return std::nullopt;
}

inline std::string trimmed(std::string text)
{
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.pop_back();
    }
    std::size_t first = 0;
    while (first < text.size() && (text[first] == ' ' || text[first] == '\t')) {
        ++first;
    }
    return text.substr(first);
}

inline std::uint64_t hashOf(const std::string &text)
{
    std::uint64_t hash = 1469598103934665603ULL;
    for (const unsigned char character : text) {
        hash = (hash ^ character) * 1099511628211ULL;
    }
    return hash;
}

struct Message {
    std::string first; ///< Request line or status line.
    std::string method;
    std::string target;
    int status = 0;
    Headers headers;
    std::string head; ///< As received, with the empty line.
    std::string body;
};

/// Reads messages from a connection.
class Reader
{
public:
    explicit Reader(int fd)
        : fd_(fd)
    {
    }

    int fd() const
    {
        return fd_;
    }

    const std::string &rest() const
    {
        return buffer_;
    }

    /// @return whether more bytes came.
    bool fill(double timeout)
    {
        pollfd entry{fd_, POLLIN, 0};
        if (::poll(&entry, 1, static_cast<int>(timeout * 1000)) <= 0) {
            hasTimedOut = true;
            return false;
        }
        char bytes[16384];
        const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
        if (count <= 0) {
            hasEnded = count == 0;
            wasReset = count < 0;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool readHead(Message &message, double timeout)
    {
        const double until = now() + timeout;
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (now() >= until || !fill(std::max(0.001, until - now()))) {
                return false;
            }
        }
        message = {};
        message.head = buffer_.substr(0, end + 4);
        buffer_.erase(0, end + 4);
        std::size_t at = message.head.find("\r\n");
        message.first = message.head.substr(0, at);
        at += 2;
        while (at < message.head.size() - 2) {
            const std::size_t lineEnd = message.head.find("\r\n", at);
            const std::string line = message.head.substr(at, lineEnd - at);
            at = lineEnd + 2;
            if (const std::size_t colon = line.find(':'); colon != std::string::npos) {
                message.headers.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
            }
        }
        return true;
    }

    bool readBytes(std::string &body, std::size_t count, double timeout)
    {
        const double until = now() + timeout;
        while (buffer_.size() < count) {
            if (now() >= until || !fill(std::max(0.001, until - now()))) {
                body = buffer_;
                buffer_.clear();
                return false;
            }
        }
        body = buffer_.substr(0, count);
        buffer_.erase(0, count);
        return true;
    }

    bool readRequest(Message &message, double timeout)
    {
        if (!readHead(message, timeout)) {
            return false;
        }
        const std::size_t space = message.first.find(' ');
        message.method = message.first.substr(0, space);
        message.target = message.first.substr(space + 1, message.first.rfind(' ') - space - 1);
        if (const auto coding = find(message.headers, "transfer-encoding"); coding && isSame(*coding, "chunked")) {
            return readChunks(message.body, timeout);
        }
        const auto length = find(message.headers, "content-length");
        return !length || readBytes(message.body, std::stoul(*length), timeout);
    }

    /// @return whether a whole answer came. An answer without a length counts as whole when its connection ends in order.
    bool readAnswer(Message &message, double timeout)
    {
        const double until = now() + timeout;
        if (!readHead(message, timeout)) {
            return false;
        }
        message.status = message.first.size() > 12 ? std::atoi(message.first.c_str() + 9) : 0;
        if (message.status == 204 || message.status == 304) {
            return true;
        }
        if (const auto length = find(message.headers, "content-length")) {
            return readBytes(message.body, std::stoul(*length), until - now());
        }
        if (const auto coding = find(message.headers, "transfer-encoding"); coding && isSame(*coding, "chunked")) {
            return readChunks(message.body, until - now());
        }
        while (fill(std::max(0.001, until - now()))) {
        }
        message.body = std::exchange(buffer_, {});
        return hasEnded;
    }

    bool hasEnded = false;
    bool wasReset = false;
    bool hasTimedOut = false;

private:
    bool readChunks(std::string &body, double timeout)
    {
        const double until = now() + timeout;
        while (true) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (now() >= until || !fill(std::max(0.001, until - now()))) {
                    return false;
                }
            }
            const std::size_t size = std::stoul(buffer_.substr(0, end), nullptr, 16);
            buffer_.erase(0, end + 2);
            std::string piece;
            if (!readBytes(piece, size + 2, until - now())) {
                return false;
            }
            body += piece.substr(0, size);
            if (size == 0) {
                return true;
            }
        }
    }

    int fd_;
    std::string buffer_;
};

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline void resetAndClose(int fd)
{
    const linger hard{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(fd);
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
    address.sin_port = ::htons(static_cast<std::uint16_t>(port));
    return address;
}

/// Listens on a free loopback port, with a thread a connection.
class Server
{
public:
    Server()
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = loopback(0);
        if (::bind(listener_, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(listener_, 512) != 0) {
            throw std::runtime_error("cannot listen");
        }
        socklen_t size = sizeof address;
        ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ::ntohs(address.sin_port);
    }
    virtual ~Server() = default;
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

    void start()
    {
        std::thread([this] {
            while (true) {
                const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    continue;
                }
                const int on = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([this, fd] { serve(fd); }).detach();
            }
        }).detach();
    }

protected:
    virtual void serve(int fd) = 0;

private:
    int listener_ = -1;
    int port_ = 0;
};

inline std::string answerText(int status, const std::string &body, const Headers &headers = {}, const char *reason = "OK")
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: objects by kind and name, with revisions, conditions, lists and watches.
class Store : public Server
{
public:
    void put(const std::string &kind, const std::string &name, const Json &specification)
    {
        const std::lock_guard lock(mutex_);
        putLocked(kind, name, specification);
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(mutex_);
        removeLocked(kind, name);
    }

    /// @return what is stored under the name; null if there is nothing.
    Json specification(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(mutex_);
        const auto found = objects_[kind].find(name);
        return found == objects_[kind].end() ? Json() : found->second.at("specification");
    }

    /// Handles one call, and waits as long as a watch does. @return status and body of the answer.
    std::pair<int, Json> handle(const Message &request)
    {
        sleepFor(AnswerTime);
        return handleCall(request);
    }

    static constexpr double AnswerTime = 0.004;

protected:
    void serve(int fd) override
    {
        Reader reader(fd);
        Message request;
        while (reader.readRequest(request, 120)) {
            const auto [status, body] = handle(request);
            if (!sendAll(fd, answerText(status, body.dump(), {{"Content-Type", "application/json"}}))) {
                break;
            }
        }
        ::close(fd);
    }

private:
    struct Change {
        std::string kind;
        std::int64_t revision;
        Json event;
    };

    void putLocked(const std::string &kind, const std::string &name, const Json &specification)
    {
        auto &objects = objects_[kind];
        const auto found = objects.find(name);
        if (found != objects.end() && found->second.at("specification") == specification) {
            return;
        }
        ++revision_;
        const Json made = found == objects.end() ? Json(revision_) : found->second.at("metadata").at("created_rev");
        const Json metadata = {{"name", name}, {"revision", revision_}, {"created_rev", made}, {"finalizers", Json::array()}, {"deleting", false}};
        const Json object = {{"metadata", metadata}, {"specification", specification}, {"status", Json::object()}};
        objects[name] = object;
        changes_.push_back({kind, revision_, {{"object", object}, {"deleted", false}}});
        changed_.notify_all();
    }

    void removeLocked(const std::string &kind, const std::string &name)
    {
        const auto found = objects_[kind].find(name);
        if (found == objects_[kind].end()) {
            return;
        }
        Json object = found->second;
        object["metadata"]["revision"] = ++revision_;
        objects_[kind].erase(found);
        changes_.push_back({kind, revision_, {{"object", object}, {"deleted", true}}});
        changed_.notify_all();
    }

    static std::optional<std::string> query(const std::string &target, const std::string &name)
    {
        const std::size_t mark = target.find('?');
        const std::string rest = mark == std::string::npos ? std::string() : "&" + target.substr(mark + 1) + "&";
        const std::size_t found = rest.find("&" + name + "=");
        if (found == std::string::npos) {
            return std::nullopt;
        }
        const std::size_t begin = found + name.size() + 2;
        return rest.substr(begin, rest.find('&', begin) - begin);
    }

    std::pair<int, Json> handleCall(const Message &request)
    {
        std::unique_lock lock(mutex_);
        const std::string path = request.target.substr(0, request.target.find('?'));
        const std::string prefix = "/objects/";
        if (path.rfind(prefix, 0) != 0) {
            return {404, {{"error", "no such path"}}};
        }
        const std::string rest = path.substr(prefix.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        std::string name = kind.size() < rest.size() ? rest.substr(kind.size() + 1) : std::string();
        name = name.substr(0, name.find('/'));
        if (request.method != "GET") {
            return write(request, kind, name);
        }
        if (!name.empty()) {
            const auto found = objects_[kind].find(name);
            return found == objects_[kind].end() ? std::pair<int, Json>(404, {{"error", "none"}}) : std::pair<int, Json>(200, found->second);
        }
        if (const auto since = query(request.target, "watch")) {
            const std::int64_t after = std::stoll(*since);
            const int waitMs = std::min(30'000, std::stoi(query(request.target, "wait_ms").value_or("0")));
            const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
            while (true) {
                Json events = Json::array();
                for (const Change &change : changes_) {
                    if (change.kind == kind && change.revision > after) {
                        events.push_back(change.event);
                    }
                }
                if (!events.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) {
                    return {200, {{"events", events}, {"store_revision", revision_}}};
                }
            }
        }
        Json items = Json::array();
        const std::string after = query(request.target, "after").value_or("");
        for (const auto &[key, object] : objects_[kind]) {
            if (key > after) {
                items.push_back(object);
            }
        }
        return {200, {{"items", items}, {"has_more", false}, {"store_revision", revision_}}};
    }

    std::pair<int, Json> write(const Message &request, const std::string &kind, const std::string &named)
    {
        const Json sent = request.body.empty() ? Json::object() : Json::parse(request.body);
        const std::string name = named.empty() ? sent.at("metadata").at("name").get<std::string>() : named;
        const auto found = objects_[kind].find(name);
        const bool exists = found != objects_[kind].end();
        if (request.method == "POST" ? exists : !exists) {
            return exists ? std::pair<int, Json>(409, found->second) : std::pair<int, Json>(404, {{"error", "none"}});
        }
        if (exists && sent.contains("metadata") && sent.at("metadata").contains("revision")
            && sent.at("metadata").at("revision") != found->second.at("metadata").at("revision")) {
            return {409, found->second};
        }
        if (request.method == "DELETE") {
            removeLocked(kind, name);
            return {200, Json::object()};
        }
        if (sent.contains("specification")) {
            putLocked(kind, name, sent.at("specification"));
        }
        return {200, objects_[kind][name]};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t revision_ = 1;
    std::map<std::string, std::map<std::string, Json>> objects_;
    std::vector<Change> changes_;
};

/// The path of one machine to the store.
class StorePath : public Server
{
public:
    enum class State {
        Open,
        Cut, ///< Nothing gets through, in either direction.
    };

    explicit StorePath(Store &store)
        : store_(store)
    {
    }

    /// Connections on which something was lost end when the path opens again.
    void set(State state)
    {
        const std::lock_guard lock(mutex_);
        state_ = state;
        if (state != State::Cut) {
            for (const int fd : open_) {
                ::shutdown(fd, SHUT_RDWR);
            }
        }
    }

    /// The next answer to a watch of objects of this kind is lost: its connection stays open and returns nothing further.
    void loseNextWatchAnswer(const std::string &kind)
    {
        const std::lock_guard lock(mutex_);
        lostWatch_ = kind;
    }

    int answered() const
    {
        return answered_;
    }

    int lost() const
    {
        return lost_;
    }

protected:
    void serve(int fd) override
    {
        {
            const std::lock_guard lock(mutex_);
            open_.insert(fd);
        }
        Reader reader(fd);
        Message request;
        while (reader.readRequest(request, 120)) {
            const State before = state();
            const std::pair<int, Json> answer = before == State::Open ? store_.handle(request) : std::pair<int, Json>();
            if (before == State::Cut || state() != before) {
                // The call, or its answer, is lost in the cut.
                continue;
            }
            if (takeLoss(request, answer.second)) {
                ++lost_;
                while (reader.readRequest(request, 120)) {
                }
                break;
            }
            ++answered_;
            if (!sendAll(fd, answerText(answer.first, answer.second.dump(), {{"Content-Type", "application/json"}}))) {
                break;
            }
        }
        const std::lock_guard lock(mutex_);
        open_.erase(fd);
        ::close(fd);
    }

private:
    State state() const
    {
        const std::lock_guard lock(mutex_);
        return state_;
    }

    bool takeLoss(const Message &request, const Json &answer)
    {
        const std::lock_guard lock(mutex_);
        const bool isLost = !lostWatch_.empty() && request.target.rfind("/objects/" + lostWatch_ + "?watch=", 0) == 0 && !answer.value("events", Json::array()).empty();
        if (isLost) {
            lostWatch_.clear();
        }
        return isLost;
    }

    Store &store_;
    mutable std::mutex mutex_;
    std::string lostWatch_;
    std::atomic<int> answered_{0};
    std::atomic<int> lost_{0};
    State state_ = State::Open;
    std::set<int> open_;
};

/// A backend server with slots. `answer` may change what is sent for a request that has run.
class Backend : public Server
{
public:
    Backend(Record &record, std::string id, std::string service, std::string zone)
        : record_(record)
        , id_(std::move(id))
        , service_(std::move(service))
        , zone_(std::move(zone))
    {
    }

    const std::string &id() const
    {
        return id_;
    }

    Json registration(const std::string &state = "ready") const
    {
        return {{"service", service_},
                {"address", address()},
                {"zone", zone_},
                {"version", "v1"},
                {"slots", Slots},
                {"state", state},
                {"warmup_remaining_s", 0.0},
                {"sequence", 1}};
    }

    /// The body of a sound answer to a request.
    static std::string bodyFor(const Message &request, const std::string &id, std::size_t size)
    {
        std::string body = "of " + id + " for " + find(request.headers, "x-cloverbarrow-request-id").value_or("?") + ":";
        while (body.size() < size) {
            body += static_cast<char>('a' + body.size() % 26);
        }
        return body;
    }

    /// The headers of a sound answer.
    Headers headersFor(const Message &request, const std::string &body)
    {
        const std::string stamp = id_ + "." + std::to_string(body.size()) + "." + std::to_string(hashOf(body));
        return {{"X-Cloverbarrow-Request-Id", find(request.headers, "x-cloverbarrow-request-id").value_or("")},
                {"X-Cloverbarrow-Server-Stamp", stamp},
                {"X-Cloverbarrow-Server-Load", load()}};
    }

    std::string load() const
    {
        return std::to_string(running_.load()) + ",0," + std::to_string(Slots) + ",100";
    }

    std::vector<std::string> ran() const
    {
        const std::lock_guard lock(mutex_);
        return ran_;
    }

    /// @return when requests arrived that were run.
    std::vector<double> arrivals() const
    {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }

    /// @return whether the connection stays open. Set before the start.
    std::function<bool(Backend &, int, const Message &)> answer;
    /// Work on each request in seconds. Set before the start.
    double work = 0.03;
    static constexpr int Slots = 3;

protected:
    void serve(int fd) override
    {
        Reader reader(fd);
        Message request;
        while (reader.readRequest(request, 20)) {
            if (!handle(fd, request)) {
                break;
            }
        }
        ::close(fd);
    }

private:
    bool handle(int fd, const Message &request)
    {
        if (request.target == "/health") {
            return sendAll(fd, answerText(200, "well", {{"X-Cloverbarrow-Instance-Id", id_}, {"X-Cloverbarrow-Server-Load", load()}}));
        }
        const std::string requestId = find(request.headers, "x-cloverbarrow-request-id").value_or("");
        const Headers notRun = {{"X-Cloverbarrow-Request-Id", requestId}, {"X-Cloverbarrow-Not-Executed", "1"}, {"X-Cloverbarrow-Server-Load", load()}};
        if (const auto expected = find(request.headers, "x-cloverbarrow-expect-instance"); expected && *expected != id_) {
            return sendAll(fd, answerText(421, "", notRun, "Misdirected Request"));
        }
        if (requestId.empty()) {
            return sendAll(fd, answerText(400, "", notRun, "Bad Request"));
        }
        if (running_ >= Slots) {
            return sendAll(fd, answerText(503, "", notRun, "Service Unavailable"));
        }
        ++running_;
        {
            const std::lock_guard lock(mutex_);
            ran_.push_back(requestId);
            arrivals_.push_back(now());
        }
        record_.line("server %s runs %s: %s %s", id_.c_str(), requestId.c_str(), request.method.c_str(), request.target.c_str());
        sleepFor(work);
        --running_;
        if (answer) {
            return answer(*this, fd, request);
        }
        const std::string body = bodyFor(request, id_, 200);
        return sendAll(fd, answerText(200, body, headersFor(request, body)));
    }

    Record &record_;
    std::string id_;
    std::string service_;
    std::string zone_;
    std::atomic<int> running_{0};
    mutable std::mutex mutex_;
    std::vector<std::string> ran_;
    std::vector<double> arrivals_;
};

/// @return a loopback port that was free a moment ago.
inline int freePort()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(fd);
    return ::ntohs(address.sin_port);
}

inline int connectTo(const std::string &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = loopback(std::stoi(address.substr(address.find(':') + 1)));
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline std::string requestText(const std::string &method, const std::string &host, const std::string &target, const std::string &id, int deadlineMs, const std::string &body = "")
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Cloverbarrow-Request-Id: " + id
        + "\r\nX-Cloverbarrow-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// One entry VM, started by the command of the deploy file with settings as of deploy/settings.yaml.tmpl.
class EntryVm
{
public:
    struct Options {
        std::string name = "frontend-sala-a-1";
        std::string zone = "sala-a";
        std::string store;
        std::string folder;
        bool isFirstStart = true;
        std::string relay = "127.0.0.1:0";
        std::string zones = "sala-a, sala-b, sala-c, sala-d";
    };

    explicit EntryVm(const Options &options)
    {
        const std::string path = options.folder + "/" + options.name + ".conf";
        std::ofstream(path) << "name: " << options.name << "\nzone: " << options.zone << "\nregion: bogota\nlisten:\n  callers: 127.0.0.1:0\n  operations: 127.0.0.1:0\n"
                            << "  metrics: 127.0.0.1:0\ndirectory:\n  address: " << options.store << "\n  relay: " << options.relay << "\n  first_start: "
                            << (options.isFirstStart ? "true" : "false") << "\n  link_mbps: 1000.0\n  zones: [" << options.zones << "]\n  repeat_ratio: 0.2\n"
                            << "  repeat_slack: 64\n  probes_per_server: 60\n  share_slow_servers: false\nstartup: {max_requests: 64, max_bytes: 4194304, "
                            << "max_wait_ms: 1000, expected_ms: 400}\nshutdown: {notice_ms: 2800, grace_s: 6}\nlimits: { memory_mb: 260, max_body_bytes: 67108864}\n"
                            << "threads: {callers: 1, backends: 1}\nlog_level: info\n";
        int pipe[2];
        if (::pipe2(pipe, O_CLOEXEC) != 0) {
            throw std::runtime_error("no pipe");
        }
        const std::string log = options.folder + "/" + options.name + ".log";
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::dup2(pipe[1], STDOUT_FILENO);
            std::freopen(log.c_str(), "a", stderr);
            const std::string settings = "--settings=" + path;
            const std::string file = "CLOVERBARROW_NODE_FILE=" + path;
            const std::string search = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
            const char *arguments[] = {"target/cloverbarrowd", settings.c_str(), nullptr};
            const char *environment[] = {file.c_str(), search.c_str(), "HOME=/tmp", "LANG=C", nullptr};
            ::execve(arguments[0], const_cast<char **>(arguments), const_cast<char **>(environment));
            ::_exit(127);
        }
        ::close(pipe[1]);
        std::string line;
        char character = 0;
        while (::read(pipe[0], &character, 1) == 1 && character != '\n') {
            line += character;
        }
        if (line.empty()) {
            throw std::runtime_error("the entry VM doesn't start");
        }
        const Json addresses = Json::parse(line);
        callers = addresses.at("callers").get<std::string>();
        operations = addresses.at("operations").get<std::string>();
        std::thread([input = pipe[0], log] {
            std::FILE *file = std::fopen(log.c_str(), "a");
            char bytes[4096];
            ssize_t count = 0;
            while ((count = ::read(input, bytes, sizeof bytes)) > 0) {
                std::fwrite(bytes, 1, static_cast<std::size_t>(count), file);
                std::fflush(file);
            }
        }).detach();
    }

    ~EntryVm()
    {
        if (!hasEnded()) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, &status_, 0);
        }
    }
    EntryVm(const EntryVm &) = delete;
    EntryVm &operator=(const EntryVm &) = delete;

    bool hasEnded()
    {
        if (!hasEnded_ && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
            hasEnded_ = true;
        }
        return hasEnded_;
    }

    int status() const
    {
        return status_;
    }

    void send(int signal) const
    {
        ::kill(pid_, signal);
    }

    pid_t pid() const
    {
        return pid_;
    }

    bool isReady() const
    {
        const int fd = connectTo(operations);
        if (fd < 0) {
            return false;
        }
        sendAll(fd, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        Reader reader(fd);
        Message answer;
        const bool isWhole = reader.readAnswer(answer, 1);
        ::close(fd);
        return isWhole && answer.status == 200;
    }

    bool awaitReady(double seconds) const
    {
        for (const double until = now() + seconds; now() < until; sleepFor(0.05)) {
            if (isReady()) {
                return true;
            }
        }
        return false;
    }

    std::string callers;
    std::string operations;

private:
    pid_t pid_ = -1;
    int status_ = 0;
    bool hasEnded_ = false;
};

inline Json route(const std::string &host, const std::string &prefix, const std::string &service, const std::string &kind, double timeout, double aim, int priority)
{
    return {{"name", service + "-" + kind},
            {"host", host},
            {"path_prefix", prefix},
            {"service", service},
            {"kind", kind},
            {"timeout_s", timeout},
            {"target_latency_s", aim},
            {"max_attempts", kind == "safe" ? 3 : 2},
            {"priority", priority}};
}

inline Json serviceOf(const std::string &name)
{
    return {{"name", name}, {"health_check_path", "/health"}, {"connection_limit", 260}};
}

inline Json configuration(int version, const Json &routes, const Json &services)
{
    return {{"version", "r" + std::to_string(version)},
            {"routes", routes},
            {"services", services},
            {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 1048576}, {"header_timeout_s", 5.0}, {"idle_timeout_s", 10.0}}}};
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

} // namespace World
