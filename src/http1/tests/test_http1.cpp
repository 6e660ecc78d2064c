#define BOOST_TEST_MODULE http1
#include "http1/http1.h"
#include "http1/parse_p.h"
#include "http1/tests/flood_server.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/test/unit_test.hpp>

#include <cctype>

using namespace buckthornford;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

struct EventRecorder : HttpServerEvents
{
    void onRequest(ServerRequest request) override { requests.push_back(std::move(request)); }
    void onClientDisconnected(RequestId id) override { disconnected.push_back(id); }

    std::vector<ServerRequest> requests;
    std::vector<RequestId> disconnected;
};

/// A server and a client socket that writes raw bytes to it.
struct ServerFixture
{
    ServerFixture()
        : server(std::move(HttpServerTask::listen(&loop, {"127.0.0.1", 0}, &events).value()))
    {
        connect();
    }

    void connect()
    {
        client = tcp::socket(loop);
        client.connect({boost::asio::ip::make_address_v4("127.0.0.1"), server->port()});
        client.non_blocking(true);
    }

    void send(std::string_view text)
    {
        // The write may fail: the server closes early when it refuses a request.
        boost::system::error_code ignored;
        boost::asio::write(client, boost::asio::buffer(text), ignored);
        runLoop();
    }

    void runLoop() { loop.run_for(std::chrono::milliseconds(30)); }

    std::string received()
    {
        std::string text;
        std::array<char, 4096> chunk{};
        boost::system::error_code error;
        while (!error) {
            const std::size_t count = client.read_some(boost::asio::buffer(chunk), error);
            text.append(chunk.data(), count);
        }
        isClosedByServer
                = error == boost::asio::error::eof || error == boost::asio::error::connection_reset;
        return text;
    }

    void respond(const std::string &body)
    {
        ServerResponse response;
        response.id = events.requests.back().id;
        response.body = body;
        server->post(std::move(response));
        runLoop();
    }

    EventLoop loop{1};
    EventRecorder events;
    std::unique_ptr<HttpServerTask> server;
    tcp::socket client{loop};
    bool isClosedByServer = false;
};

std::string join(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts)
        text.append(part);
    return text;
}

constexpr std::string_view plainGet = "GET /a?b HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_CASE(requestIsDeliveredAndItsResponseIsSent, ServerFixture)
{
    send(plainGet);
    BOOST_TEST(events.requests.size() == 1U);
    BOOST_TEST(events.requests[0].target == "/a?b");
    BOOST_TEST(*findHeader(events.requests[0].headers, "x-id") == "1");
    respond("hello");
    const std::string text = received();
    BOOST_TEST(text.find("HTTP/1.1 200 OK\r\n") == 0U);
    BOOST_TEST(text.find("Content-Length: 5\r\n") != std::string::npos);
    BOOST_TEST(text.substr(text.size() - 5) == "hello");
    BOOST_TEST(!isClosedByServer);
}

BOOST_FIXTURE_TEST_CASE(pipelinedRequestIsDeliveredAfterThePreviousResponse, ServerFixture)
{
    send(std::string(plainGet) + "GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(events.requests.size() == 1U);
    respond("one");
    BOOST_TEST(events.requests.size() == 2U);
    BOOST_TEST(events.requests[1].target == "/second");
}

BOOST_FIXTURE_TEST_CASE(chunkedBodyIsDeliveredOnceComplete, ServerFixture)
{
    send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel");
    BOOST_TEST(events.requests.empty());
    send("lo\r\n0\r\n\r\n");
    BOOST_TEST(events.requests.size() == 1U);
    BOOST_TEST(events.requests[0].body.view() == "hello");
    BOOST_TEST(findHeader(events.requests[0].headers, "Transfer-Encoding") == nullptr);
}

BOOST_FIXTURE_TEST_CASE(disconnectBeforeTheResponseIsReported, ServerFixture)
{
    send(plainGet);
    client.close();
    runLoop();
    BOOST_TEST(events.disconnected.size() == 1U);
    BOOST_TEST(server->connectionCount() == 0U);
}

/// Guards against request smuggling: a message that is not HTTP, or whose end could be read in two
/// ways, is answered 400 and ends the connection; bytes behind it are not taken for a request.
BOOST_FIXTURE_TEST_CASE(malformedOrAmbiguousRequestsGet400, ServerFixture)
{
    const std::string smuggled = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto post = [](const std::string &fields) {
        return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n\r\n";
    };
    const std::string chunked = "Transfer-Encoding: chunked";
    // The first bytes of a TLS ClientHello.
    const std::string tlsClientHello{'\x16', '\x03', '\x01', '\x02', '\0', '\x01'};
    const std::vector<std::string> invalidRequests{
            post("Content-Length: 5\r\nContent-Length: 6"),
            post("Content-Length: 5\r\n" + chunked),
            post(chunked) + "zz\r\n",
            post("Content-Length: -1"),
            post("Content-Length: 1x"),
            "GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
            std::string("GET /a HTTP/1.1\r\nHost: h") + '\0' + "x\r\n\r\n",
            "GET /a\r\n\r\n",
            tlsClientHello,
    };
    for (const std::string &invalid : invalidRequests) {
        connect();
        const std::size_t before = events.requests.size();
        send(invalid + smuggled);
        const std::string text = received();
        BOOST_TEST_CONTEXT(invalid)
        {
            BOOST_TEST(events.requests.size() == before);
            BOOST_TEST(text.find("HTTP/1.1 400") == 0U);
        }
    }
}

namespace {

/// The fields of a head behind which comes "5\r\nhello\r\n0\r\n\r\n", and what has to become of it.
struct FramingCase
{
    std::string fields;
    std::string version;
    int status; ///< of the refusal; 0 if the request is delivered with the body "hello"
};

std::vector<FramingCase> framingCases()
{
    const std::string te = "Transfer-Encoding: ";
    return {{te + "chunked", "1.1", 0},
            {te + "CHUNKED", "1.1", 0},
            {"tRANSFER-eNCODING:chunked", "1.1", 0},
            {te + "\tchunked \t", "1.1", 0},
            {te + "gzip, chunked", "1.1", 501},
            {te + "identity, chunked", "1.1", 501},
            {te + "gzip\r\n" + te + "chunked", "1.1", 400},
            {te + "chunked, chunked", "1.1", 400},
            {te + "chunked\r\n" + te + "chunked", "1.1", 400},
            {te + "chunked\r\n" + te + "identity", "1.1", 400},
            {te + "chunked, gzip", "1.1", 400},
            {te + "chunked, identity", "1.1", 400},
            {te + "identity", "1.1", 400},
            {te + "gzip", "1.1", 400},
            {te + "xchunked", "1.1", 400},
            {te + "chunkedx", "1.1", 400},
            {te + "chunked;q=1", "1.1", 400},
            {te + "\"chunked\"", "1.1", 400},
            {te + "chunked,", "1.1", 400},
            {te + ",chunked", "1.1", 400},
            {te + "gzip;x, chunked", "1.1", 400},
            {te, "1.1", 400},
            {te + "\x0b" + "chunked", "1.1", 400},
            {"Transfer-Encoding : chunked", "1.1", 400},
            {" Transfer-Encoding: chunked", "1.1", 400},
            {te + "\r\n chunked", "1.1", 400},
            {te + "chunked\r\nContent-Length: 5", "1.1", 400},
            {"Content-Length: 5\r\n" + te + "chunked", "1.1", 400},
            {te + "chunked", "1.0", 400},
            {te + "identity", "1.0", 400},
            {"Content-Length: 5\r\nContent-Length: 6", "1.1", 400},
            {"Content-Length: +5", "1.1", 400},
            {"Content-Length: 0x5", "1.1", 400},
            {"Content-Length: ", "1.1", 400},
            {"Content-Length : 5", "1.1", 400}};
}

} // namespace

/// Guards against: a request inside another one, by a head whose end of body could be read in two
/// ways (RFC 9112, 6.3). Refusals end the connection.
BOOST_FIXTURE_TEST_CASE(requestsAreFramedInOneWayOrRefused, ServerFixture)
{
    for (const FramingCase &row : framingCases()) {
        connect();
        const std::size_t before = events.requests.size();
        send("POST /a HTTP/" + row.version + "\r\nHost: h\r\n" + row.fields
             + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
        BOOST_TEST_CONTEXT(row.fields << " HTTP/" << row.version)
        {
            const std::string text = received();
            if (row.status == 0) {
                BOOST_REQUIRE(events.requests.size() == before + 1);
                BOOST_TEST(events.requests.back().body.view() == "hello");
                continue;
            }
            BOOST_TEST(events.requests.size() == before);
            BOOST_TEST(text.find("HTTP/1.1 " + std::to_string(row.status)) == 0U, text);
            BOOST_TEST(isClosedByServer);
        }
    }
}

/// Guards against: the body of a request whose Transfer-Encoding doesn't end with "chunked" was
/// taken for the next request and ran.
BOOST_FIXTURE_TEST_CASE(bodyOfUnknownLengthIsNotTakenForARequest, ServerFixture)
{
    const std::string quoted = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    for (const std::string coding : {"identity", "gzip", "chunked, identity", "xchunked", ""}) {
        connect();
        const std::size_t before = events.requests.size();
        std::string request = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: ";
        request.append(coding).append("\r\n\r\n").append(quoted);
        send(request);
        const std::string text = received();
        BOOST_TEST_CONTEXT(coding)
        {
            BOOST_TEST(events.requests.size() == before);
            BOOST_TEST(text.find("HTTP/1.1 400") == 0U);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(oversizedHeadGets431AndOversizedBodyGets413, ServerFixture)
{
    HttpServerLimits limits;
    limits.header = Bytes{200};
    limits.body = Bytes{10};
    server->post(limits);
    send("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
    BOOST_TEST(received().find("HTTP/1.1 431") == 0U);
    connect();
    send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nhello world");
    BOOST_TEST(received().find("HTTP/1.1 413") == 0U);
}

/// Guards against: one client's request with a field that Beast can't hold ended the process.
BOOST_FIXTURE_TEST_CASE(fieldThatTheParserCannotHoldEndsOnlyItsRequest, ServerFixture)
{
    HttpServerLimits limits;
    limits.header = Bytes{200'000};
    server->post(limits);
    const std::string field = "X: " + std::string(70'000, 'x') + "\r\n\r\n";
    const std::string chunked = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &request : {join({"GET /a HTTP/1.1\r\nHost: h\r\n", field}),
                                       join({chunked, "2\r\nhi\r\n0\r\n", field})}) {
        connect();
        send(request);
        runLoop();
        BOOST_TEST(received().find("HTTP/1.1 431") == 0U);
        BOOST_TEST(isClosedByServer);
    }
    connect();
    send(plainGet);
    BOOST_TEST(events.requests.size() == 1U);
}

/// The body's first bytes look like the end of a head.
BOOST_FIXTURE_TEST_CASE(oversizedBodyIsNotReadAsAHead, ServerFixture)
{
    for (const std::string body : {"A: b\r\n\r\nhello", "\r\nhello", "A: b\r\nhello"}) {
        connect();
        send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n" + body);
        BOOST_TEST(received().find("HTTP/1.1 413") == 0U, body);
    }
    BOOST_TEST(events.requests.empty());
}

/// Guards against: the bodies of many requests at once took the node over its memory.
BOOST_FIXTURE_TEST_CASE(bodyWithoutMemoryIsRefusedUntilOthersHaveEnded, ServerFixture)
{
    const auto memory = std::make_shared<MemoryBudget>(Bytes{1000});
    server = std::move(HttpServerTask::listen(&loop, {"127.0.0.1", 0}, &events, memory).value());
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n";
    const auto withLength = [&head](std::size_t size) {
        return head + "Content-Length: " + std::to_string(size) + "\r\n\r\n";
    };
    connect();
    send(withLength(900) + std::string(900, 'a'));
    BOOST_REQUIRE(events.requests.size() == 1U);
    tcp::socket first = std::move(client);
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n80\r\n";
    for (const std::string &refused : {withLength(200), chunked + std::string(128, 'b')}) {
        connect();
        send(refused);
        const std::string text = received();
        BOOST_TEST(text.find("HTTP/1.1 503") == 0U);
        BOOST_TEST(text.find("Retry-After: ") != std::string::npos);
        BOOST_TEST(isClosedByServer);
    }
    BOOST_TEST(events.requests.size() == 1U);
    BOOST_TEST((memory->held() == Bytes{900}));
    events.requests.clear();
    connect();
    send(withLength(200) + std::string(200, 'c'));
    BOOST_TEST(events.requests.size() == 1U);
}

/// The client reads its refusal although it is still sending.
BOOST_FIXTURE_TEST_CASE(refusalReachesAClientThatGoesOnSending, ServerFixture)
{
    HttpServerLimits limits;
    limits.body = Bytes{10};
    server->post(limits);
    send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\n");
    for (int i = 0; i < 4; ++i)
        send(std::string(100'000, 'x'));
    BOOST_TEST(received().find("HTTP/1.1 413") == 0U);
}

BOOST_FIXTURE_TEST_CASE(incompleteRequestGets408AfterTheHeaderTimeout, ServerFixture)
{
    HttpServerLimits limits;
    limits.headerTimeout = std::chrono::milliseconds(100);
    server->post(limits);
    send("GET /a HTTP/1.1\r\nHo");
    loop.run_for(std::chrono::milliseconds(600));
    BOOST_TEST(received().find("HTTP/1.1 408") == 0U);
    BOOST_TEST(isClosedByServer);
}

namespace {

/// A client whose buffers are full: it reads nothing of a response that is larger.
struct PausingClientFixture : ServerFixture
{
    PausingClientFixture()
    {
        send(plainGet);
        respond(std::string(responseSize, 'x'));
    }

    std::size_t receivedBytes()
    {
        std::size_t count = received().size();
        for (std::size_t more = 1; more > 0; count += more) {
            runLoop();
            more = received().size();
        }
        return count;
    }

    static constexpr std::size_t responseSize = 16U << 20U;
};

} // namespace

/// Guards against: TCP_USER_TIMEOUT ended the connection of a client that read nothing for four
/// seconds although it was alive.
BOOST_FIXTURE_TEST_CASE(clientThatPausesReadingGetsItsWholeResponse, PausingClientFixture)
{
    loop.run_for(std::chrono::milliseconds(5500));
    BOOST_TEST(receivedBytes() > responseSize);
    BOOST_TEST(!isClosedByServer);
}

BOOST_FIXTURE_TEST_CASE(clientThatReadsNothingForTheIdleTimeoutIsClosed, PausingClientFixture)
{
    HttpServerLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(300);
    server->post(limits);
    loop.run_for(std::chrono::milliseconds(900));
    BOOST_TEST(server->connectionCount() == 0U);
}

/// Guards against: responses that waited for clients that read nothing had no bound in sum, and
/// took the node over its memory.
BOOST_FIXTURE_TEST_CASE(clientsThatReadNothingAreClosedOnceTheirResponsesHoldTooMuch,
                        PausingClientFixture)
{
    std::vector<tcp::socket> pausing;
    for (int i = 0; i < 4; ++i) {
        pausing.push_back(std::move(client));
        connect();
        send(plainGet);
        respond(std::string(responseSize, 'x'));
    }
    BOOST_TEST(server->connectionCount() == 5U);
    BOOST_TEST(server->pendingBytes().value() > 4 * responseSize);
    loop.run_for(std::chrono::milliseconds(1800));
    BOOST_TEST(server->connectionCount() == 2U);
    BOOST_TEST(server->pendingBytes().value() <= 48U << 20U);
    BOOST_TEST(receivedBytes() > responseSize); // The last one is not among those closed.
}

/// The timeout counts from the last progress, not from the start of the response.
BOOST_FIXTURE_TEST_CASE(clientThatReadsSlowlyGetsItsWholeResponse, PausingClientFixture)
{
    HttpServerLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(600);
    server->post(limits);
    std::size_t count = 0;
    std::vector<char> chunk(2U << 20U);
    for (int i = 0; i < 12; ++i) {
        boost::system::error_code ignored;
        count += client.read_some(boost::asio::buffer(chunk), ignored);
        loop.run_for(std::chrono::milliseconds(100));
    }
    // Once it is whole, the connection is idle and may be closed.
    BOOST_TEST(count + receivedBytes() > responseSize);
}

BOOST_FIXTURE_TEST_CASE(requestIsServedBesideAThousandIdleConnections, ServerFixture)
{
    std::vector<tcp::socket> idle;
    for (int i = 0; i < 1000; ++i) {
        idle.emplace_back(loop);
        idle.back().connect({boost::asio::ip::make_address_v4("127.0.0.1"), server->port()});
        loop.poll();
    }
    connect();
    send(plainGet);
    BOOST_TEST(events.requests.size() == 1U);
}

namespace {

/// A ClientConnection and an acceptor that answers it with prepared bytes.
struct ClientFixture : ServerFixture
{
    ClientFixture()
        : acceptor(loop, {boost::asio::ip::make_address_v4("127.0.0.1"), 0})
    {}

    /// Sends one request on a new connection, has the server write \a bytes and, if
    /// \a closesAfter, close the connection. Returns the result that the client reports.
    ClientResponse exchange(const std::string &bytes, bool closesAfter)
    {
        connection.reset();
        peer = tcp::socket(loop);
        start("7");
        boost::asio::write(peer, boost::asio::buffer(bytes));
        if (closesAfter)
            peer.shutdown(tcp::socket::shutdown_both);
        loop.run_for(std::chrono::milliseconds(50));
        BOOST_REQUIRE(result.has_value());
        return *result;
    }

    /// Starts the exchange of a request with \a id on the connection, which is kept.
    void start(const std::string &id)
    {
        if (!connection)
            connection = std::make_shared<ClientConnection>(&loop);
        ClientRequest request;
        request.method = "GET";
        request.target = "/";
        request.headers = {{"Host", "h"}, {"X-Id", id}};
        request.idHeader = "X-Id";
        request.body = requestBody;
        result.reset();
        connection->exchange({"127.0.0.1", acceptor.local_endpoint().port()}, request,
                             [this](ClientResponse response) { result = std::move(response); });
        loop.run_for(std::chrono::milliseconds(20));
        if (!peer.is_open())
            peer = acceptor.accept();
        loop.run_for(std::chrono::milliseconds(20));
    }

    /// Exchanges a request with \a id on the kept connection; the server writes \a bytes.
    ClientResponse exchangeNext(const std::string &id, const std::string &bytes)
    {
        start(id);
        boost::asio::write(peer, boost::asio::buffer(bytes));
        loop.run_for(std::chrono::milliseconds(50));
        BOOST_REQUIRE(result.has_value());
        return *result;
    }

    tcp::acceptor acceptor;
    /// Sends a request that can't be written whole; the server reads none of it, writes \a bytes,
    /// and resets the connection, after an orderly end of what it sends if \a endsOrderly. The
    /// client sees all of that at once.
    ClientResponse exchangeAndReset(const std::string &bytes, bool endsOrderly)
    {
        connection.reset();
        peer = tcp::socket(loop);
        requestBody = std::string(32U << 20U, 'b');
        start("7");
        boost::asio::write(peer, boost::asio::buffer(bytes));
        if (endsOrderly)
            peer.shutdown(tcp::socket::shutdown_send);
        peer.set_option(boost::asio::socket_base::linger(true, 0));
        peer.close();
        loop.run_for(std::chrono::milliseconds(50));
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(!connection->isReusable());
        return *result;
    }

    std::string requestBody;
    tcp::socket peer{loop}; ///< the server's end of the kept connection
    std::shared_ptr<ClientConnection> connection;
    std::optional<ClientResponse> result;
};

std::string refusalOf(const std::string &id)
{
    return "HTTP/1.1 503 Full\r\nX-Id: " + id + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

const std::string refusalWithoutId
        = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string headWithoutLength = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n";
const std::string matchingResponse = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok";
const std::string mismatchedResponse = "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 3\r\n\r\nold";

} // namespace

BOOST_FIXTURE_TEST_CASE(connectionIsReusableAfterACompleteResponse, ClientFixture)
{
    const ClientResponse response = exchange(matchingResponse, false);
    BOOST_TEST((response.end == ClientResponse::End::Answered));
    BOOST_TEST(response.body == "ok");
    BOOST_TEST(connection->isReusable());
}

/// A late response to an earlier request precedes the right one. It is skipped, and the connection
/// is not used again.
BOOST_FIXTURE_TEST_CASE(responseWithAnotherRequestsIdIsSkipped, ClientFixture)
{
    const ClientResponse response = exchange(mismatchedResponse + matchingResponse, false);
    BOOST_TEST(response.body == "ok");
    BOOST_TEST(!connection->isReusable());
}

BOOST_FIXTURE_TEST_CASE(connectionIsNotReusedAfterBytesBehindTheResponse, ClientFixture)
{
    BOOST_TEST(exchange(matchingResponse + "x", false).body == "ok");
    BOOST_TEST(!connection->isReusable());
}

BOOST_FIXTURE_TEST_CASE(eofInsideAResponseReportsTruncated, ClientFixture)
{
    const ClientResponse response
            = exchange("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 9\r\n\r\nok", true);
    BOOST_TEST((response.end == ClientResponse::End::Truncated));
}

/// An upstream that stops anywhere in its response, the head included, and closes must not pass for
/// one that has answered.
BOOST_FIXTURE_TEST_CASE(responseCutAtAnyByteIsNoAnswer, ClientFixture)
{
    for (std::size_t size = 0; size < matchingResponse.size(); ++size) {
        const ClientResponse response = exchange(matchingResponse.substr(0, size), true);
        BOOST_TEST((response.end != ClientResponse::End::Answered), "cut after " << size);
    }
}

/// Without a length the head alone decides: it has to be whole.
BOOST_FIXTURE_TEST_CASE(headCutAtAnyByteIsNoAnswer, ClientFixture)
{
    for (std::size_t size = 0; size < headWithoutLength.size(); ++size) {
        const ClientResponse response = exchange(headWithoutLength.substr(0, size), true);
        BOOST_TEST((response.end != ClientResponse::End::Answered), "cut after " << size);
    }
}

BOOST_FIXTURE_TEST_CASE(eofBeforeAResponseReportsConnectionLost, ClientFixture)
{
    BOOST_TEST((exchange("", true).end == ClientResponse::End::ConnectionLost));
}

BOOST_FIXTURE_TEST_CASE(responseWithoutALengthEndsAtEof, ClientFixture)
{
    const ClientResponse response = exchange("HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nall of it", true);
    BOOST_TEST((response.end == ClientResponse::End::Answered));
    BOOST_TEST(response.body == "all of it");
    BOOST_TEST(!connection->isReusable());
}

/// Guards against: the write of the request got the error of the reset, the next read told an end,
/// and the part of a body that had arrived passed for the whole.
BOOST_FIXTURE_TEST_CASE(resetWhileTheRequestIsWrittenEndsNoResponse, ClientFixture)
{
    for (const std::string version : {"HTTP/1.0", "HTTP/1.1"}) {
        for (const std::string rest :
             {" 200 OK\r\nX-Id: 7\r\n\r\npart", " 500 Failed\r\nX-Id: 7\r\n\r\npart",
              " 200 OK\r\nX-Id: 7\r\nContent-Length: 5\r\n\r\npart"}) {
            const ClientResponse response = exchangeAndReset(version + rest, false);
            BOOST_TEST((response.end == ClientResponse::End::Truncated));
            BOOST_TEST(faultRow(response.refused.fault).name == "reset");
        }
    }
    BOOST_TEST((exchangeAndReset("", false).end == ClientResponse::End::ConnectionLost));
}

BOOST_FIXTURE_TEST_CASE(responseThatIsWholeBeforeTheResetIsTaken, ClientFixture)
{
    BOOST_TEST(exchangeAndReset(matchingResponse, false).body == "ok");
    BOOST_TEST(exchangeAndReset(headWithoutLength + "all of it", true).body == "all of it");
}

BOOST_FIXTURE_TEST_CASE(malformedResponseReportsTruncated, ClientFixture)
{
    BOOST_TEST((exchange("nonsense\r\n\r\n", false).end == ClientResponse::End::Truncated));
}

/// Guards against: one response with a field that Beast can't hold ended the process.
BOOST_FIXTURE_TEST_CASE(fieldThatTheParserCannotHoldReportsTruncated, ClientFixture)
{
    const std::string field = "X: " + std::string(70'000, 'x') + "\r\n\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n";
    for (const std::string &bytes :
         {join({head, field}),
          join({head, "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n", field})}) {
        BOOST_TEST((exchange(bytes, false).end == ClientResponse::End::Truncated));
        BOOST_TEST(!connection->isReusable());
    }
}

/// Guards against: what isn't one whole answer of the server was passed on as one. A late copy may
/// begin inside an answer that is half written, so that two heads are read as one.
BOOST_FIXTURE_TEST_CASE(headsThatAreNoSingleAnswerReportTruncated, ClientFixture)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string rest = "Content-Length: 2\r\n\r\nok";
    for (const std::string &bytes : {
                 join({head, "X-Id: 7\r\nX-Id: 6\r\n", rest}),
                 join({head, "X-Id: 6\r\nX-Id: 7\r\n", rest}),
                 join({head, "X-Id: 7\r\nx-id: 7\r\n", rest}),
                 join({head, "X-Id: 7\r\nX-Field: aHTTP/1.1 200 OK\r\n", rest}),
                 join({head, "X-Field: HTTP/1.0 503 Full\r\nX-Id: 7\r\n", rest}),
                 join({head, "X-Id: 7\r\nTransfer-Encoding: gzip\r\n\r\nok"}),
                 join({head, "X-Id: 7\r\nTransfer-Encoding: identity\r\n\r\nok"}),
                 join({head,
                       "X-Id: 7\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}),
                 join({head,
                       "X-Id: 7\r\nTransfer-Encoding: chunked, gzip\r\n\r\n2\r\nok\r\n0\r\n\r\n"}),
                 join({head, "X-Id: 7\r\nTransfer-Encoding: chunked\r\n", rest}),
                 join({head, "X-Id: 7\r\nContent-Length: 3\r\n", rest, "k"}),
         }) {
        BOOST_TEST((exchange(bytes, true).end == ClientResponse::End::Truncated), bytes);
        BOOST_TEST(!connection->isReusable());
    }
    const std::string harmless = join({head, "X-Id: 7\r\nVia: HTTP/1.1 proxy\r\n", rest});
    BOOST_TEST(exchange(harmless, false).body == "ok");
}

/// Guards against: a status below 100 counted as an interim response, and the exchange went on
/// until its deadline; one above 599 was passed on.
BOOST_FIXTURE_TEST_CASE(statusThatIsNoneReportsTruncatedAtOnce, ClientFixture)
{
    for (const std::string status :
         {"000", "001", "099", "200", "299", "300", "404", "500", "599", "600", "700", "999"}) {
        const std::string head = join({"HTTP/1.1 ", status, " Any\r\nX-Id: 7\r\n"});
        const ClientResponse response = exchange(head + "Content-Length: 0\r\n\r\n", true);
        const bool isTaken = response.end == ClientResponse::End::Answered;
        BOOST_TEST(isTaken == (status >= "200" && status <= "599"), status);
        BOOST_TEST((isTaken || response.refused.fault == MessageFault::Status), status);
    }
    BOOST_TEST((exchange("HTTP/1.1 000 \r\nX-Id: 7\r\n\r\npart", false).end
                == ClientResponse::End::Truncated));
}

/// Guards against: a line that begins with a blank was joined to the one before it. What it told of
/// the body was lost, or was passed on in a value.
BOOST_FIXTURE_TEST_CASE(lineOfAHeadThatBeginsWithABlankReportsTruncated, ClientFixture)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const std::string blank : {" ", "\t", "  \t"}) {
        for (const std::string &bytes :
             {join({head, blank, "Content-Length: 2\r\nX-Id: 7\r\n\r\nok"}),
              join({head, "X-Id: 7\r\n", blank, "Content-Length: 2\r\n\r\nok"}),
              join({head, "X-Id: 7\r\nX-A: 1\r\n", blank, "\r\nContent-Length: 2\r\n\r\nok"}),
              join({"HTTP/1.1 100 Continue\r\nX-A: 1\r\n", blank, "X-B: 2\r\n\r\n",
                    matchingResponse})}) {
            const ClientResponse response = exchange(bytes, false);
            BOOST_TEST((response.end == ClientResponse::End::Truncated), bytes);
            BOOST_TEST((response.refused.fault == MessageFault::FoldedLine), bytes);
        }
    }
}

/// Each byte but those of a token, anywhere in a name.
BOOST_FIXTURE_TEST_CASE(fieldNameThatIsNoTokenReportsTruncated, ClientFixture)
{
    const std::string marks = "!#$%&'*+-.^_`|~:";
    for (int code = 0; code < 256; ++code) {
        const char byte = static_cast<char>(code);
        if (std::isalnum(code) != 0 || marks.find(byte) != std::string::npos)
            continue;
        for (const std::size_t at : {0U, 1U, 4U}) {
            std::string name = "X-Nm";
            name.insert(at, 1, byte);
            http::response_parser<http::string_body> parser;
            std::string bytes = join({"HTTP/1.1 200 OK\r\nX-Id: 7\r\n", name, ": 1\r\n\r\n"});
            BOOST_TEST((parseSome(&parser, &bytes).fault != MessageFault::None),
                       "byte " << code << " at " << at);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(refusalWithoutAnIdOnAKeptConnectionIsNotTaken, ClientFixture)
{
    BOOST_TEST(exchangeNext("7", matchingResponse).body == "ok");
    BOOST_TEST((exchangeNext("8", refusalWithoutId).end != ClientResponse::End::Answered));
    BOOST_TEST(!connection->isReusable());
}

BOOST_FIXTURE_TEST_CASE(refusalSentAgainForTheSameRequestIsNotTaken, ClientFixture)
{
    BOOST_TEST(exchangeNext("7", refusalOf("7")).status == 503);
    BOOST_TEST((exchangeNext("7", refusalOf("7")).end != ClientResponse::End::Answered));
    BOOST_TEST(!connection->isReusable());
}

BOOST_FIXTURE_TEST_CASE(refusalOfAnEarlierRequestIsSkippedOnAKeptConnection, ClientFixture)
{
    BOOST_TEST(exchangeNext("6", refusalOf("6")).status == 503);
    BOOST_TEST(exchangeNext("7", refusalOf("6") + refusalWithoutId + matchingResponse).body
               == "ok");
    BOOST_TEST(!connection->isReusable());
}

BOOST_FIXTURE_TEST_CASE(refusalWithoutAnIdOnAFreshConnectionIsTaken, ClientFixture)
{
    BOOST_TEST(exchangeNext("7", refusalWithoutId).status == 503);
    BOOST_TEST(connection->isReusable());
}

BOOST_FIXTURE_TEST_CASE(refusalsWithTheirIdsAreTakenOnAKeptConnection, ClientFixture)
{
    for (const std::string id : {"5", "6", "7"})
        BOOST_TEST(exchangeNext(id, refusalOf(id)).status == 503);
    BOOST_TEST(connection->isReusable());
}

BOOST_FIXTURE_TEST_CASE(connectionWithManyErrorsIsClosed, ClientFixture)
{
    for (int i = 1; i <= 64; ++i) {
        BOOST_TEST(exchangeNext(std::to_string(i), refusalOf(std::to_string(i))).status == 503);
        BOOST_TEST(connection->isReusable() == (i < 64));
    }
}

namespace {

struct EndlessResponse
{
    std::string name;
    std::string prefix;
    std::string unit;
};

std::vector<EndlessResponse> endlessResponses()
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {{"status line", "HTTP/1.1 200 ", "a"},
            {"bytes that are no response", "", "a"},
            {"header line", head + "X-Long: ", "a"},
            {"header lines", head, "A: b\r\n"},
            {"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"responses with another id", "", mismatchedResponse},
            {"chunks", chunked, "1000\r\n" + std::string(4096, 'a') + "\r\n"},
            {"chunk extension", chunked + "5;", "a"},
            {"chunks with long extensions", chunked, "1;" + std::string(50'000, 'a') + "\r\nb\r\n"},
            {"trailers", chunked + "0\r\n", "A: b\r\n"},
            {"body without a length", head + "\r\n", "a"},
            {"body with a huge length", head + "Content-Length: 99999999999\r\n\r\n", "a"},
            {"body with a length out of range",
             head + "Content-Length: 99999999999999999999999\r\n\r\n", "a"}};
}

/// Returns the processor time that this thread has used.
Duration threadCpuTime()
{
    timespec time{};
    (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + Duration{time.tv_nsec / 1000};
}

/// Measures the most processor time that the loop has used between two runs of a timer. Wall time
/// would also count the load of the machine.
struct StallMeter
{
    explicit StallMeter(EventLoop *loop)
        : timer(*loop)
    {
        arm();
    }

    void arm()
    {
        const Duration start = threadCpuTime();
        timer.expires_after(interval);
        timer.async_wait([this, start](const boost::system::error_code &error) {
            if (error)
                return;
            longest = std::max(longest, threadCpuTime() - start);
            arm();
        });
    }

    static constexpr Duration interval = std::chrono::milliseconds(5);
    boost::asio::steady_timer timer;
    Duration longest{0};
};

} // namespace

/// Others are served meanwhile, and the bytes that the server can write stay bounded.
BOOST_FIXTURE_TEST_CASE(responsesWithoutEndEndTheirExchange, ServerFixture)
{
    constexpr std::size_t floodBytes = 256U << 20U;
    constexpr std::size_t maxWritten = 80U << 20U; // 64 MiB and what the sockets' buffers hold
    FloodServer good(matchingResponse, "", 0);
    for (const EndlessResponse &endless : endlessResponses()) {
        BOOST_TEST_CONTEXT(endless.name)
        {
            FloodServer flood(endless.prefix, endless.unit, floodBytes);
            StallMeter meter(&loop);
            ClientRequest request;
            request.method = "POST";
            request.target = "/";
            request.headers = {{"Host", "h"}, {"X-Id", "7"}};
            request.idHeader = "X-Id";
            const auto exchangeWith = [this, &request](const FloodServer &to,
                                                       std::optional<ClientResponse> *result) {
                auto connection = std::make_shared<ClientConnection>(&loop);
                connection->exchange(
                        {"127.0.0.1", to.port()}, request,
                        [result](ClientResponse response) { *result = std::move(response); });
                return connection;
            };
            std::optional<ClientResponse> result;
            std::optional<ClientResponse> goodResult;
            const auto connection = exchangeWith(flood, &result);
            const auto goodConnection = exchangeWith(good, &goodResult);
            for (int i = 0; i < 600 && !(result && goodResult); ++i)
                loop.run_for(std::chrono::milliseconds(10));
            BOOST_TEST((goodResult && goodResult->body == "ok"));
            BOOST_TEST((result
                        && (result->end == ClientResponse::End::Truncated
                            || result->end == ClientResponse::End::ConnectionLost)));
            BOOST_TEST(!connection->isReusable());
            BOOST_TEST(flood.written() <= maxWritten);
            BOOST_TEST_MESSAGE(endless.name << ": stall " << toMilliseconds(meter.longest)
                                            << " ms, written " << flood.written());
            BOOST_TEST(toMilliseconds(meter.longest) < 100.0);
            connection->close();
            goodConnection->close();
            loop.run_for(std::chrono::milliseconds(1));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(longestResponseEndsWhenAllTogetherHoldTooMuch, ClientFixture)
{
    const auto memory = std::make_shared<ResponseMemory>(Bytes{1'000'000});
    std::vector<std::shared_ptr<ClientConnection>> connections;
    std::vector<tcp::socket> peers;
    const auto send = [this](tcp::socket *to, std::size_t size) {
        const std::string body(size, 'a');
        std::size_t sent = 0;
        to->non_blocking(true);
        while (sent < size) {
            boost::system::error_code full; // The client reads while the loop runs.
            sent += to->write_some(boost::asio::buffer(body.data() + sent, size - sent), full);
            loop.run_for(std::chrono::milliseconds(2));
        }
        loop.run_for(std::chrono::milliseconds(20));
    };
    for (const std::size_t size : {300'000U, 500'000U, 100'000U}) {
        connection = std::make_shared<ClientConnection>(&loop, HttpClientLimits{}, memory);
        peer = tcp::socket(loop);
        start("7");
        boost::asio::write(peer, boost::asio::buffer(headWithoutLength));
        connections.push_back(connection);
        peers.push_back(std::move(peer));
        send(&peers.back(), size);
    }
    BOOST_TEST(memory->held().value() == 900'000U);
    result.reset();
    send(&peers[0], 150'000);
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->end == ClientResponse::End::Truncated));
    BOOST_TEST(memory->held().value() == 550'000U);
    result.reset();
    peers[0].shutdown(tcp::socket::shutdown_both);
    loop.run_for(std::chrono::milliseconds(20));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->body.size() == 450'000U);
    connections[2]->close();
    BOOST_TEST(memory->held().value() == 0U);
}

BOOST_AUTO_TEST_CASE(hopByHopFieldsAreRemoved)
{
    const HttpHeaders kept = endToEndHeaders({{"Host", "h"},
                                              {"Connection", "close, X-Hop"},
                                              {"X-Hop", "1"},
                                              {"Keep-Alive", "timeout=5"},
                                              {"X-End", "2"}});
    BOOST_TEST(kept.size() == 2U);
    BOOST_TEST(kept[1].first == "X-End");
}
