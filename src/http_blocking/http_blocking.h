#pragma once

/// HTTP server and client on CivetWeb, with plain values in place of its handles.

#include "core/core.h"
#include "settings/settings.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct mg_connection;

namespace buckthornford {

/// Tells whether the peer of a connection has closed it. Cheap enough for a few calls a second.
class ConnectionMonitor
{
public:
    explicit ConnectionMonitor(int socket)
        : m_socket(socket)
    {}

    bool isClosed() const;

private:
    int m_socket;
};

struct HttpRequest
{
    std::string method;
    std::string path;
    std::string query;
    HttpHeaders headers;
    std::string body;
    ConnectionMonitor connection{-1};
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string contentType = "application/json";
    std::string body;
    bool closeWithoutResponse = false; ///< close the connection without an answer, for stand-ins
};

/// A JSON error body that names the error and the offending \a field (may be empty).
HttpResponse errorResponse(Error error, std::string_view field, std::string_view detail = {});

using HttpHandler = std::function<HttpResponse(const HttpRequest &)>;

struct HttpServerSettings
{
    Endpoint endpoint;
    /// Also the largest number of connections served at once. When three in four are taken,
    /// connections are closed after their answer, so that idle ones keep nobody out.
    int threads = 16;
    Bytes maxBody{1U << 20U};
};

/// A listening socket with its worker threads; each open connection holds one of them.
class HttpServer
{
public:
    /// Error::BindFailed if the endpoint can't be used.
    static Result<std::unique_ptr<HttpServer>> listen(const HttpServerSettings &settings,
                                                      HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

private:
    struct Private;
    explicit HttpServer(std::unique_ptr<Private> d);
    std::unique_ptr<Private> m_d;
};

/// A client connection that carries one exchange at a time and is kept open in between.
class HttpConnection
{
public:
    /// Error::ConnectFailed if nothing listens there.
    static Result<HttpConnection> connect(const Endpoint &endpoint);

    HttpConnection(HttpConnection &&other) noexcept;
    HttpConnection &operator=(HttpConnection &&other) noexcept;
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;
    ~HttpConnection();

    /// Sends \a request and reads the whole answer.
    /// Error::ConnectionLost if the connection broke before the answer's head arrived,
    /// Error::AnswerCut if it broke inside the body, Error::Timeout if \a timeout passed.
    /// After an error the connection must be dropped.
    Result<HttpResponse> exchange(const HttpRequest &request, Duration timeout);

    /// Whether the server asked to close the connection after the last answer.
    bool mustClose() const { return m_mustClose; }

private:
    HttpConnection(mg_connection *connection, Endpoint endpoint);
    Result<std::string> readBody(std::int64_t length);

    mg_connection *m_connection;
    Endpoint m_endpoint;
    bool m_mustClose = false;
};

/// One exchange on a connection of its own.
Result<HttpResponse> exchangeOnce(const Endpoint &endpoint, const HttpRequest &request,
                                  Duration timeout);

} // namespace buckthornford
