#include "http1/http1.h"
#include "http1/parse_p.h"
#include "http1/socket_p.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace buckthornford {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr int firstErrorStatus = 400;
/// Error responses after which a connection is closed, which bounds the ids that it remembers.
constexpr std::size_t maxErrorsPerConnection = 64;

std::string serializeHead(const ClientRequest &request)
{
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    const bool hasBody = !request.body.empty() || request.method == "POST"
                         || request.method == "PUT" || request.method == "PATCH";
    if (hasBody)
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text.append("\r\n");
}

/// Returns the N seconds of "timeout=N" in a Keep-Alive field.
std::optional<Duration> parseKeepAliveTimeout(std::string_view field)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t at = field.find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = field.substr(at + name.size());
    std::int64_t seconds = 0;
    const auto [end, error]
            = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (error != std::errc() || end == digits.data())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

/// Returns whether \a value has the version and the status of a response in it.
bool hasStatusLine(std::string_view value)
{
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::size_t lineSize = protocol.size() + 5; // One digit, a blank, three digits.
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    for (std::size_t at = value.find(protocol); at != std::string_view::npos;
         at = value.find(protocol, at + 1)) {
        const std::string_view line = value.substr(at, lineSize);
        if (line.size() == lineSize && isDigit(line[7]) && line[8] == ' '
            && std::all_of(line.begin() + 9, line.end(), isDigit))
            return true;
    }
    return false;
}

/// Returns the id by which a response to \a request is matched; nullptr if there is none.
const std::string *idOf(const ClientRequest &request)
{
    return request.idHeader.empty() ? nullptr : findHeader(request.headers, request.idHeader);
}

} // namespace

struct ClientConnection::Parser : http::response_parser<http::string_body>
{};

void ResponseMemory::hold(ClientConnection *connection, Bytes size)
{
    Bytes &known = m_sizes.try_emplace(connection, 0).first->second;
    m_held = Bytes{m_held.value() - known.value() + size.value()};
    known = size;
    if (m_held.value() <= m_limit.value())
        return;
    const auto largest
            = std::max_element(m_sizes.begin(), m_sizes.end(), [](const auto &a, const auto &b) {
                  return a.second.value() < b.second.value();
              });
    largest->first->refuse(MessageFault::NoMemory);
}

void ResponseMemory::release(ClientConnection *connection)
{
    const auto found = m_sizes.find(connection);
    if (found == m_sizes.end())
        return;
    m_held = Bytes{m_held.value() - found->second.value()};
    m_sizes.erase(found);
}

ClientConnection::ClientConnection(EventLoop *loop, const HttpClientLimits &limits,
                                   std::shared_ptr<ResponseMemory> memory)
    : m_limits(limits)
    , m_memory(std::move(memory))
    , m_socket(*loop)
{}

ClientConnection::~ClientConnection()
{
    if (m_memory)
        m_memory->release(this);
}

bool ClientConnection::isReusable() const
{
    return m_isConnected && !m_isUnusable && !m_handler;
}

bool ClientConnection::hasCarriedErrorFor(const ClientRequest &request) const
{
    const std::string *id = idOf(request);
    return id != nullptr
           && std::find(m_idsOfErrors.begin(), m_idsOfErrors.end(), checksum(*id))
                      != m_idsOfErrors.end();
}

void ClientConnection::close()
{
    ++m_generation;
    m_handler = nullptr;
    m_parser.reset();
    std::string().swap(m_readBuffer);
    if (m_memory)
        m_memory->release(this);
    m_isConnected = false;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void ClientConnection::exchange(const Endpoint &server, ClientRequest request, Handler handler)
{
    m_request = std::move(request);
    m_handler = std::move(handler);
    m_writeBuffer = serializeHead(m_request);
    m_isRequestWritten = false;
    m_isReset = false;
    m_receivedBytes = 0;
    m_skippedResponseCount = 0;
    if (m_isConnected) {
        write();
        return;
    }
    open(server, [this](bool isOpen) {
        if (isOpen)
            write();
        else
            refuse(MessageFault::None, ClientResponse::End::NotConnected);
    });
}

void ClientConnection::open(const Endpoint &server, std::function<void(bool)> handler)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(server.host, error);
    m_socket = tcp::socket(m_socket.get_executor());
    m_isUnusable = false;
    m_isFirstExchange = true;
    m_idsOfErrors.clear();
    const std::uint64_t generation = ++m_generation;
    m_socket.async_connect(tcp::endpoint(address, server.port),
                           [self = shared_from_this(), generation, handler = std::move(handler)](
                                   const boost::system::error_code &failure) {
                               if (generation != self->m_generation)
                                   return;
                               if (failure) {
                                   handler(false);
                                   return;
                               }
                               self->m_isConnected = true;
                               prepareSocket(&self->m_socket);
                               if (self->m_hasTcpKeepAlive)
                                   setTcpKeepAlive(&self->m_socket);
                               handler(true);
                               self->waitForBytes();
                           });
}

void ClientConnection::write()
{
    const SharedBytes &body = m_request.body;
    const std::array<boost::asio::const_buffer, 2> buffers{
            boost::asio::buffer(m_writeBuffer),
            boost::asio::const_buffer(body.data(), body.size())};
    boost::asio::async_write(m_socket, buffers,
                             [self = shared_from_this(), generation = m_generation,
                              body](const boost::system::error_code &error, std::size_t) {
                                 if (generation != self->m_generation)
                                     return;
                                 self->onWritten(error);
                             });
}

/// The response, or the start of it, may have arrived already, so an error doesn't end the
/// exchange. But the socket reports a reset once: if this write has got it, the next read will only
/// tell an end. A write after an orderly end fails with broken_pipe instead.
void ClientConnection::onWritten(const boost::system::error_code &error)
{
    m_isRequestWritten = !error;
    m_isReset = error && error != boost::asio::error::broken_pipe;
    std::string().swap(m_writeBuffer);
}

void ClientConnection::waitForBytes()
{
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this(),
                         generation = m_generation](const boost::system::error_code &error) {
                            if (!error && generation == self->m_generation)
                                self->readBytes();
                        });
}

void ClientConnection::readBytes()
{
    const std::uint64_t generation = m_generation;
    const std::size_t unparsedBytes = m_readBuffer.size();
    const ReadState state = readAvailable(&m_socket, &m_readBuffer);
    m_receivedBytes += m_readBuffer.size() - unparsedBytes;
    if (!m_handler) {
        // Bytes or an EOF between exchanges belong to no request.
        if (state != ReadState::Open || !m_readBuffer.empty()) {
            m_isUnusable = true;
            close();
            return;
        }
    } else {
        parse();
        if (generation == m_generation && state != ReadState::Open)
            onEof(state == ReadState::Ended && !m_isReset);
    }
    if (generation == m_generation && m_isConnected)
        waitForBytes();
}

void ClientConnection::createParser()
{
    m_parser = std::make_unique<Parser>();
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits.header.value()));
    m_parser->body_limit(m_limits.body.value());
    m_parser->skip(m_request.method == "HEAD");
}

/// Beast itself bounds the head and the body of one response, but neither the extensions of a
/// chunk, the trailers nor the responses that are skipped.
bool ClientConnection::exceedsLimits() const
{
    return m_readBuffer.size() > m_limits.header.value()
           || m_receivedBytes > m_limits.received.value()
           || m_skippedResponseCount > m_limits.skippedResponses;
}

void ClientConnection::parse()
{
    bool needsMore = false;
    while (m_handler && !m_readBuffer.empty() && !needsMore) {
        if (!m_parser)
            createParser();
        const bool hadHead = m_parser->is_header_done();
        ParseStep step = parseSome(m_parser.get(), &m_readBuffer);
        const bool hasNewHead = !hadHead && m_parser->is_header_done();
        if (step.fault == MessageFault::None && hasNewHead && isMergedHead())
            step.fault = MessageFault::TwoHeads;
        if (step.fault != MessageFault::None) {
            refuse(step.fault);
            return;
        }
        if (!m_parser->is_done())
            needsMore = step.needsMore;
        else if (takeResponse())
            return;
        else
            needsMore = ++m_skippedResponseCount > m_limits.skippedResponses;
    }
    if (m_handler && exceedsLimits())
        refuse(MessageFault::ExchangeTooLong);
    else if (m_handler && m_memory)
        reportHeldMemory();
}

void ClientConnection::reportHeldMemory()
{
    const std::size_t bodySize = m_parser ? m_parser->get().body().size() : 0;
    m_memory->hold(this, Bytes{m_readBuffer.size() + bodySize});
}

/// Returns whether the head that was read may be merged from two: a second copy that begins inside
/// a half-written head leaves two ids or a status line in a field.
bool ClientConnection::isMergedHead() const
{
    int idCount = 0;
    for (const auto &field : m_parser->get()) {
        if (hasStatusLine(std::string_view(field.value().data(), field.value().size())))
            return true;
        if (!m_request.idHeader.empty()
            && boost::beast::iequals(field.name_string(), m_request.idHeader))
            ++idCount;
    }
    return idCount > 1;
}

ClientConnection::Match ClientConnection::match(const ClientResponse &response) const
{
    if (m_request.idHeader.empty())
        return Match::Current;
    const std::string *sent = idOf(m_request);
    const std::string *echoed = findHeader(response.headers, m_request.idHeader);
    if (echoed != nullptr) {
        if (sent == nullptr || *sent != *echoed)
            return Match::Other;
        return hasCarriedErrorFor(m_request) ? Match::Uncertain : Match::Current;
    }
    // An error response may come from a front of the server that doesn't repeat the id; a success
    // without the id is not taken.
    if (response.status < firstErrorStatus || m_isUnusable)
        return Match::Other;
    return m_isFirstExchange ? Match::Current : Match::Uncertain;
}

/// Takes the parsed response and completes the exchange with it. Returns false if it is not the
/// final response to this request: an informational (1xx) one, or one with another request's id.
bool ClientConnection::takeResponse()
{
    // A trailer may have brought a field that the head had already.
    if (isMergedHead()) {
        refuse(MessageFault::TwoHeads);
        return true;
    }
    const bool serverCloses = !m_parser->keep_alive();
    http::response<http::string_body> message = m_parser->release();
    m_parser.reset();
    ClientResponse response;
    response.status = static_cast<int>(message.result_int());
    if (!isFinalStatus(response.status))
        return false;
    for (const auto &field : message)
        response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    const Match matched = match(response);
    if (matched == Match::Other) {
        m_isUnusable = true;
        return false;
    }
    if (matched == Match::Uncertain) {
        refuse(MessageFault::OtherExchange, ClientResponse::End::Unmatched);
        return true;
    }
    if (const std::string *field = findHeader(response.headers, "Keep-Alive"))
        m_keepAliveTimeout = parseKeepAliveTimeout(*field);
    const std::string *id = idOf(m_request);
    if (id != nullptr && response.status >= firstErrorStatus)
        m_idsOfErrors.push_back(checksum(*id));
    response.headers = endToEndHeaders(std::move(response.headers));
    response.body = std::move(message.body());
    m_isUnusable = m_isUnusable || serverCloses || !m_readBuffer.empty() || !m_isRequestWritten
                   || m_idsOfErrors.size() >= maxErrorsPerConnection;
    completeExchange(std::move(response));
    return true;
}

void ClientConnection::onEof(bool isOrderly)
{
    if (isOrderly && m_parser && m_parser->is_header_done()) {
        boost::system::error_code error;
        m_parser->put_eof(error);
        if (!error && m_parser->is_done()) {
            m_isUnusable = true;
            if (takeResponse())
                return;
        }
    }
    const bool hasHead = m_parser && m_parser->is_header_done();
    refuse(isOrderly ? MessageFault::Incomplete : MessageFault::Reset,
           hasHead ? ClientResponse::End::Truncated : ClientResponse::End::ConnectionLost);
}

/// Ends the exchange without a response, because of \a fault in what has arrived, and closes the
/// connection.
void ClientConnection::refuse(MessageFault fault, ClientResponse::End end)
{
    ClientResponse response;
    response.end = end;
    response.refused.received = Bytes{m_receivedBytes};
    if (m_receivedBytes > 0)
        response.refused.fault = fault;
    if (m_parser && m_parser->is_header_done())
        response.refused.status = static_cast<int>(m_parser->get().result_int());
    m_isUnusable = true;
    completeExchange(std::move(response));
}

void ClientConnection::completeExchange(ClientResponse response)
{
    const auto self = shared_from_this(); // The handler may drop the connection.
    const Handler handler = std::exchange(m_handler, nullptr);
    m_parser.reset();
    if (m_memory)
        m_memory->release(this);
    m_request = {};
    m_isFirstExchange = false;
    if (response.end != ClientResponse::End::Answered || m_isUnusable) {
        m_readBuffer.clear();
        close();
    }
    if (handler)
        handler(std::move(response));
}

} // namespace buckthornford
