#pragma once

/// Blocking HTTP/1.1 server, on CivetWeb, and client, on ClientConnection. Requests and responses
/// are plain values.

#include "core/core.h"
#include "settings/settings.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornford {

/// Tells whether the peer of a connection has closed it. Each call is one poll() without waiting,
/// cheap enough for a few calls a second.
class ConnectionMonitor
{
public:
    /// A negative \a socket is unknown and never counts as closed.
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
    ConnectionMonitor connection{-1}; ///< of a request to HttpServer: the client's connection
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string contentType = "application/json";
    std::string body;
    /// Makes HttpServer close the connection without a response; lets a stand-in lose responses.
    bool closeWithoutResponse = false;
};

/// Returns the HTTP status and a JSON body for \a error. The body also has the offending \a field
/// and a \a detail unless they are empty.
HttpResponse errorResponse(Error error, std::string_view field, std::string_view detail = {});

using HttpHandler = std::function<HttpResponse(const HttpRequest &)>;

struct HttpServerSettings
{
    Endpoint endpoint;
    /// Worker threads, and so the largest number of connections served at once. While more than
    /// three in four are taken, connections are closed after their response, so that idle ones
    /// don't keep new clients waiting.
    int threads = 16;
    Bytes maxBody{1U << 20U};
};

/// A listening socket with a pool of worker threads. Each open connection occupies one thread.
class HttpServer
{
public:
    /// Starts to serve; \a handler is called on the worker threads, for several requests at once.
    /// Error::BindFailed if the server can't be started on the endpoint.
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

/// A client connection that carries one exchange at a time and stays open in between.
class HttpConnection
{
public:
    /// Error::ConnectFailed if the connection can't be opened.
    static Result<HttpConnection> connect(const Endpoint &endpoint);

    HttpConnection(HttpConnection &&other) noexcept;
    HttpConnection &operator=(HttpConnection &&other) noexcept;
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;
    ~HttpConnection();

    /// Sends \a request and reads the whole response. Error::ConnectionLost if the connection broke
    /// before the response's head arrived, Error::AnswerCut if it broke inside the body or what
    /// came was no valid response, Error::Timeout if the response was not whole after \a timeout.
    /// After an error the connection can't be used again.
    Result<HttpResponse> exchange(const HttpRequest &request, Duration timeout);

    /// Whether the connection can't carry another exchange after the last one.
    bool mustClose() const;

private:
    struct Private;
    explicit HttpConnection(std::unique_ptr<Private> d);
    std::unique_ptr<Private> m_d;
};

/// Performs one exchange on a new connection and closes it. Errors as for connect() and exchange().
Result<HttpResponse> exchangeOnce(const Endpoint &endpoint, const HttpRequest &request,
                                  Duration timeout);

} // namespace buckthornford
