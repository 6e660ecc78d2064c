#include "http1/http1.h"
#include "http_blocking/http_blocking.h"

namespace buckthornford {

namespace {

constexpr Duration connectTimeout = std::chrono::seconds(10);

ClientRequest toClientRequest(const HttpRequest &request, const Endpoint &endpoint)
{
    ClientRequest out;
    out.method = request.method;
    out.target = request.query.empty() ? request.path : request.path + "?" + request.query;
    out.headers = {{"Host", endpoint.toString()}, {"Connection", "keep-alive"}};
    out.headers.insert(out.headers.end(), request.headers.begin(), request.headers.end());
    out.body = request.body;
    return out;
}

Result<HttpResponse> toResult(ClientResponse response)
{
    switch (response.end) {
    case ClientResponse::End::Answered:
        break;
    case ClientResponse::End::NotConnected:
        return Error::ConnectFailed;
    case ClientResponse::End::ConnectionLost:
        return Error::ConnectionLost;
    case ClientResponse::End::Truncated:
    case ClientResponse::End::Unmatched:
        return Error::AnswerCut;
    }
    HttpResponse out;
    out.status = response.status;
    out.headers = std::move(response.headers);
    out.body = std::move(response.body);
    if (const std::string *type = findHeader(out.headers, "Content-Type"))
        out.contentType = *type;
    return out;
}

} // namespace

/// A ClientConnection with an event loop of its own, which runs while a call waits.
struct HttpConnection::Private
{
    explicit Private(Endpoint to)
        : endpoint(std::move(to))
        , connection(std::make_shared<ClientConnection>(&loop))
    {}

    /// Runs the loop until \a isDone, for \a timeout at most.
    void runUntil(const bool &isDone, Duration timeout)
    {
        const TimePoint deadline = monotonicNow() + timeout;
        loop.restart();
        while (!isDone && loop.run_one_until(deadline) > 0) {
        }
    }

    Endpoint endpoint;
    EventLoop loop{1};
    std::shared_ptr<ClientConnection> connection;
};

HttpConnection::HttpConnection(std::unique_ptr<Private> d)
    : m_d(std::move(d))
{}

HttpConnection::HttpConnection(HttpConnection &&other) noexcept = default;
HttpConnection &HttpConnection::operator=(HttpConnection &&other) noexcept = default;

HttpConnection::~HttpConnection()
{
    if (m_d)
        m_d->connection->close();
}

Result<HttpConnection> HttpConnection::connect(const Endpoint &endpoint)
{
    auto d = std::make_unique<Private>(endpoint);
    bool isDone = false;
    bool isOpen = false;
    d->connection->open(endpoint, [&isDone, &isOpen](bool hasOpened) {
        isDone = true;
        isOpen = hasOpened;
    });
    d->runUntil(isDone, connectTimeout);
    if (!isOpen) {
        d->connection->close();
        return Error::ConnectFailed;
    }
    return HttpConnection(std::move(d));
}

Result<HttpResponse> HttpConnection::exchange(const HttpRequest &request, Duration timeout)
{
    bool isDone = false;
    ClientResponse response;
    m_d->connection->exchange(m_d->endpoint, toClientRequest(request, m_d->endpoint),
                              [&isDone, &response](ClientResponse received) {
                                  isDone = true;
                                  response = std::move(received);
                              });
    m_d->runUntil(isDone, timeout);
    if (!isDone) {
        m_d->connection->close();
        return Error::Timeout;
    }
    return toResult(std::move(response));
}

bool HttpConnection::mustClose() const
{
    return !m_d->connection->isReusable();
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
