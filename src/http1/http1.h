#pragma once

/// HTTP/1.1 on an event loop: a door that serves callers and a connection that asks a server.
/// Messages are parsed by Boost.Beast. Encoding only, no decisions.

#include "core/core.h"
#include "loop/listener.h"
#include "loop/loop.h"
#include "settings/settings.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

namespace buckthornford {

/// Returns \a headers without the fields that concern one connection only (RFC 9110, 7.6.1).
HttpHeaders endToEndHeaders(HttpHeaders headers);

/// A whole request that a door has read.
struct ServerRequest
{
    RequestId id; ///< unique within the process
    std::string method;
    std::string target;  ///< path and query as sent
    HttpHeaders headers; ///< end-to-end fields
    std::string body;
};

/// The answer to one DoorRequest.
struct ServerResponse
{
    RequestId id;
    int status = 200;
    HttpHeaders headers;
    std::string body;
    bool close = false; ///< end the connection after this answer
};

/// What a caller may send, and how long it may take.
struct HttpServerLimits
{
    Bytes header{16384};
    Bytes body{64U << 20U};
    Duration headerTimeout{std::chrono::seconds(10)}; ///< from the first byte to the whole request
    Duration idleTimeout{std::chrono::seconds(60)};   ///< without a request
};

/// Ends every connection after the answer in progress; new requests are still read and answered.
struct DrainConnections
{};

using HttpServerMessage = std::variant<ServerResponse, HttpServerLimits, DrainConnections>;

/// What happens at a door.
class HttpServerEvents
{
public:
    virtual ~HttpServerEvents() = default;

    /// A whole request has arrived; exactly one DoorAnswer is due unless its caller leaves.
    virtual void onRequest(ServerRequest request) = 0;

    /// The caller of an unanswered request has closed its connection.
    virtual void onClientDisconnected(RequestId id) = 0;
};

class ServerConnection;

/// The task that owns a listening socket and the connections of its callers. A connection carries
/// one request at a time; what a caller sends ahead waits in the connection's buffer.
class HttpServerTask : public LoopTask<HttpServerMessage>
{
public:
    /// Error::BindFailed if the endpoint can't be used.
    static Result<std::unique_ptr<HttpServerTask>> listen(EventLoop *loop, const Endpoint &endpoint,
                                                          HttpServerEvents *events);
    ~HttpServerTask() override;

    std::size_t connectionCount() const { return m_connections.size(); }
    std::uint16_t port() const;

protected:
    void handle(HttpServerMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    friend class ServerConnection;
    HttpServerTask(EventLoop *loop, std::unique_ptr<Listener> listener, HttpServerEvents *events);
    void accept(boost::asio::ip::tcp::socket socket);
    void on(const ServerResponse &answer, TimePoint now);
    void on(HttpServerLimits &&limits, TimePoint now);
    void on(DrainConnections &&, TimePoint now);

    std::unique_ptr<Listener> m_listener;
    HttpServerEvents *m_events;
    HttpServerLimits m_limits;
    bool m_isDraining = false;
    std::unordered_map<ServerConnection *, std::shared_ptr<ServerConnection>> m_connections;
    std::unordered_map<RequestId, std::weak_ptr<ServerConnection>> m_waiting;
};

/// A request to a server.
struct ClientRequest
{
    std::string method;
    std::string target;
    HttpHeaders headers; ///< with Host; the length is added
    std::string body;
    /// Field by whose value an answer is matched to its request; empty if answers carry none.
    std::string idHeader;
};

/// How an exchange with a server ended.
struct ClientResponse
{
    enum class End {
        Answered,
        NotConnected, ///< nothing was sent
        Lost,         ///< the connection ended before the answer's head
        Cut,          ///< the connection ended inside the answer, or bytes were no answer
    };

    End end = End::Answered;
    int status = 0;
    HttpHeaders headers; ///< end-to-end fields
    std::string body;
};

/// A connection to a server that carries one exchange at a time and is kept between them.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using Handler = std::function<void(ClientResponse)>;

    explicit ClientConnection(EventLoop *loop);
    ~ClientConnection();

    /// Sends \a request, connecting first if there is no connection. \a handler is called once,
    /// unless close() comes first.
    void exchange(const Endpoint &server, ClientRequest request, Handler handler);

    /// Has the operating system probe this connection while it is silent, so that one which
    /// nobody answers any more is found broken within a few seconds.
    void enableTcpKeepAlive() { m_hasTcpKeepAlive = true; }

    /// Ends the connection; a pending handler is dropped.
    void close();

    /// Whether another exchange can be sent.
    bool isReusable() const;

    /// How long the server keeps an idle connection, if it said so.
    std::optional<Duration> keepAliveTimeout() const { return m_keepAliveTimeout; }

private:
    struct Parser;

    void connect(const Endpoint &server);
    void write();
    void waitForBytes();
    void readBytes();
    void parse();
    void onEof(bool isOrderly);
    bool takeAnswer();
    void finish(ClientResponse answer);

    boost::asio::ip::tcp::socket m_socket;
    std::string m_out;
    std::string m_in;
    std::unique_ptr<Parser> m_parser;
    ClientRequest m_request;
    Handler m_handler;
    std::optional<Duration> m_keepAliveTimeout;
    bool m_isConnected = false;
    bool m_hasTcpKeepAlive = false;
    bool m_isWritten = false;
    bool m_isUnusable = false; ///< bytes arrived that belong to no request, or the server closes
    std::uint64_t m_generation = 0; ///< tells callbacks of a closed connection apart
};

} // namespace buckthornford
