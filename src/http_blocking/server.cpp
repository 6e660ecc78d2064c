#include "http_blocking/http_blocking.h"

#include <arpa/inet.h>
#include <civetweb.h>
#include <dirent.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <cstring>
#include <strings.h>

namespace buckthornford {

namespace {

constexpr int maxHeaderBytes = 16384;
constexpr int keepAliveTimeoutMs = 30'000;
constexpr int requestTimeoutMs = 20'000;

/// Returns whether \a socket is connected to the IPv4 peer \a address : \a port.
bool isConnectedTo(int socket, const char *address, int port)
{
    sockaddr_in peer{};
    socklen_t length = sizeof peer;
    if (getpeername(socket, reinterpret_cast<sockaddr *>(&peer), &length) != 0
        || peer.sin_family != AF_INET || ntohs(peer.sin_port) != port)
        return false;
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size());
    return std::strcmp(text.data(), address) == 0;
}

/// Finds this process's socket that is connected to a peer, or -1. Searches the open descriptors,
/// as CivetWeb doesn't give a handler the socket of its connection.
int findSocket(const char *address, int port)
{
    int found = -1;
    DIR *directory = opendir("/proc/self/fd");
    if (directory == nullptr)
        return found;
    while (const dirent *entry = readdir(directory)) {
        const int socket = std::atoi(entry->d_name);
        if (socket > 2 && isConnectedTo(socket, address, port)) {
            found = socket;
            break;
        }
    }
    closedir(directory);
    return found;
}

/// Returns the connection's socket, or -1. Once found it is remembered, so that the search is done
/// once for each connection.
int lookUpSocket(mg_connection *connection, const mg_request_info &info)
{
    // CivetWeb keeps a pointer for each connection, initially null. It holds socket + 1 here, so
    // that null means "not looked up yet".
    const auto stored = reinterpret_cast<std::intptr_t>(mg_get_user_connection_data(connection));
    if (stored != 0)
        return static_cast<int>(stored) - 1;
    const int socket = findSocket(info.remote_addr, info.remote_port);
    // NOLINTNEXTLINE(performance-no-int-to-ptr): a number, never dereferenced.
    void *const data = reinterpret_cast<void *>(socket + std::intptr_t{1});
    mg_set_user_connection_data(connection, data);
    return socket;
}

HttpHeaders copyHeaders(const mg_request_info &info)
{
    HttpHeaders headers;
    headers.reserve(static_cast<std::size_t>(info.num_headers));
    for (int i = 0; i < info.num_headers; ++i)
        headers.emplace_back(info.http_headers[i].name, info.http_headers[i].value);
    return headers;
}

/// Reads a body of \a length bytes, or one that ends by itself (chunked) if \a length is negative.
/// Error::BodyTooLarge past \a limit, Error::ConnectionLost if it ends early.
Result<std::string> readBody(mg_connection *connection, std::int64_t length, Bytes limit)
{
    constexpr std::size_t chunkSize = 16384;
    const auto maxSize = static_cast<std::int64_t>(limit.value());
    if (length > maxSize)
        return Error::BodyTooLarge;
    std::string body;
    std::array<char, chunkSize> chunk{};
    while (length < 0 || static_cast<std::int64_t>(body.size()) < length) {
        const int count = mg_read(connection, chunk.data(), chunk.size());
        if (count <= 0)
            break;
        body.append(chunk.data(), static_cast<std::size_t>(count));
        if (static_cast<std::int64_t>(body.size()) > maxSize)
            return Error::BodyTooLarge;
    }
    if (length >= 0 && static_cast<std::int64_t>(body.size()) != length)
        return Error::ConnectionLost;
    return body;
}

void writeResponse(mg_connection *connection, const HttpResponse &response, bool close)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " "
                       + mg_get_response_code_text(connection, response.status) + "\r\n";
    text += "Content-Type: " + response.contentType + "\r\n";
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    text += close ? "Connection: close\r\n" : "Connection: keep-alive\r\n";
    for (const auto &[name, value] : response.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "\r\n" + response.body;
    mg_write(connection, text.data(), text.size());
}

/// CivetWeb's callback for requests that it refuses itself, such as one with a malformed or too
/// large head: writes a JSON error body instead of CivetWeb's page.
int writeHttpError(mg_connection *connection, int status, const char *message)
{
    HttpResponse response = errorResponse(Error::MalformedHeader, "request head",
                                          message == nullptr ? "" : message);
    response.status = status;
    writeResponse(connection, response, true);
    return 0;
}

int discardLogMessage(const mg_connection *, const char *)
{
    return 1; // Handled: keeps CivetWeb from writing to its log file or to standard error.
}

bool clientWantsClose(const mg_request_info &info)
{
    const char *value = nullptr;
    for (int i = 0; i < info.num_headers; ++i) {
        if (strcasecmp(info.http_headers[i].name, "Connection") == 0)
            value = info.http_headers[i].value;
    }
    return value != nullptr && strcasecmp(value, "close") == 0;
}

} // namespace

bool ConnectionMonitor::isClosed() const
{
    if (m_socket < 0)
        return false;
    pollfd descriptor{m_socket, POLLRDHUP, 0};
    return poll(&descriptor, 1, 0) > 0;
}

HttpResponse errorResponse(Error error, std::string_view field, std::string_view detail)
{
    const ErrorRow &row = errorRow(error);
    nlohmann::json body{{"error", row.name}, {"message", row.message}};
    if (!field.empty())
        body["field"] = field;
    if (!detail.empty())
        body["detail"] = detail;
    HttpResponse response;
    response.status = row.httpStatus;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

struct HttpServer::Private
{
    /// Whether more than three in four threads hold a connection.
    bool isNearCapacity() const { return 4 * connections.load() > 3 * threads; }

    HttpHandler handler;
    int threads = 0;
    std::atomic<int> connections{0}; ///< open; each occupies a thread
    Bytes maxBody;
    mg_callbacks callbacks{};
    mg_context *context = nullptr;

    static int onRequest(mg_connection *connection, void *data);
    static int onOpened(const mg_connection *connection, void **data);
    static void onClosed(const mg_connection *connection);
};

int HttpServer::Private::onOpened(const mg_connection *connection, void **)
{
    ++static_cast<Private *>(mg_get_user_data(mg_get_context(connection)))->connections;
    return 0;
}

void HttpServer::Private::onClosed(const mg_connection *connection)
{
    --static_cast<Private *>(mg_get_user_data(mg_get_context(connection)))->connections;
}

int HttpServer::Private::onRequest(mg_connection *connection, void *data)
{
    const auto *self = static_cast<const Private *>(data);
    const mg_request_info &info = *mg_get_request_info(connection);
    HttpRequest request;
    request.method = info.request_method;
    request.path = info.local_uri == nullptr ? "" : info.local_uri;
    request.query = info.query_string == nullptr ? "" : info.query_string;
    request.headers = copyHeaders(info);
    const bool hasBody = info.content_length > 0
                         || findHeader(request.headers, "Transfer-Encoding") != nullptr;
    Result<std::string> body = std::string();
    if (hasBody)
        body = readBody(connection, info.content_length, self->maxBody);
    if (!body) {
        writeResponse(connection, errorResponse(errorOf(body.error()), "body"), true);
        mg_disable_connection_keep_alive(connection);
        return 1;
    }
    request.body = std::move(body.value());
    request.connection = ConnectionMonitor(lookUpSocket(connection, info));
    const HttpResponse response = self->handler(request);
    if (response.closeWithoutResponse) {
        mg_disable_connection_keep_alive(connection);
        return 1;
    }
    const bool closes = clientWantsClose(info) || self->isNearCapacity();
    writeResponse(connection, response, closes);
    if (closes)
        mg_disable_connection_keep_alive(connection);
    return response.status;
}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(const HttpServerSettings &settings,
                                                       HttpHandler handler)
{
    auto d = std::make_unique<Private>();
    d->handler = std::move(handler);
    d->maxBody = settings.maxBody;
    d->threads = settings.threads;
    d->callbacks.init_connection = Private::onOpened;
    d->callbacks.connection_closed = Private::onClosed;
    d->callbacks.http_error = writeHttpError;
    d->callbacks.log_message = discardLogMessage;
    const std::string endpointText = settings.endpoint.toString();
    const std::string threads = std::to_string(settings.threads);
    const std::string headerBytes = std::to_string(maxHeaderBytes);
    const std::string keepAlive = std::to_string(keepAliveTimeoutMs);
    const std::string requestTimeout = std::to_string(requestTimeoutMs);
    const std::array<const char *, 17> options{"listening_ports",
                                               endpointText.c_str(),
                                               "num_threads",
                                               threads.c_str(),
                                               "enable_keep_alive",
                                               "yes",
                                               "keep_alive_timeout_ms",
                                               keepAlive.c_str(),
                                               "request_timeout_ms",
                                               requestTimeout.c_str(),
                                               "max_request_size",
                                               headerBytes.c_str(),
                                               "tcp_nodelay",
                                               "1",
                                               "connection_queue",
                                               "128",
                                               nullptr};
    mg_init_library(MG_FEATURES_DEFAULT);
    d->context = mg_start(&d->callbacks, d.get(), const_cast<const char **>(options.data()));
    if (d->context == nullptr)
        return Error::BindFailed;
    mg_set_request_handler(d->context, "/", Private::onRequest, d.get());
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(d)));
}

HttpServer::HttpServer(std::unique_ptr<Private> d)
    : m_d(std::move(d))
{}

HttpServer::~HttpServer()
{
    mg_stop(m_d->context);
}

} // namespace buckthornford
