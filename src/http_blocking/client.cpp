#include "http_blocking/http_blocking.h"

#include <civetweb.h>

#include <array>

namespace buckthornford {

namespace {

constexpr std::size_t errorTextSize = 256;

std::string serializeRequest(const HttpRequest &request, const Endpoint &endpoint)
{
    std::string text = request.method + " " + request.path;
    if (!request.query.empty())
        text += "?" + request.query;
    text += " HTTP/1.1\r\nHost: " + endpoint.toString() + "\r\nConnection: keep-alive\r\n";
    for (const auto &[name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (!request.body.empty() || request.method != "GET")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n";
    text += request.body;
    return text;
}

} // namespace

Result<HttpConnection> HttpConnection::connect(const Endpoint &endpoint)
{
    mg_init_library(MG_FEATURES_DEFAULT);
    std::array<char, errorTextSize> errorText{};
    mg_connection *connection = mg_connect_client(endpoint.host.c_str(), endpoint.port, 0,
                                                  errorText.data(), errorText.size());
    if (connection == nullptr)
        return Error::ConnectFailed;
    return HttpConnection(connection, endpoint);
}

HttpConnection::HttpConnection(mg_connection *connection, Endpoint endpoint)
    : m_connection(connection)
    , m_endpoint(std::move(endpoint))
{}

HttpConnection::HttpConnection(HttpConnection &&other) noexcept
    : m_connection(std::exchange(other.m_connection, nullptr))
    , m_endpoint(std::move(other.m_endpoint))
    , m_mustClose(other.m_mustClose)
{}

HttpConnection &HttpConnection::operator=(HttpConnection &&other) noexcept
{
    std::swap(m_connection, other.m_connection);
    std::swap(m_endpoint, other.m_endpoint);
    std::swap(m_mustClose, other.m_mustClose);
    return *this;
}

HttpConnection::~HttpConnection()
{
    if (m_connection != nullptr)
        mg_close_connection(m_connection);
}

Result<std::string> HttpConnection::readBody(std::int64_t length)
{
    constexpr std::size_t chunkSize = 16384;
    std::string body;
    std::array<char, chunkSize> chunk{};
    while (length < 0 || static_cast<std::int64_t>(body.size()) < length) {
        const int count = mg_read(m_connection, chunk.data(), chunk.size());
        if (count < 0)
            return Error::AnswerCut;
        if (count == 0)
            break;
        body.append(chunk.data(), static_cast<std::size_t>(count));
    }
    if (length >= 0 && static_cast<std::int64_t>(body.size()) != length)
        return Error::AnswerCut;
    return body;
}

Result<HttpResponse> HttpConnection::exchange(const HttpRequest &request, Duration timeout)
{
    const std::string text = serializeRequest(request, m_endpoint);
    if (mg_write(m_connection, text.data(), text.size()) != static_cast<int>(text.size()))
        return Error::ConnectionLost;
    const auto roundedTimeout = std::chrono::ceil<std::chrono::milliseconds>(timeout);
    const TimePoint deadline = monotonicNow() + roundedTimeout;
    std::array<char, errorTextSize> errorText{};
    if (mg_get_response(m_connection, errorText.data(), errorText.size(),
                        static_cast<int>(roundedTimeout.count()))
        < 0)
        return monotonicNow() >= deadline ? Error::Timeout : Error::ConnectionLost;
    const mg_response_info &info = *mg_get_response_info(m_connection);
    HttpResponse response;
    response.status = info.status_code;
    for (int i = 0; i < info.num_headers; ++i)
        response.headers.emplace_back(info.http_headers[i].name, info.http_headers[i].value);
    if (const std::string *type = findHeader(response.headers, "Content-Type"))
        response.contentType = *type;
    const std::string *connectionHeader = findHeader(response.headers, "Connection");
    m_mustClose = connectionHeader != nullptr && *connectionHeader == "close";
    if (info.content_length == 0)
        return response;
    Result<std::string> body = readBody(info.content_length);
    if (!body)
        return body.error();
    response.body = std::move(body.value());
    return response;
}

Result<HttpResponse> exchangeOnce(const Endpoint &endpoint, const HttpRequest &request,
                                  Duration timeout)
{
    Result<HttpConnection> connection = HttpConnection::connect(endpoint);
    if (!connection)
        return connection.error();
    return connection.value().exchange(request, timeout);
}

} // namespace buckthornford
