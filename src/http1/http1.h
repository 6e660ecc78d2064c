#pragma once

/// HTTP/1.1 on an event loop: a server task and a client connection. Boost.Beast parses the
/// messages. This slice only encodes, decodes and transports; it decides nothing about requests.

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
#include <vector>

namespace buckthornford {

/// Returns \a headers without the hop-by-hop fields (RFC 9110, 7.6.1) and without Content-Length
/// and Expect, which each side of a hop sets for itself.
HttpHeaders endToEndHeaders(HttpHeaders headers);

/// A complete request as the server has read it.
struct ServerRequest
{
    RequestId id; ///< unique within the process
    std::string method;
    std::string target;  ///< path and query, as the client sent them
    HttpHeaders headers; ///< end-to-end fields
    SharedBytes body;
};

/// The response to the ServerRequest with the same id.
struct ServerResponse
{
    RequestId id;
    int status = 200;
    HttpHeaders headers;
    std::string body;
    bool close = false; ///< whether to close the connection after this response
};

/// Limits on the size of a request and on the time that its client may take.
struct HttpServerLimits
{
    Bytes header{16384}; ///< request line and header fields together
    Bytes body{64U << 20U};
    Duration headerTimeout{std::chrono::seconds(10)}; ///< from a request's first byte to its last
    /// On a connection between two requests, and while a client reads nothing of its response.
    Duration idleTimeout{std::chrono::seconds(60)};
};

/// Makes the server close each connection after its next response. Requests that arrive until then
/// are still read and answered; the listening socket stays open.
struct DrainConnections
{};

using HttpServerMessage = std::variant<ServerResponse, HttpServerLimits, DrainConnections>;

/// Events of an HttpServerTask, called on the event loop's thread.
class HttpServerEvents
{
public:
    virtual ~HttpServerEvents() = default;

    /// A complete request has arrived. The receiver posts exactly one ServerResponse with its id,
    /// unless onClientDisconnected() reports that the client has gone.
    virtual void onRequest(ServerRequest request) = 0;

    /// The connection of an unanswered request has ended.
    virtual void onClientDisconnected(RequestId id) = 0;
};

class ServerConnection;

/// The task that owns a listening socket and the connections accepted from it. A connection
/// handles one request at a time; pipelined requests wait in its read buffer.
class HttpServerTask : public LoopTask<HttpServerMessage>
{
public:
    /// Listens on \a endpoint. Error::BindFailed if the address can't be bound.
    /// Requests whose bodies \a bodyMemory can't hold are refused with 503; null bounds only each.
    static Result<std::unique_ptr<HttpServerTask>>
    listen(EventLoop *loop, const Endpoint &endpoint, HttpServerEvents *events,
           std::shared_ptr<MemoryBudget> bodyMemory = nullptr);
    ~HttpServerTask() override;

    std::size_t connectionCount() const { return m_connections.size(); }

    /// Returns the number of requests whose response is not yet wholly written.
    std::size_t unansweredCount() const;
    /// Returns the bytes of the responses that are being written.
    Bytes pendingBytes() const;
    std::uint16_t port() const;

protected:
    void handle(HttpServerMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    friend class ServerConnection;
    HttpServerTask(EventLoop *loop, std::unique_ptr<Listener> listener, HttpServerEvents *events,
                   std::shared_ptr<MemoryBudget> bodyMemory);
    void accept(boost::asio::ip::tcp::socket socket);
    void closeStalledConnections(TimePoint now);
    void on(const ServerResponse &response, TimePoint now);
    void on(HttpServerLimits &&limits, TimePoint now);
    void on(DrainConnections &&, TimePoint now);

    std::unique_ptr<Listener> m_listener;
    HttpServerEvents *m_events;
    std::shared_ptr<MemoryBudget> m_bodyMemory;
    HttpServerLimits m_limits;
    bool m_isDraining = false;
    std::unordered_map<ServerConnection *, std::shared_ptr<ServerConnection>> m_connections;
    std::unordered_map<RequestId, std::weak_ptr<ServerConnection>> m_awaitingResponse;
};

/// A request that this process sends to a server.
struct ClientRequest
{
    std::string method;
    std::string target;
    HttpHeaders headers; ///< includes Host; Content-Length is added when the request is written
    SharedBytes body;
    /// Name of a header field that the response repeats from the request, to match the two; empty
    /// if the server repeats none.
    std::string idHeader;
};

/// Limits on what a client takes from a server. An exchange whose response exceeds one ends as
/// ClientResponse::End::Truncated, and its connection is closed.
struct HttpClientLimits
{
    Bytes header{65536};        ///< status line and fields together; also extensions and trailers
    Bytes body{32U << 20U};     ///< of one response
    Bytes received{64U << 20U}; ///< in one exchange: all responses, their framing included
    std::uint32_t skippedResponses = 64; ///< informational ones and those with another id
};

/// How an exchange with a server ended, and the response if there was one.
struct ClientResponse
{
    enum class End {
        Answered,
        NotConnected,   ///< connecting failed; nothing was sent
        ConnectionLost, ///< the connection ended before the response's head was complete
        Truncated,      ///< it ended inside the response, or the bytes were no valid response
        Unmatched,      ///< a response came that may belong to an earlier exchange
    };

    End end = End::Answered;
    RefusedResponse refused; ///< unless the end is Answered, what came instead of a response
    int status = 0;
    HttpHeaders headers; ///< end-to-end fields
    std::string body;
};

class ClientConnection;

/// Bounds the memory of all responses that a task is receiving. Only the event loop's thread may
/// use it.
class ResponseMemory
{
public:
    explicit ResponseMemory(Bytes limit)
        : m_limit(limit)
    {}

    /// Sets what the response in progress on \a connection holds. If all of them hold more than
    /// the limit then, ends the exchange that holds the most.
    void hold(ClientConnection *connection, Bytes size);

    /// The exchange on \a connection has ended.
    void release(ClientConnection *connection);

    Bytes held() const { return m_held; }

private:
    Bytes m_limit;
    Bytes m_held{0};
    std::unordered_map<ClientConnection *, Bytes> m_sizes;
};

/// A client connection to a server. It carries one exchange at a time and stays open in between.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using Handler = std::function<void(ClientResponse)>;

    /// \a memory bounds the responses of all connections that share it; none if it is null.
    explicit ClientConnection(EventLoop *loop, const HttpClientLimits &limits = {},
                              std::shared_ptr<ResponseMemory> memory = nullptr);
    ~ClientConnection();

    /// Opens the connection to \a server and calls \a handler with whether that succeeded, unless
    /// close() is called first.
    void open(const Endpoint &server, std::function<void(bool)> handler);

    /// Sends \a request, connecting to \a server first if the connection is not open. Calls
    /// \a handler once with the result, unless close() is called first. The previous exchange must
    /// have ended.
    void exchange(const Endpoint &server, ClientRequest request, Handler handler);

    /// Turns on TCP keep-alive for connections that are opened from now on, so that a peer that no
    /// longer acknowledges is found within a few seconds even if nothing is being sent.
    void enableTcpKeepAlive() { m_hasTcpKeepAlive = true; }

    /// Closes the connection and drops a pending handler without calling it.
    void close();

    /// Whether the connection is open, has no exchange in progress and can carry another one.
    bool isReusable() const;

    /// Whether an earlier exchange on the open connection had the id of \a request and got an error
    /// response. A copy of that response could not be told from a response to \a request.
    bool hasCarriedErrorFor(const ClientRequest &request) const;

    /// How long the server keeps an idle connection, if its last Keep-Alive field said so.
    std::optional<Duration> keepAliveTimeout() const { return m_keepAliveTimeout; }

private:
    friend class ResponseMemory;
    struct Parser;
    /// What the id of a response, or its absence, says about the exchange that it belongs to.
    enum class Match { Current, Other, Uncertain };

    bool isMergedHead() const;
    Match match(const ClientResponse &response) const;
    void write();
    void onWritten(const boost::system::error_code &error);
    void waitForBytes();
    void readBytes();
    void parse();
    void onEof(bool isOrderly);
    void createParser();
    bool exceedsLimits() const;
    void reportHeldMemory();
    bool takeResponse();
    void refuse(MessageFault fault, ClientResponse::End end = ClientResponse::End::Truncated);
    void completeExchange(ClientResponse response);

    HttpClientLimits m_limits;
    std::shared_ptr<ResponseMemory> m_memory;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_writeBuffer;
    std::string m_readBuffer;
    std::unique_ptr<Parser> m_parser;
    ClientRequest m_request;
    Handler m_handler;
    std::optional<Duration> m_keepAliveTimeout;
    std::uint64_t m_receivedBytes = 0;        ///< in the exchange in progress
    std::uint32_t m_skippedResponseCount = 0; ///< in the exchange in progress
    /// Checksums of the ids of the exchanges on this connection that ended with an error response.
    std::vector<std::uint64_t> m_idsOfErrors;
    bool m_isFirstExchange = true; ///< on this connection
    bool m_isConnected = false;
    bool m_hasTcpKeepAlive = false;
    bool m_isRequestWritten = false;
    bool m_isReset = false;         ///< a write has found that the peer has reset the connection
    bool m_isUnusable = false;      ///< the server closes the connection, or sent unexpected bytes
    std::uint64_t m_generation = 0; ///< lets callbacks of an earlier, closed connection be ignored
};

} // namespace buckthornford
