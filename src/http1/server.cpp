#include "http1/parse_p.h"
#include "http1/server_p.h"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace buckthornford {

namespace {

using boost::asio::ip::tcp;

constexpr Duration timeoutCheckInterval = std::chrono::milliseconds(250);
/// Reading pauses when a client has pipelined this many bytes behind an unanswered request.
constexpr std::size_t maxPipelinedBytes = 65536;
/// Bytes of all responses together that may wait for clients that take nothing of them.
constexpr Bytes maxPendingBytes{48U << 20U};
/// Without progress for so long, a client counts as one that takes nothing.
constexpr Duration minStallTime = std::chrono::seconds(1);
/// When a client may repeat a request for whose body there was no memory.
constexpr std::string_view memoryRetryAfterSeconds = "0.3";

RequestId nextRequestId()
{
    static std::uint64_t next = randomNumber();
    return RequestId{++next};
}

} // namespace

Result<std::unique_ptr<HttpServerTask>>
HttpServerTask::listen(EventLoop *loop, const Endpoint &endpoint, HttpServerEvents *events,
                       std::shared_ptr<MemoryBudget> bodyMemory)
{
    Result<std::unique_ptr<Listener>> listener = Listener::open(loop, endpoint.host, endpoint.port);
    if (!listener)
        return listener.error();
    std::unique_ptr<HttpServerTask> server(
            new HttpServerTask(loop, std::move(listener.value()), events, std::move(bodyMemory)));
    server->m_listener->start(
            [task = server.get()](tcp::socket socket) { task->accept(std::move(socket)); });
    server->start();
    return server;
}

HttpServerTask::HttpServerTask(EventLoop *loop, std::unique_ptr<Listener> listener,
                               HttpServerEvents *events, std::shared_ptr<MemoryBudget> bodyMemory)
    : LoopTask(loop)
    , m_listener(std::move(listener))
    , m_events(events)
    , m_bodyMemory(std::move(bodyMemory))
{}

HttpServerTask::~HttpServerTask()
{
    for (const auto &[key, connection] : m_connections)
        connection->closeSocket();
}

std::uint16_t HttpServerTask::port() const
{
    return m_listener->port();
}

std::size_t HttpServerTask::unansweredCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_connections.begin(), m_connections.end(),
                          [](const auto &item) { return item.second->isUnanswered(); }));
}

void HttpServerTask::accept(tcp::socket socket)
{
    const auto connection = std::make_shared<ServerConnection>(this, std::move(socket));
    m_connections.emplace(connection.get(), connection);
    connection->start();
}

void HttpServerTask::handle(HttpServerMessage &&message, TimePoint now)
{
    std::visit([this, now](auto &&kind) { on(std::forward<decltype(kind)>(kind), now); },
               std::move(message));
}

void HttpServerTask::on(const ServerResponse &response, TimePoint)
{
    const auto found = m_awaitingResponse.find(response.id);
    if (found == m_awaitingResponse.end())
        return; // The client has disconnected.
    const auto connection = found->second.lock();
    m_awaitingResponse.erase(found);
    if (connection)
        connection->sendResponse(response);
}

void HttpServerTask::on(HttpServerLimits &&limits, TimePoint)
{
    m_limits = limits;
}

void HttpServerTask::on(DrainConnections &&, TimePoint)
{
    m_isDraining = true;
}

TimePoint HttpServerTask::tick(TimePoint now)
{
    std::vector<std::shared_ptr<ServerConnection>> timedOut;
    for (const auto &[key, connection] : m_connections) {
        if (connection->isTimedOut(now))
            timedOut.push_back(connection);
    }
    for (const auto &connection : timedOut)
        connection->handleTimeout();
    closeStalledConnections(now);
    return now + timeoutCheckInterval;
}

Bytes HttpServerTask::pendingBytes() const
{
    std::uint64_t sum = 0;
    for (const auto &[key, connection] : m_connections)
        sum += connection->pendingBytes();
    return Bytes{sum};
}

/// Closes the connections whose clients have taken nothing for the longest time, until the
/// responses that wait hold no more than maxPendingBytes. Spares those that have just taken
/// something.
void HttpServerTask::closeStalledConnections(TimePoint now)
{
    while (pendingBytes() > maxPendingBytes) {
        std::shared_ptr<ServerConnection> stalled;
        for (const auto &[key, connection] : m_connections) {
            if (connection->pendingBytes() > 0
                && (!stalled || connection->lastProgress() < stalled->lastProgress()))
                stalled = connection;
        }
        if (!stalled || now - stalled->lastProgress() < minStallTime)
            return;
        stalled->close();
    }
}

ServerConnection::ServerConnection(HttpServerTask *server, tcp::socket socket)
    : m_server(server)
    , m_socket(std::move(socket))
    , m_timeoutStart(monotonicNow())
{}

void ServerConnection::start()
{
    prepareSocket(&m_socket);
    waitForBytes();
}

void ServerConnection::waitForBytes()
{
    if (m_isWaitingForBytes || m_state == State::Closed)
        return;
    m_isWaitingForBytes = true;
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &error) {
                            self->m_isWaitingForBytes = false;
                            if (!error && self->m_state != State::Closed)
                                self->readBytes();
                        });
}

void ServerConnection::readBytes()
{
    const bool wasIdle = m_readBuffer.empty() && m_state == State::Reading && !m_parser;
    const ReadState state = readAvailable(&m_socket, &m_readBuffer);
    if (state != ReadState::Open) {
        handleDisconnect();
        return;
    }
    if (m_state == State::Lingering)
        m_readBuffer.clear(); // The rest of a request that was refused.
    if (wasIdle && !m_readBuffer.empty())
        m_timeoutStart = monotonicNow();
    if (m_state == State::Reading)
        parse();
    // Bounds the buffer of a client that keeps pipelining: reading resumes after the response.
    if (m_readBuffer.size() < maxPipelinedBytes)
        waitForBytes();
}

void ServerConnection::parse()
{
    while (m_state == State::Reading && !m_readBuffer.empty()) {
        if (!m_parser) {
            m_parser = std::make_unique<Parser>();
            m_parser->header_limit(static_cast<std::uint32_t>(m_server->m_limits.header.value()));
            m_parser->body_limit(m_server->m_limits.body.value());
        }
        const ParseStep step = parseSome(m_parser.get(), &m_readBuffer);
        if (step.fault != MessageFault::None) {
            refuse(step.fault);
            return;
        }
        if (m_parser->is_header_done() && !holdBodyMemory()) {
            refuse(503, "no memory for the body now",
                   {{"Retry-After", std::string(memoryRetryAfterSeconds)}});
            return;
        }
        if (m_parser->is_done())
            deliverRequest();
        else if (step.needsMore)
            break;
    }
    if (m_state == State::Reading && m_parser && m_parser->is_header_done())
        sendContinueIfExpected();
}

/// Holds memory for the whole body if its length is known, else for what has arrived. Returns false
/// if the budget doesn't have it.
bool ServerConnection::holdBodyMemory()
{
    const std::uint64_t arrived = m_parser->get().body().size();
    const std::uint64_t size = std::max(arrived, m_parser->content_length().value_or(0));
    if (size == 0)
        return true;
    if (!m_bodyMemory)
        m_bodyMemory.emplace(m_server->m_bodyMemory);
    return m_bodyMemory->grow(Bytes{size});
}

/// Answers "Expect: 100-continue": such a client waits for this response before it sends the body.
void ServerConnection::sendContinueIfExpected()
{
    if (m_hasSentContinue || m_parser->get()[http::field::expect] != "100-continue")
        return;
    m_hasSentContinue = true;
    static constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::system::error_code ignored; // The next read reports a broken connection.
    m_socket.write_some(boost::asio::buffer(continueResponse), ignored);
}

void ServerConnection::deliverRequest()
{
    http::request<http::string_body> message = m_parser->release();
    m_parser.reset();
    m_hasSentContinue = false;
    ServerRequest request;
    request.id = nextRequestId();
    m_request = request.id;
    m_keepAlive = message.keep_alive();
    m_isHeadRequest = message.method() == http::verb::head;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    HttpHeaders headers;
    for (const auto &field : message)
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    request.headers = endToEndHeaders(std::move(headers));
    if (m_bodyMemory)
        request.body
                = SharedBytes(shareHeld(std::move(message.body()), std::move(*m_bodyMemory)), 0);
    m_bodyMemory.reset();
    m_state = State::AwaitingResponse;
    m_server->m_awaitingResponse.emplace(request.id, weak_from_this());
    m_server->m_events->onRequest(std::move(request));
}

/// Answers a request that isn't delivered, and ends the connection.
void ServerConnection::refuse(MessageFault fault)
{
    const MessageFaultRow &row = faultRow(fault);
    refuse(row.httpStatus, std::string(row.message));
}

void ServerConnection::refuse(int status, const std::string &message, HttpHeaders headers)
{
    ServerResponse response;
    response.status = status;
    response.headers = std::move(headers);
    response.headers.emplace_back("Content-Type", "text/plain");
    response.body = message + "\n";
    response.close = true;
    m_readBuffer.clear();
    m_parser.reset();
    m_bodyMemory.reset();
    this->sendResponse(response);
}

void ServerConnection::sendResponse(const ServerResponse &response)
{
    m_request.reset();
    m_state = State::Writing;
    m_closesAfterResponse = response.close || !m_keepAlive || m_server->m_isDraining;
    m_writeBuffer = responseHead(response, m_closesAfterResponse);
    const bool hasBody = !m_isHeadRequest && response.status != 204 && response.status != 304;
    if (hasBody)
        m_writeBuffer += response.body;
    m_timeoutStart = monotonicNow();
    m_writtenBytes = 0;
    const auto countProgress = [self = shared_from_this()](const boost::system::error_code &error,
                                                           std::size_t written) -> std::size_t {
        if (written > std::exchange(self->m_writtenBytes, written))
            self->m_timeoutStart = monotonicNow();
        return boost::asio::transfer_all()(error, written);
    };
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writeBuffer), countProgress,
                             [self = shared_from_this()](const boost::system::error_code &error,
                                                         std::size_t) { self->onWritten(!error); });
}

std::string ServerConnection::responseHead(const ServerResponse &response, bool closes)
{
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    head += std::string(http::obsolete_reason(http::int_to_status(response.status)));
    head += "\r\n";
    for (const auto &[name, value] : response.headers)
        head.append(name).append(": ").append(value).append("\r\n");
    if (response.status != 204 && response.status != 304)
        head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    head += closes ? "Connection: close\r\n\r\n" : "\r\n";
    return head;
}

void ServerConnection::onWritten(bool isWhole)
{
    if (m_state == State::Closed)
        return;
    std::string().swap(m_writeBuffer);
    if (!isWhole) {
        close();
        return;
    }
    m_timeoutStart = monotonicNow();
    if (m_closesAfterResponse) {
        // Only sending is shut down, so that the client reads the response and then EOF. Closing
        // the socket while it holds unread bytes would reset the connection and could drop the
        // response.
        boost::system::error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        m_state = State::Lingering;
        waitForBytes();
        return;
    }
    m_state = State::Reading;
    parse();
    waitForBytes();
}

bool ServerConnection::isTimedOut(TimePoint now) const
{
    const HttpServerLimits &limits = m_server->m_limits;
    switch (m_state) {
    case State::Reading: {
        const bool isIdle = m_readBuffer.empty() && !m_parser;
        return now - m_timeoutStart > (isIdle ? limits.idleTimeout : limits.headerTimeout);
    }
    case State::Lingering:
        return now - m_timeoutStart > lingerTimeout;
    case State::Writing:
        return now - m_timeoutStart > limits.idleTimeout;
    case State::AwaitingResponse:
    case State::Closed:
        return false;
    }
    return false;
}

void ServerConnection::handleTimeout()
{
    const bool isPartlyRead = m_state == State::Reading && (!m_readBuffer.empty() || m_parser);
    if (!isPartlyRead) {
        close();
        return;
    }
    ServerResponse response;
    response.status = 408;
    response.close = true;
    m_readBuffer.clear();
    m_parser.reset();
    m_bodyMemory.reset();
    this->sendResponse(response);
}

void ServerConnection::handleDisconnect()
{
    const std::optional<RequestId> unanswered = std::exchange(m_request, std::nullopt);
    HttpServerTask *server = m_server;
    close();
    if (unanswered) {
        server->m_awaitingResponse.erase(*unanswered);
        server->m_events->onClientDisconnected(*unanswered);
    }
}

void ServerConnection::closeSocket()
{
    m_state = State::Closed;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void ServerConnection::close()
{
    if (m_state == State::Closed)
        return;
    closeSocket();
    m_server->m_connections.erase(this);
}

} // namespace buckthornford
