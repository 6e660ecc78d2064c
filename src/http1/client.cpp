#include "http1/http1.h"
#include "http1/socket_p.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <charconv>

namespace buckthornford {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint32_t maxAnswerHead = 65536;
constexpr std::uint64_t maxAnswerBody = 128ULL << 20U;
constexpr int firstFinalStatus = 200;
constexpr int firstErrorStatus = 400;

std::string textOf(const ClientRequest &request)
{
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    const bool hasBody = !request.body.empty() || request.method == "POST"
                         || request.method == "PUT" || request.method == "PATCH";
    if (hasBody)
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text.append("\r\n").append(request.body);
}

/// Reads "timeout=N" out of a Keep-Alive field.
std::optional<Duration> keepAliveOf(std::string_view field)
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

} // namespace

struct ClientConnection::Parser : http::response_parser<http::string_body>
{};

ClientConnection::ClientConnection(EventLoop *loop)
    : m_socket(*loop)
{}

ClientConnection::~ClientConnection() = default;

bool ClientConnection::isReusable() const
{
    return m_isConnected && !m_isUnusable && !m_handler;
}

void ClientConnection::close()
{
    ++m_generation;
    m_handler = nullptr;
    m_isConnected = false;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void ClientConnection::exchange(const Endpoint &server, ClientRequest request, Handler handler)
{
    m_request = std::move(request);
    m_handler = std::move(handler);
    m_out = textOf(m_request);
    m_isWritten = false;
    if (m_isConnected)
        write();
    else
        connect(server);
}

void ClientConnection::connect(const Endpoint &server)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(server.host, error);
    m_socket = tcp::socket(m_socket.get_executor());
    m_isUnusable = false;
    const std::uint64_t generation = ++m_generation;
    m_socket.async_connect(
            tcp::endpoint(address, server.port),
            [self = shared_from_this(), generation](const boost::system::error_code &failure) {
                if (generation != self->m_generation)
                    return;
                if (failure) {
                    ClientResponse answer;
                    answer.end = ClientResponse::End::NotConnected;
                    self->finish(std::move(answer));
                    return;
                }
                self->m_isConnected = true;
                prepareSocket(&self->m_socket);
                if (self->m_hasTcpKeepAlive)
                    probeWhileSilent(&self->m_socket);
                self->write();
                self->waitForBytes();
            });
}

void ClientConnection::write()
{
    boost::asio::async_write(m_socket, boost::asio::buffer(m_out),
                             [self = shared_from_this(), generation = m_generation](
                                     const boost::system::error_code &error, std::size_t) {
                                 if (generation != self->m_generation)
                                     return;
                                 self->m_isWritten = !error;
                                 std::string().swap(self->m_out);
                                 // An answer may have come before; a broken connection shows
                                 // when it's read.
                             });
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
    const ReadState state = readAvailable(&m_socket, &m_in);
    if (!m_handler) {
        // Bytes or an end between exchanges belong to no request.
        if (state != ReadState::Open || !m_in.empty()) {
            m_isUnusable = true;
            close();
            return;
        }
    } else {
        parse();
        if (generation == m_generation && state != ReadState::Open)
            onEof(state == ReadState::Ended);
    }
    if (generation == m_generation && m_isConnected)
        waitForBytes();
}

void ClientConnection::parse()
{
    while (m_handler && !m_in.empty()) {
        if (!m_parser) {
            m_parser = std::make_unique<Parser>();
            m_parser->eager(true);
            m_parser->header_limit(maxAnswerHead);
            m_parser->body_limit(maxAnswerBody);
            m_parser->skip(m_request.method == "HEAD");
        }
        boost::system::error_code error;
        const std::size_t used = m_parser->put(boost::asio::buffer(m_in), error);
        m_in.erase(0, used);
        if (error && error != http::error::need_more) {
            ClientResponse answer;
            answer.end = ClientResponse::End::Cut;
            m_isUnusable = true;
            finish(std::move(answer));
            return;
        }
        if (m_parser->is_done()) {
            if (takeAnswer())
                return;
        } else if (used == 0 || error) {
            return;
        }
    }
}

/// Takes the parsed answer. Returns false if it was not the final one of this request.
bool ClientConnection::takeAnswer()
{
    const std::unique_ptr<Parser> parser = std::move(m_parser);
    const bool isClosing = !parser->keep_alive();
    http::response<http::string_body> message = parser->release();
    ClientResponse answer;
    answer.status = static_cast<int>(message.result_int());
    if (answer.status < firstFinalStatus)
        return false;
    HttpHeaders headers;
    for (const auto &field : message)
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    if (!m_request.idHeader.empty()) {
        const std::string *sent = findHeader(m_request.headers, m_request.idHeader);
        const std::string *echoed = findHeader(headers, m_request.idHeader);
        // A refusal of the server's front may lack the id; a success may not.
        const bool mayLackId = answer.status >= firstErrorStatus && !m_isUnusable;
        const bool isOurs = echoed != nullptr ? sent != nullptr && *sent == *echoed : mayLackId;
        if (!isOurs) {
            m_isUnusable = true;
            return false;
        }
    }
    if (const std::string *field = findHeader(headers, "Keep-Alive"))
        m_keepAliveTimeout = keepAliveOf(*field);
    answer.headers = endToEndHeaders(std::move(headers));
    answer.body = std::move(message.body());
    m_isUnusable = m_isUnusable || isClosing || !m_in.empty() || !m_isWritten;
    finish(std::move(answer));
    return true;
}

void ClientConnection::onEof(bool isOrderly)
{
    if (isOrderly && m_parser && m_parser->is_header_done()) {
        boost::system::error_code error;
        m_parser->put_eof(error);
        if (!error && m_parser->is_done()) {
            m_isUnusable = true;
            if (takeAnswer())
                return;
        }
    }
    ClientResponse answer;
    const bool hasHead = m_parser && m_parser->is_header_done();
    answer.end = hasHead ? ClientResponse::End::Cut : ClientResponse::End::Lost;
    m_isUnusable = true;
    finish(std::move(answer));
}

void ClientConnection::finish(ClientResponse answer)
{
    const Handler handler = std::exchange(m_handler, nullptr);
    m_parser.reset();
    m_request = {};
    if (answer.end != ClientResponse::End::Answered || m_isUnusable) {
        m_in.clear();
        close();
    }
    if (handler)
        handler(std::move(answer));
}

} // namespace buckthornford
