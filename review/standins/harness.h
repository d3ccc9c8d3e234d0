// Stand-ins for the cases of the review: the platform's store, backends, clients and a proxy, on loopback addresses, and the start of entry VMs.
// They do what the pages say and nothing else; where a page is silent they behave like a sound program.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review
{

using Json = nlohmann::json;

// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CannotRun = 2;

inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

/// What was sent, answered and run, one event a line.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(std::fopen(path.c_str(), "w"))
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%9.3f %s\n", now(), text.c_str());
        std::fflush(file_);
    }

    /// Also shown on the standard output.
    void say(const std::string &text)
    {
        line(text);
        std::printf("%9.3f %s\n", now(), text.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex mutex_;
    std::FILE *file_;
};

inline sockaddr_in socketAddress(const std::string &address)
{
    sockaddr_in result{};
    const std::size_t colon = address.find(':');
    result.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    result.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.substr(colon + 1).c_str())));
    return result;
}

inline int listenOn(const std::string &ip, int &port, int backlog = 1024)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address = socketAddress(ip + ":" + std::to_string(port));
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, backlog) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

inline int freePort(const std::string &ip)
{
    int port = 0;
    const int fd = listenOn(ip, port);
    ::close(fd);
    return port;
}

/// @return a connected socket, or -1.
inline int connectTo(const std::string &address, double timeout)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
        return -1;
    }
    const int yes = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    const sockaddr_in target = socketAddress(address);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0 && errno == EINPROGRESS) {
        pollfd entry{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (::poll(&entry, 1, static_cast<int>(timeout * 1000)) <= 0 || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

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

inline void resetClose(int fd)
{
    const linger option{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    ::close(fd);
}

/// @return whether the peer has closed its side. What it has sent meanwhile stays unread.
inline bool hasPeerClosed(int fd)
{
    char byte = 0;
    const ssize_t count = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

struct Message {
    std::string first; ///< Request line or status line.
    std::map<std::string, std::string> headers; ///< With names in lower case.
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string method() const
    {
        return first.substr(0, first.find(' '));
    }
    std::string target() const
    {
        const std::size_t begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    int status() const
    {
        return first.size() > 12 ? std::atoi(first.substr(9, 3).c_str()) : 0;
    }
};

enum class ReadEnd { Whole, Closed, Reset, Timeout };

/// Reads one message with a length; @p buffer keeps what follows.
inline ReadEnd readMessage(int fd, std::string &buffer, Message &message, double deadline, bool isHead = false)
{
    message = {};
    std::size_t headEnd = std::string::npos;
    std::size_t length = 0;
    while (true) {
        if (headEnd == std::string::npos && (headEnd = buffer.find("\r\n\r\n")) != std::string::npos) {
            std::size_t position = buffer.find("\r\n");
            message.first = buffer.substr(0, position);
            while (position < headEnd) {
                const std::size_t begin = position + 2;
                position = buffer.find("\r\n", begin);
                const std::string line = buffer.substr(begin, position - begin);
                const std::size_t colon = line.find(':');
                std::string name = line.substr(0, colon);
                for (char &character : name) {
                    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
                }
                const std::size_t value = colon == std::string::npos ? std::string::npos : line.find_first_not_of(' ', colon + 1);
                message.headers[name] = value == std::string::npos ? std::string() : line.substr(value);
            }
            length = isHead ? 0 : static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
        }
        if (headEnd != std::string::npos && buffer.size() >= headEnd + 4 + length) {
            message.body = buffer.substr(headEnd + 4, length);
            buffer.erase(0, headEnd + 4 + length);
            return ReadEnd::Whole;
        }
        pollfd entry{fd, POLLIN, 0};
        const double left = deadline - now();
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left * 1000) + 1) <= 0) {
            if (deadline - now() <= 0) {
                return ReadEnd::Timeout;
            }
            continue;
        }
        char bytes[16384];
        const ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
        if (count == 0) {
            return ReadEnd::Closed;
        }
        if (count < 0) {
            return ReadEnd::Reset;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

inline std::string answerText(int status, const std::string &reason, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Serves each connection on a thread of its own.
class Server
{
public:
    /// Handles a request on @p fd. @return whether the connection is kept.
    using Handler = std::function<bool(int fd, const Message &)>;

    Server(const std::string &ip, int port, Handler handler)
        : ip_(ip)
        , port_(port)
        , handler_(std::move(handler))
    {
        listener_ = listenOn(ip_, port_);
        thread_ = std::thread([this] { run(); });
    }

    ~Server()
    {
        isStopping_ = true;
        thread_.join();
        ::close(listener_);
    }

    std::string address() const
    {
        return ip_ + ":" + std::to_string(port_);
    }

private:
    void run()
    {
        while (!isStopping_) {
            pollfd entry{listener_, POLLIN, 0};
            if (::poll(&entry, 1, 20) <= 0) {
                continue;
            }
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int yes = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        std::string buffer;
        Message request;
        while (!isStopping_ && readMessage(fd, buffer, request, now() + 600) == ReadEnd::Whole && handler_(fd, request)) { }
        ::close(fd);
    }

    std::string ip_;
    int port_;
    Handler handler_;
    int listener_ = -1;
    std::atomic<bool> isStopping_{false};
    std::thread thread_;
};

/// The platform's store, as PROTOCOL.md says.
class Store
{
public:
    explicit Store(const std::string &ip)
        : server_(ip, 0, [this](int fd, const Message &request) { return handle(fd, request); })
    {
    }

    std::string address() const
    {
        return server_.address();
    }

    /// Writes an object as the operator or a backend does. @return its revision.
    std::int64_t put(const std::string &kind, const std::string &name, const Json &specification)
    {
        const std::lock_guard lock(mutex_);
        const std::int64_t revision = writeLocked(kind, name, specification, {});
        changed_.notify_all();
        return revision;
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(mutex_);
        if (objects_[kind].erase(name) > 0) {
            const Json object = {
                {"metadata", {{"name", name}, {"revision", ++revision_}, {"created_rev", 1}, {"finalizers", Json::array()}, {"deleting", true}}},
                {"specification", Json::object()},
                {"status", nullptr}};
            history_.push_back({kind, revision_, {{"deleted", true}, {"object", object}}});
            changed_.notify_all();
        }
    }

    Json read(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(mutex_);
        const auto found = objects_[kind].find(name);
        return found == objects_[kind].end() ? Json() : found->second;
    }

    /// While down, calls get status 503, which means that nothing was done.
    void setDown(bool isDown)
    {
        const std::lock_guard lock(mutex_);
        isDown_ = isDown;
        changed_.notify_all();
    }

    /// While set, answers to watches of @p kind that bring a change are lost; their connections return nothing further. Empty: none is lost.
    void loseChangesOf(const std::string &kind)
    {
        const std::lock_guard lock(mutex_);
        lostKind_ = kind;
        if (!kind.empty()) {
            answeredMeanwhile_ = 0;
            lostMeanwhile_ = 0;
        }
    }
    /// Since the last call of loseChangesOf() with a kind: answers given until it was ended, and answers lost.
    std::pair<int, int> answeredAndLost()
    {
        const std::lock_guard lock(mutex_);
        return {answeredMeanwhile_, lostMeanwhile_};
    }

private:
    struct Change {
        std::string kind;
        std::int64_t revision;
        Json event;
    };

    std::int64_t writeLocked(const std::string &kind, const std::string &name, const Json &specification, const Json &status)
    {
        const auto found = objects_[kind].find(name);
        const bool isNew = found == objects_[kind].end();
        if (!isNew && status.is_null() && isSame(kind, found->second.at("specification"), specification)) {
            return found->second.at("metadata").at("revision").get<std::int64_t>();
        }
        ++revision_;
        const std::int64_t created = isNew ? revision_ : found->second.at("metadata").at("created_rev").get<std::int64_t>();
        const Json object = {
            {"metadata", {{"name", name}, {"revision", revision_}, {"created_rev", created}, {"finalizers", Json::array()}, {"deleting", false}}},
            {"specification", specification},
            {"status", status}};
        objects_[kind][name] = object;
        history_.push_back({kind, revision_, {{"deleted", false}, {"object", object}}});
        return revision_;
    }

    /// A backend's entry changes when more than its sequence changes.
    static bool isSame(const std::string &kind, Json left, Json right)
    {
        if (kind == "servers") {
            left.erase("sequence");
            right.erase("sequence");
        }
        return left == right;
    }

    static std::string query(const std::string &target, const std::string &name)
    {
        const std::size_t mark = target.find('?');
        const std::string text = mark == std::string::npos ? std::string() : "&" + target.substr(mark + 1);
        const std::size_t found = text.find("&" + name + "=");
        if (found == std::string::npos) {
            return {};
        }
        const std::size_t begin = found + name.size() + 2;
        return text.substr(begin, text.find('&', begin) - begin);
    }

    bool handle(int fd, const Message &request)
    {
        sleepFor(0.004);
        const std::string target = request.target();
        std::string path = target.substr(0, target.find('?'));
        path = path.substr(std::min(path.size(), std::string("/objects/").size()));
        const std::string kind = path.substr(0, path.find('/'));
        std::string name = kind.size() < path.size() ? path.substr(kind.size() + 1) : std::string();
        const bool isStatus = name.ends_with("/status");
        name = name.substr(0, name.find('/'));
        int status = 200;
        Json body;
        {
            std::unique_lock lock(mutex_);
            if (isDown_) {
                status = 503;
            } else if (request.method() == "GET" && !name.empty()) {
                const auto found = objects_[kind].find(name);
                status = found == objects_[kind].end() ? 404 : 200;
                body = status == 200 ? found->second : Json::object();
            } else if (request.method() == "GET" && !query(target, "watch").empty()) {
                status = watchLocked(fd, lock, kind, std::atoll(query(target, "watch").c_str()), std::atof(query(target, "wait_ms").c_str()) / 1000, body);
                if (status == 0) {
                    return false;
                }
            } else if (request.method() == "GET") {
                listLocked(kind, query(target, "after"), body);
            } else {
                status = changeLocked(request, kind, name, isStatus, body);
                changed_.notify_all();
            }
            const bool isLost = !lostKind_.empty() && kind == lostKind_ && body.contains("events") && !body.at("events").empty();
            answeredMeanwhile_ += !lostKind_.empty() && !isLost ? 1 : 0;
            lostMeanwhile_ += isLost ? 1 : 0;
            if (isLost) {
                lock.unlock();
                awaitClose(fd);
                return false;
            }
        }
        return sendAll(fd, answerText(status, "Answer", "Content-Type: application/json\r\n", body.dump()));
    }

    static void awaitClose(int fd)
    {
        char bytes[4096];
        while (::recv(fd, bytes, sizeof bytes, 0) > 0) { }
    }

    void listLocked(const std::string &kind, const std::string &after, Json &body)
    {
        Json items = Json::array();
        bool hasMore = false;
        for (auto entry = objects_[kind].upper_bound(after); entry != objects_[kind].end(); ++entry) {
            if (items.size() == 500) {
                hasMore = true;
                break;
            }
            items.push_back(entry->second);
        }
        body = {{"items", items}, {"has_more", hasMore}, {"store_revision", revision_}};
    }

    int watchLocked(int fd, std::unique_lock<std::mutex> &lock, const std::string &kind, std::int64_t since, double wait, Json &body)
    {
        const double until = now() + wait;
        while (true) {
            Json events = Json::array();
            for (const Change &change : history_) {
                if (change.kind == kind && change.revision > since) {
                    events.push_back(change.event);
                }
            }
            if (!events.empty() || now() >= until || isDown_) {
                body = {{"events", events}, {"store_revision", revision_}};
                return isDown_ ? 503 : 200;
            }
            changed_.wait_for(lock, std::chrono::milliseconds(200));
            if (hasPeerClosed(fd)) {
                return 0;
            }
        }
    }

    int changeLocked(const Message &request, const std::string &kind, const std::string &pathName, bool isStatus, Json &body)
    {
        const Json sent = Json::parse(request.body, nullptr, false);
        if (sent.is_discarded()) {
            return 400;
        }
        const std::string name = pathName.empty() ? sent.at("metadata").at("name").get<std::string>() : pathName;
        const auto found = objects_[kind].find(name);
        const bool exists = found != objects_[kind].end();
        if (request.method() == "PUT" && !exists) {
            return 404;
        }
        const bool isStale =
            exists && sent.at("metadata").contains("revision") && sent.at("metadata").at("revision") != found->second.at("metadata").at("revision");
        if ((request.method() == "POST" && exists) || isStale) {
            body = {{"object", found->second}};
            return 409;
        }
        writeLocked(
            kind, name, isStatus ? found->second.at("specification") : sent.value("specification", Json::object()), isStatus ? sent.at("status") : Json());
        body = objects_[kind][name];
        return 200;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Json>> objects_;
    std::vector<Change> history_;
    std::int64_t revision_ = 1;
    bool isDown_ = false;
    std::string lostKind_;
    int answeredMeanwhile_ = 0;
    int lostMeanwhile_ = 0;
    Server server_;
};

struct Run {
    std::string id;
    std::string backend;
    std::string line; ///< Method and target.
    double at;
};

/// What all backends of a case ran.
class Runs
{
public:
    void add(const Run &run)
    {
        const std::lock_guard lock(mutex_);
        all_.push_back(run);
    }
    std::vector<Run> all() const
    {
        const std::lock_guard lock(mutex_);
        return all_;
    }
    std::size_t count(const std::string &id) const
    {
        const std::lock_guard lock(mutex_);
        std::size_t found = 0;
        for (const Run &run : all_) {
            found += run.id == id ? 1 : 0;
        }
        return found;
    }

private:
    mutable std::mutex mutex_;
    std::vector<Run> all_;
};

/// A backend: slots, a short queue, load header, health path, deadline, stops work when its caller leaves.
class Backend
{
public:
    Backend(Store &store, Runs &runs, Record &record, std::string ip, std::string id, std::string service, std::string zone, double work, int slots = 3)
        : store_(store)
        , runs_(runs)
        , record_(record)
        , id_(std::move(id))
        , service_(std::move(service))
        , zone_(std::move(zone))
        , work_(work)
        , slots_(slots)
        , server_(ip, 0, [this](int fd, const Message &request) { return handle(fd, request); })
    {
        beats_ = std::thread([this] { beat(); });
    }

    ~Backend()
    {
        isStopping_ = true;
        beats_.join();
    }

    std::string address() const
    {
        return server_.address();
    }
    const std::string &id() const
    {
        return id_;
    }
    void setWork(double work)
    {
        work_ = work;
    }
    /// From now on spoils the given share of its answers: breaks them off at any byte and closes the connection in order. Every second one is given whole
    /// instead, and a second answer to the same request, broken off in that way, comes where the next answer on the connection is due.
    void breakOff(double share)
    {
        brokenShare_ = share;
    }
    /// Ids of the requests whose answers were spoiled.
    std::set<std::string> brokenOff() const
    {
        const std::lock_guard lock(mutex_);
        return broken_;
    }
    /// The body of the answer to a request.
    static std::string bodyFor(const std::string &id)
    {
        return "answer to " + id + std::string(400, '.') + "end";
    }
    /// Reports draining before a planned end. @return when the store accepted the report.
    double drain()
    {
        isDraining_ = true;
        report();
        return now();
    }

private:
    void beat()
    {
        while (!isStopping_) {
            report();
            for (int step = 0; step < 30 && !isStopping_; ++step) {
                sleepFor(0.05);
            }
        }
    }

    void report()
    {
        const std::lock_guard lock(reportMutex_);
        store_.put("servers",
                   id_,
                   {{"service", service_},
                    {"address", address()},
                    {"zone", zone_},
                    {"version", "v1"},
                    {"slots", slots_},
                    {"state", isDraining_ ? "draining" : "ready"},
                    {"warmup_remaining_s", 0},
                    {"sequence", ++sequence_}});
    }

    std::string load()
    {
        return "X-Cloverbarrow-Server-Load: " + std::to_string(running_) + "," + std::to_string(waiting_) + "," + std::to_string(slots_) + ",100\r\n";
    }

    bool handle(int fd, const Message &request)
    {
        if (request.target() == "/health") {
            const std::lock_guard lock(mutex_);
            const int status = isDraining_ ? 503 : 200;
            return sendAll(fd,
                           answerText(status, status == 200 ? "OK" : "Service Unavailable", "X-Cloverbarrow-Instance-Id: " + id_ + "\r\n" + load(), "health"));
        }
        const std::string id = request.header("x-cloverbarrow-request-id");
        // Each connection has a thread of its own.
        thread_local std::string lateAnswer;
        if (!lateAnswer.empty()) {
            record_.line("late    " + std::to_string(lateAnswer.size()) + " bytes of a second answer from " + id_ + ", where that to " + id + " is due");
            sendAll(fd, lateAnswer);
            lateAnswer.clear();
            return false;
        }
        const std::string echo = "X-Cloverbarrow-Request-Id: " + id + "\r\n";
        const std::string expected = request.header("x-cloverbarrow-expect-instance");
        if (!expected.empty() && expected != id_) {
            return sendAll(fd, answerText(421, "Misdirected Request", echo + "X-Cloverbarrow-Instance-Id: " + id_ + "\r\n", ""));
        }
        const std::string deadlineText = request.header("x-cloverbarrow-deadline-ms");
        const double deadline = now() + (deadlineText.empty() ? 10 : std::atof(deadlineText.c_str()) / 1000);
        {
            std::unique_lock lock(mutex_);
            if (running_ >= slots_ && waiting_ >= 4 * slots_) {
                return sendAll(fd, answerText(503, "Service Unavailable", echo + "X-Cloverbarrow-Not-Executed: 1\r\n" + load(), ""));
            }
            ++waiting_;
            while (running_ >= slots_ && now() < deadline) {
                free_.wait_for(lock, std::chrono::milliseconds(10));
            }
            --waiting_;
            if (running_ >= slots_) {
                return sendAll(fd, answerText(503, "Service Unavailable", echo + "X-Cloverbarrow-Not-Executed: 1\r\n" + load(), ""));
            }
            if (hasPeerClosed(fd)) {
                return false;
            }
            ++running_;
        }
        runs_.add({id, id_, request.method() + " " + request.target(), now()});
        record_.line("run     " + id + " at " + id_ + " " + request.method() + " " + request.target());
        const double end = now() + work_;
        bool hasLeft = false;
        while (now() < end && now() < deadline && !hasLeft) {
            sleepFor(std::min(0.005, end - now()));
            hasLeft = hasPeerClosed(fd);
        }
        std::string loadHeader;
        {
            const std::lock_guard lock(mutex_);
            --running_;
            loadHeader = load();
            free_.notify_one();
        }
        if (hasLeft) {
            record_.line("dropped " + id + " at " + id_ + ": its caller has left");
            return false;
        }
        if (now() >= deadline) {
            return sendAll(fd, answerText(504, "Gateway Timeout", echo + "X-Cloverbarrow-Server-Stamp: " + id_ + ".late\r\n" + loadHeader, "late"));
        }
        const std::string answer =
            answerText(200, "OK", echo + "X-Cloverbarrow-Server-Stamp: " + id_ + "." + id + "\r\nKeep-Alive: timeout=10\r\n" + loadHeader, bodyFor(id));
        const auto [length, isLate] = spoil(id, answer.size());
        if (isLate) {
            lateAnswer = answer.substr(0, length);
        } else if (length < answer.size()) {
            record_.line("broken  " + id + " at " + id_ + " after " + std::to_string(length) + " of " + std::to_string(answer.size()) + " bytes, of which "
                         + std::to_string(answer.find("\r\n\r\n") + 4) + " are the head");
            sendAll(fd, answer.substr(0, length));
            return false;
        }
        return sendAll(fd, answer);
    }

    /// @return the bytes of the answer that are sent, and whether they are those of a late second answer.
    std::pair<std::size_t, bool> spoil(const std::string &id, std::size_t whole)
    {
        const std::lock_guard lock(mutex_);
        if (std::uniform_real_distribution<double>(0, 1)(random_) >= brokenShare_) {
            return {whole, false};
        }
        broken_.insert(id);
        return {std::uniform_int_distribution<std::size_t>(1, whole - 1)(random_), broken_.size() % 2 == 0};
    }

    Store &store_;
    Runs &runs_;
    Record &record_;
    std::string id_;
    std::string service_;
    std::string zone_;
    std::atomic<double> work_;
    int slots_;
    mutable std::mutex mutex_;
    std::condition_variable free_;
    std::mt19937 random_{std::random_device{}()};
    std::atomic<double> brokenShare_{0};
    std::set<std::string> broken_;
    int running_ = 0;
    int waiting_ = 0;
    std::atomic<bool> isStopping_{false};
    std::mutex reportMutex_;
    int sequence_ = 0;
    std::atomic<bool> isDraining_{false};
    Server server_;
    std::thread beats_;
};

/// One entry VM, started with the command of the deploy file and settings as its template gives them.
class EntryVm
{
public:
    EntryVm(Record &record,
            const std::string &folder,
            const std::string &name,
            const std::string &ip,
            const std::string &zone,
            const std::string &store,
            int descriptors = 4100)
        : record_(record)
        , name_(name)
        , ip_(ip)
        , descriptors_(descriptors)
        , settings_(folder + "/" + name + ".conf")
        , log_(folder + "/" + name + ".log")
    {
        callers_ = ip + ":" + std::to_string(freePort(ip));
        readiness_ = ip + ":" + std::to_string(freePort(ip));
        relay_ = ip + ":" + std::to_string(freePort(ip));
        metrics_ = ip + ":" + std::to_string(freePort(ip));
        zone_ = zone;
        store_ = store;
        writeSettings(true);
    }

    ~EntryVm()
    {
        kill(SIGKILL);
    }

    void writeSettings(bool isFirstStart)
    {
        std::FILE *file = std::fopen(settings_.c_str(), "w");
        std::fprintf(file,
                     "name: %s\nzone: %s\nregion: region-1\nlisten:\n  callers: %s\n  operations: %s\n  metrics: %s\ndirectory:\n  address: %s\n  relay: %s\n"
                     "  first_start: %s\n  link_mbps: 1000.0\n  zones: [zone-a,zone-b]\n  repeat_ratio: 0.2\n  repeat_slack: 56\n  probes_per_server: 60\n"
                     "  share_slow_servers: false\nstartup: {max_requests: 64, max_bytes: 4194304, max_wait_ms: 1000, expected_ms: 400}\n"
                     "shutdown: {notice_ms: 2800, grace_s: 6}\nlimits: {max_body_bytes: 67108864}\nthreads: {callers: 1, backends: 1}\nlog_level: info\n",
                     name_.c_str(),
                     zone_.c_str(),
                     callers_.c_str(),
                     readiness_.c_str(),
                     metrics_.c_str(),
                     store_.c_str(),
                     relay_.c_str(),
                     isFirstStart ? "true" : "false");
        std::fclose(file);
    }

    void start()
    {
        const std::string option = "--settings=" + settings_;
        pid_ = ::fork();
        if (pid_ == 0) {
            // Ends with the case, whatever ends that.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            const rlimit limit{static_cast<rlim_t>(descriptors_), static_cast<rlim_t>(descriptors_)};
            ::setrlimit(RLIMIT_NOFILE, &limit);
            ::signal(SIGPIPE, SIG_DFL);
            ::execl("target/cloverbarrowd", "target/cloverbarrowd", option.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
        record_.say("start   " + name_ + ", process " + std::to_string(pid_) + ", callers at " + callers_);
    }

    /// Sends a signal; waits for the end after SIGKILL.
    void kill(int signal)
    {
        if (pid_ <= 0) {
            return;
        }
        ::kill(pid_, signal);
        if (signal == SIGKILL) {
            ::kill(pid_, SIGCONT);
            int status = 0;
            ::waitpid(pid_, &status, 0);
            pid_ = -1;
        }
    }

    /// @return how the process has ended, or nothing while it runs.
    std::string ended()
    {
        int status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) {
            return {};
        }
        pid_ = -1;
        return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "exit code " + std::to_string(WEXITSTATUS(status));
    }

    /// Asks as the platform does. @return the status, 0 without an answer.
    int readiness(double timeout = 1) const
    {
        const double deadline = now() + timeout;
        const int fd = connectTo(readiness_, timeout);
        if (fd < 0) {
            return 0;
        }
        std::string buffer;
        Message answer;
        sendAll(fd, "GET /readyz HTTP/1.1\r\nHost: " + readiness_ + "\r\n\r\n");
        const bool isWhole = readMessage(fd, buffer, answer, deadline) == ReadEnd::Whole;
        ::close(fd);
        return isWhole ? answer.status() : 0;
    }

    bool waitUntilReady(double timeout)
    {
        for (const double until = now() + timeout; now() < until; sleepFor(0.05)) {
            if (readiness() == 200) {
                return true;
            }
        }
        return false;
    }

    int descriptorsInUse() const
    {
        int count = 0;
        for (int fd = 0; fd < descriptors_; ++fd) {
            char target[8];
            count += ::readlink(("/proc/" + std::to_string(pid_) + "/fd/" + std::to_string(fd)).c_str(), target, sizeof target) > 0 ? 1 : 0;
        }
        return count;
    }

    pid_t pid() const
    {
        return pid_;
    }
    const std::string &name() const
    {
        return name_;
    }
    const std::string &callers() const
    {
        return callers_;
    }
    const std::string &relay() const
    {
        return relay_;
    }

private:
    Record &record_;
    std::string name_;
    std::string ip_;
    std::string zone_;
    std::string store_;
    int descriptors_;
    std::string settings_;
    std::string log_;
    std::string callers_;
    std::string readiness_;
    std::string relay_;
    std::string metrics_;
    pid_t pid_ = -1;
};

struct Reply {
    ReadEnd end = ReadEnd::Closed;
    bool isConnected = false;
    int status = 0;
    Message message;
    double seconds = 0;
};

inline std::string nextId()
{
    static std::atomic<int> last{0};
    char text[32];
    std::snprintf(text, sizeof text, "q%06d", ++last);
    return text;
}

inline std::string requestText(
    const std::string &method, const std::string &host, const std::string &path, const std::string &id, int deadlineMs, const std::string &body = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Cloverbarrow-Request-Id: " + id
        + "\r\nX-Cloverbarrow-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n"
        + (body.empty() && method == "GET" ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

/// One kept connection of a client.
class Client
{
public:
    explicit Client(std::string address)
        : address_(std::move(address))
    {
    }
    ~Client()
    {
        close();
    }

    void close()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
        fd_ = -1;
        buffer_.clear();
    }

    Reply ask(const std::string &method, const std::string &host, const std::string &path, const std::string &id, int deadlineMs, const std::string &body = {})
    {
        Reply reply;
        const double start = now();
        if (fd_ < 0 || hasPeerClosed(fd_)) {
            close();
            fd_ = connectTo(address_, 1);
        }
        reply.isConnected = fd_ >= 0;
        if (fd_ < 0) {
            return reply;
        }
        sendAll(fd_, requestText(method, host, path, id, deadlineMs, body));
        reply.end = readMessage(fd_, buffer_, reply.message, start + deadlineMs / 1000.0);
        reply.status = reply.end == ReadEnd::Whole ? reply.message.status() : 0;
        reply.seconds = now() - start;
        if (reply.end != ReadEnd::Whole || reply.message.header("connection") == "close") {
            close();
        }
        return reply;
    }

private:
    std::string address_;
    int fd_ = -1;
    std::string buffer_;
};

inline Json route(
    const std::string &name, const std::string &host, const std::string &prefix, const std::string &kind, double timeout, const std::string &service)
{
    return {{"name", name},
            {"host", host},
            {"path_prefix", prefix},
            {"kind", kind},
            {"timeout_s", timeout},
            {"target_latency_s", 0.25},
            {"priority", 1},
            {"service", service},
            {"max_attempts", 2}};
}

inline Json serviceEntry(const std::string &name)
{
    return {{"name", name}, {"health_check_path", "/health"}, {"connection_limit", 220}, {"protocol", "h1"}, {"tls", false}};
}

inline Json configuration(int version, const Json &routes, const Json &services)
{
    return {{"version", "r" + std::to_string(version)},
            {"routes", routes},
            {"services", services},
            {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 67108864}, {"header_timeout_s", 3}, {"idle_timeout_s", 15}}}};
}

/// @return whether the disruption is left out.
inline bool isCalm()
{
    const char *value = std::getenv("TROUBLE");
    return value && std::string(value) == "0";
}

} // namespace Review
