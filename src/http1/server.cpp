#include "http1/server_p.h"

#include <boost/asio/write.hpp>

namespace buckthornford {

namespace {

using boost::asio::ip::tcp;

constexpr Duration sweepInterval = std::chrono::milliseconds(250);
/// Bytes that a caller may send ahead of its answer before reading stops.
constexpr std::size_t maxSentAhead = 65536;

RequestId nextRequestId()
{
    static std::uint64_t next = randomNumber();
    return RequestId{++next};
}

} // namespace

Result<std::unique_ptr<HttpServerTask>>
HttpServerTask::listen(EventLoop *loop, const Endpoint &endpoint, HttpServerEvents *events)
{
    Result<std::unique_ptr<Listener>> listener = Listener::open(loop, endpoint.host, endpoint.port);
    if (!listener)
        return listener.error();
    std::unique_ptr<HttpServerTask> door(
            new HttpServerTask(loop, std::move(listener.value()), events));
    door->m_listener->start(
            [own = door.get()](tcp::socket socket) { own->accept(std::move(socket)); });
    door->start();
    return door;
}

HttpServerTask::HttpServerTask(EventLoop *loop, std::unique_ptr<Listener> listener,
                               HttpServerEvents *events)
    : LoopTask(loop)
    , m_listener(std::move(listener))
    , m_events(events)
{}

HttpServerTask::~HttpServerTask()
{
    for (const auto &[key, connection] : m_connections)
        connection->abandon();
}

std::uint16_t HttpServerTask::port() const
{
    return m_listener->port();
}

void HttpServerTask::accept(tcp::socket socket)
{
    const auto connection = std::make_shared<ServerConnection>(this, std::move(socket));
    m_connections.emplace(connection.get(), connection);
    connection->begin();
}

void HttpServerTask::handle(HttpServerMessage &&message, TimePoint now)
{
    std::visit([this, now](auto &&kind) { on(std::forward<decltype(kind)>(kind), now); },
               std::move(message));
}

void HttpServerTask::on(const ServerResponse &answer, TimePoint)
{
    const auto found = m_waiting.find(answer.id);
    if (found == m_waiting.end())
        return; // The caller has left.
    const auto connection = found->second.lock();
    m_waiting.erase(found);
    if (connection)
        connection->answer(answer);
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
    std::vector<std::shared_ptr<ServerConnection>> late;
    for (const auto &[key, connection] : m_connections) {
        if (connection->isOverdue(now))
            late.push_back(connection);
    }
    for (const auto &connection : late)
        connection->endOverdue();
    return now + sweepInterval;
}

ServerConnection::ServerConnection(HttpServerTask *door, tcp::socket socket)
    : m_door(door)
    , m_socket(std::move(socket))
    , m_since(monotonicNow())
{}

void ServerConnection::begin()
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
    const bool wasIdle = m_in.empty() && m_state == State::Reading && !m_parser;
    const ReadState state = readAvailable(&m_socket, &m_in);
    if (state != ReadState::Open) {
        leave();
        return;
    }
    if (wasIdle && !m_in.empty())
        m_since = monotonicNow();
    if (m_state == State::Reading)
        parse();
    // A caller that sends ahead without end isn't read any further until it is answered.
    if (m_in.size() < maxSentAhead)
        waitForBytes();
}

void ServerConnection::parse()
{
    while (m_state == State::Reading && !m_in.empty()) {
        if (!m_parser) {
            m_parser = std::make_unique<Parser>();
            m_parser->eager(true);
            m_parser->header_limit(static_cast<std::uint32_t>(m_door->m_limits.header.value()));
            m_parser->body_limit(m_door->m_limits.body.value());
        }
        boost::system::error_code error;
        const std::size_t used = m_parser->put(boost::asio::buffer(m_in), error);
        m_in.erase(0, used);
        if (error && error != http::error::need_more) {
            refuse(error);
            return;
        }
        if (m_parser->is_done())
            dispatch();
        else if (used == 0 || error)
            break;
    }
    if (m_state == State::Reading && m_parser && m_parser->is_header_done())
        continueIfExpected();
}

/// A caller may wait for leave to send its body.
void ServerConnection::continueIfExpected()
{
    if (m_hasContinued || m_parser->get()[http::field::expect] != "100-continue")
        return;
    m_hasContinued = true;
    static constexpr std::string_view leaveToSend = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::system::error_code ignored; // A broken connection shows when it's read.
    m_socket.write_some(boost::asio::buffer(leaveToSend), ignored);
}

void ServerConnection::dispatch()
{
    http::request<http::string_body> message = m_parser->release();
    m_parser.reset();
    m_hasContinued = false;
    ServerRequest request;
    request.id = nextRequestId();
    m_request = request.id;
    m_keepAlive = message.keep_alive();
    m_isHead = message.method() == http::verb::head;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    HttpHeaders headers;
    for (const auto &field : message)
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    request.headers = endToEndHeaders(std::move(headers));
    request.body = std::move(message.body());
    m_state = State::Waiting;
    m_door->m_waiting.emplace(request.id, weak_from_this());
    m_door->m_events->onRequest(std::move(request));
}

void ServerConnection::refuse(const boost::system::error_code &error)
{
    ServerResponse answer;
    answer.status = 400;
    if (error == http::error::header_limit)
        answer.status = 431;
    else if (error == http::error::body_limit)
        answer.status = 413;
    answer.headers = {{"Content-Type", "text/plain"}};
    answer.body = error.message() + "\n";
    answer.close = true;
    m_in.clear();
    this->answer(answer);
}

void ServerConnection::answer(const ServerResponse &answer)
{
    m_request.reset();
    m_state = State::Writing;
    m_closeAfter = answer.close || !m_keepAlive || m_door->m_isDraining;
    m_out = headOf(answer, m_closeAfter);
    const bool hasBody = !m_isHead && answer.status != 204 && answer.status != 304;
    if (hasBody)
        m_out += answer.body;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_out),
                             [self = shared_from_this()](const boost::system::error_code &error,
                                                         std::size_t) { self->onWritten(!error); });
}

std::string ServerConnection::headOf(const ServerResponse &answer, bool closes)
{
    std::string head = "HTTP/1.1 " + std::to_string(answer.status) + ' ';
    head += std::string(http::obsolete_reason(http::int_to_status(answer.status)));
    head += "\r\n";
    for (const auto &[name, value] : answer.headers)
        head.append(name).append(": ").append(value).append("\r\n");
    if (answer.status != 204 && answer.status != 304)
        head += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    head += closes ? "Connection: close\r\n\r\n" : "\r\n";
    return head;
}

void ServerConnection::onWritten(bool isWhole)
{
    if (m_state == State::Closed)
        return;
    std::string().swap(m_out);
    if (!isWhole) {
        close();
        return;
    }
    m_since = monotonicNow();
    if (m_closeAfter) {
        // The caller reads the answer and then sees the end; a close with unread bytes would
        // reset the connection.
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

bool ServerConnection::isOverdue(TimePoint now) const
{
    const HttpServerLimits &limits = m_door->m_limits;
    switch (m_state) {
    case State::Reading: {
        const bool isIdle = m_in.empty() && !m_parser;
        return now - m_since > (isIdle ? limits.idleTimeout : limits.headerTimeout);
    }
    case State::Lingering:
        return now - m_since > lingerLimit;
    case State::Writing:
    case State::Waiting:
    case State::Closed:
        return false;
    }
    return false;
}

void ServerConnection::endOverdue()
{
    const bool isHalfRead = m_state == State::Reading && (!m_in.empty() || m_parser);
    if (!isHalfRead) {
        close();
        return;
    }
    ServerResponse answer;
    answer.status = 408;
    answer.close = true;
    m_in.clear();
    m_parser.reset();
    this->answer(answer);
}

void ServerConnection::leave()
{
    const std::optional<RequestId> open = std::exchange(m_request, std::nullopt);
    HttpServerTask *door = m_door;
    close();
    if (open) {
        door->m_waiting.erase(*open);
        door->m_events->onClientDisconnected(*open);
    }
}

void ServerConnection::abandon()
{
    m_state = State::Closed;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void ServerConnection::close()
{
    if (m_state == State::Closed)
        return;
    abandon();
    m_door->m_connections.erase(this);
}

} // namespace buckthornford
