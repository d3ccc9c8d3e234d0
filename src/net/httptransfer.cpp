/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/httptransfer.h"

#include "core/support/httpstatus.h"
#include "net/receivewindow.h"
#include "net/tcpstatus.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace Cloverbarrow
{

namespace
{

constexpr long ConnectTimeoutMs = 1000;
constexpr std::size_t MaxAnswerHead = 64 * 1024;
// A chunked body takes more bytes on the connection than its content.
constexpr std::size_t MaxFramingFactor = 2;
// Longest interval between probes of a closed window, with TCP_RTO_MAX_MS (Linux 6.15), which <netinet/tcp.h> does not name. Otherwise it grows to
// minutes, and a peer that goes meanwhile is noticed late.
constexpr int MaxProbeIntervalMs = 1000;
constexpr int RtoMaxOption = 44;
constexpr int KeepAliveSeconds = 1;
constexpr int KeepAliveProbes = 2;

void setOption(curl_socket_t socket, int level, int option, int value)
{
    // Without the option the connection still works; only a broken connection is detected later.
    static_cast<void>(::setsockopt(socket, level, option, &value, sizeof value));
}

/// @param timeout how long data may make no progress; 0: as long as the peer acknowledges probes.
void setUserTimeout(curl_socket_t socket, Duration timeout)
{
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count()));
}

int prepareSocket(void *context, curl_socket_t socket, curlsocktype)
{
    auto *transfer = static_cast<Transfer *>(context);
    transfer->openedSocket = socket;
    setUserTimeout(socket, UserTimeout);
    if (transfer->call.usesTcpKeepAlive) {
        setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveSeconds);
        setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveSeconds);
        setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    }
    return CURL_SOCKOPT_OK;
}

int closeSocket(void *context, curl_socket_t socket)
{
    static_cast<ConnectionSockets *>(context)->erase(socket);
    // What is still unsent is not kept for a peer that does not read it.
    setUserTimeout(socket, UserTimeout);
    return ::close(socket);
}

/// libcurl calls this right before it sends a request. A second call for one transfer means that libcurl wants to resend the request
/// on a new connection after a dead one; only the core may decide on retries.
int beforeSend(void *context, char *peerAddress, char *, int peerPort, int localPort)
{
    auto *transfer = static_cast<Transfer *>(context);
    if (transfer->wasSent) {
        transfer->isResend = true;
        return CURL_PREREQFUNC_ABORT;
    }
    transfer->wasSent = true;
    transfer->connection = ConnectionEnds{peerAddress, peerPort, localPort};
    if (transfer->openedSocket >= 0) {
        transfer->sockets->insert(*transfer->connection, transfer->openedSocket);
    } else if (const int socket = transfer->sockets->find(*transfer->connection); socket >= 0) {
        // The previous request on the connection may have waited for its peer to read.
        setUserTimeout(socket, UserTimeout);
    }
    return CURL_PREREQFUNC_OK;
}

/// Reserves memory for the body when its first @p count bytes arrive. @return whether there is enough.
bool reserveBody(Transfer &transfer, std::size_t count)
{
    if (transfer.body.size() > 0) {
        return true;
    }
    curl_off_t length = -1;
    curl_easy_getinfo(transfer.easy.get(), CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    const std::size_t announced = length > 0 ? static_cast<std::size_t>(length) : 0;
    return transfer.body.reserve(std::max(count, std::min(announced, transfer.call.maxAnswerBytes)));
}

std::size_t receiveBody(char *bytes, std::size_t, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    if (transfer->body.size() + count > transfer->call.maxAnswerBytes) {
        transfer->isTooLong = true;
        return 0;
    }
    if (!reserveBody(*transfer, count) || !transfer->body.append({bytes, count})) {
        transfer->exceedsMemory = true;
        return 0;
    }
    return count;
}

/// @return whether the received head is a success that lacks the header without which its body is of no use.
bool lacksSuccessHeader(const Transfer &transfer)
{
    const std::string &name = transfer.call.successHeader;
    const HttpAnswer &answer = transfer.head.answer();
    return !name.empty() && HttpStatus::isSuccess(answer.status) && !findHeader(answer.headers, name);
}

/// @return whether the received head has the echo that the call expects.
bool hasExpectedEcho(const Transfer &transfer)
{
    const ExpectedEcho &echo = transfer.call.echo;
    if (echo.header.empty()) {
        return true;
    }
    const auto found = findHeader(transfer.head.answer().headers, echo.header);
    return found ? *found == echo.value : !echo.isRequired;
}

/// Handles the complete head of the final answer. @return whether the rest of the answer is to be read.
bool endHead(Transfer &transfer)
{
    transfer.hasWrongEcho = !hasExpectedEcho(transfer);
    transfer.isHeadOnly = !transfer.hasWrongEcho && lacksSuccessHeader(transfer);
    return !transfer.hasWrongEcho && !transfer.isHeadOnly;
}

/// @return @p count to go on. Anything else aborts the call, which closes its connection, so that the rest of its data cannot reach another call.
std::size_t receiveHeader(char *bytes, std::size_t, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    std::string_view line(bytes, count);
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
        line.remove_suffix(1);
    }
    transfer->headBytes += count;
    if (transfer->headBytes > MaxAnswerHead) {
        transfer->isTooLong = true;
        return 0;
    }
    // Trailers are not merged into the head (RFC 9110): a server's faulty body must not add headers or begin another answer.
    if (transfer->head.isComplete()) {
        return count;
    }
    switch (transfer->head.readLine(line)) {
    case AnswerHeadReader::Progress::Malformed:
        return 0;
    case AnswerHeadReader::Progress::Complete:
        return endHead(*transfer) ? count : 0;
    case AnswerHeadReader::Progress::Incomplete:
    case AnswerHeadReader::Progress::Interim:
        break;
    }
    return count;
}

HeaderList headerList(const HttpCall &call)
{
    curl_slist *list = nullptr;
    const auto add = [&list](const std::string &line) { list = curl_slist_append(list, line.c_str()); };
    for (const Header &header : call.request.headers) {
        // libcurl expects "Name;" for a header with an empty value.
        add(header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
    }
    // libcurl adds these headers itself; a line with no value removes them.
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

} // namespace

void configureTransfer(Transfer &transfer, Duration maxIdle)
{
    CURL *easy = transfer.easy.get();
    transfer.headers = headerList(transfer.call);
    transfer.url = "http://" + transfer.call.address + "/";
    curl_easy_setopt(easy, CURLOPT_URL, transfer.url.c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, transfer.call.request.target.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    // Ignores proxies set in the environment.
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_HTTP09_ALLOWED, 0L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers.get());
    // Rounded up: a request that ends just before its deadline would be tried again with no time left.
    const auto timeout = std::chrono::ceil<milliseconds>(transfer.call.timeout);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max<long>(1, static_cast<long>(timeout.count())));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, transfer.call.mayReuseConnection ? 0L : 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, transfer.call.mayReuseConnection ? 0L : 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, receiveBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, receiveHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, beforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    if (transfer.call.acceptsGzip) {
        curl_easy_setopt(easy, CURLOPT_ACCEPT_ENCODING, "gzip");
    }
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, prepareSocket);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, closeSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, transfer.sockets);
    // libcurl compares whole seconds, so it reuses connections that have been idle for almost a second longer.
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, std::max<long>(0, static_cast<long>(std::chrono::floor<seconds>(maxIdle).count()) - 1));
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    setMethod(easy, transfer.call.request);
}

namespace
{

/// @return whether the answer itself delimits its body, rather than the end of the connection.
bool hasExplicitEnd(const Transfer &transfer)
{
    const HttpAnswer &answer = transfer.head.answer();
    const bool isBodiless = transfer.call.request.method == "HEAD" || answer.status == 204 || answer.status == 304;
    return isBodiless || findHeader(answer.headers, "content-length") || findHeader(answer.headers, "transfer-encoding");
}

} // namespace

namespace
{

bool isRejectedConnection(CURLcode code)
{
    return code == CURLE_COULDNT_CONNECT || code == CURLE_GOT_NOTHING || code == CURLE_RECV_ERROR || code == CURLE_SEND_ERROR;
}

/// @return the socket on which the request is sent; -1 if there is none or it has been closed.
int socketOf(const Transfer &transfer)
{
    return transfer.connection ? transfer.sockets->find(*transfer.connection) : -1;
}

HttpOutcome interpretResult(Transfer &transfer, CURLcode code)
{
    if (transfer.isTooLong) {
        return HttpFailure{true, false, "the answer is too long"};
    }
    if (transfer.exceedsMemory) {
        return HttpFailure{true, false, "there is no memory for the answer"};
    }
    if (!transfer.head.fault().empty()) {
        return HttpFailure{true, false, "malformed head of the answer: " + transfer.head.fault(), true};
    }
    if (transfer.hasWrongEcho) {
        return HttpFailure{true, false, "the answer belongs to another exchange", true};
    }
    if (transfer.isResend) {
        return HttpFailure{true, false, "the connection closed without an answer", true};
    }
    if (code == CURLE_OUT_OF_MEMORY) {
        return HttpFailure{transfer.wasSent, false, "a line of the head is too long, or there is no memory"};
    }
    if (code != CURLE_OK && !transfer.isHeadOnly) {
        return HttpFailure{transfer.wasSent, code == CURLE_OPERATION_TIMEDOUT, curl_easy_strerror(code), isRejectedConnection(code)};
    }
    if (!transfer.head.isComplete()) {
        return HttpFailure{true, false, "the connection ended within the head of the answer", true};
    }
    if (!transfer.isHeadOnly && !hasExplicitEnd(transfer) && !transfer.call.acceptsCloseDelimited) {
        return HttpFailure{true, false, "the answer ended with its connection, so it may be cut"};
    }
    HttpAnswer answer = transfer.head.takeAnswer();
    answer.body = transfer.body.take();
    return answer;
}

} // namespace

bool isFlooded(Transfer &transfer)
{
    const int socket = socketOf(transfer);
    const auto status = socket < 0 ? std::nullopt : tcpStatus(socket);
    if (!status) {
        return false;
    }
    if (!transfer.bytesBefore) {
        transfer.bytesBefore = status->bytesReceived;
    }
    return status->bytesReceived > *transfer.bytesBefore + MaxAnswerHead + MaxFramingFactor * transfer.call.maxAnswerBytes;
}

bool awaitsGonePeer(Transfer &transfer)
{
    const int socket = transfer.call.request.body.empty() ? -1 : socketOf(transfer);
    const auto status = socket < 0 ? std::nullopt : tcpStatus(socket);
    if (!status) {
        return false;
    }
    if (!transfer.hasUserTimeout) {
        return hasPeerGone(*status);
    }
    if (awaitsReceiver(*status)) {
        // For the rest of the request: the kernel counts from when the window closed first, also if the peer has read a little since.
        transfer.hasUserTimeout = false;
        setUserTimeout(socket, Duration(0));
        setOption(socket, IPPROTO_TCP, RtoMaxOption, MaxProbeIntervalMs);
    }
    return false;
}

bool isHeadTruncated(const Transfer &transfer, CURLcode code)
{
    // libcurl reports no error if the connection is closed in order, unless it has read a length.
    const bool hasEnded = code == CURLE_OK || code == CURLE_PARTIAL_FILE || code == CURLE_RECV_ERROR;
    return hasEnded && transfer.headBytes > 0 && !transfer.head.isComplete();
}

HttpOutcome outcomeOf(Transfer &transfer, CURLcode code)
{
    HttpOutcome outcome = interpretResult(transfer, code);
    long newConnections = 0;
    curl_easy_getinfo(transfer.easy.get(), CURLINFO_NUM_CONNECTS, &newConnections);
    if (auto *failure = std::get_if<HttpFailure>(&outcome)) {
        failure->usedNewConnection = !failure->wasSent || newConnections > 0;
        failure->isCancelled = code == CURLE_ABORTED_BY_CALLBACK && !transfer.isResend;
    } else {
        std::get<HttpAnswer>(outcome).usedNewConnection = newConnections > 0;
    }
    return outcome;
}

} // namespace Cloverbarrow
