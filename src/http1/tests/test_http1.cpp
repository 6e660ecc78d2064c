#define BOOST_TEST_MODULE http1
#include "http1/http1.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace buckthornford;
using boost::asio::ip::tcp;

namespace {

struct Recorder : HttpServerEvents
{
    void onRequest(ServerRequest request) override { requests.push_back(std::move(request)); }
    void onClientDisconnected(RequestId id) override { left.push_back(id); }

    std::vector<ServerRequest> requests;
    std::vector<RequestId> left;
};

/// A door and a caller that writes raw bytes to it.
struct Fixture
{
    Fixture()
        : door(std::move(HttpServerTask::listen(&loop, {"127.0.0.1", 0}, &events).value()))
    {
        connect();
    }

    void connect()
    {
        caller = tcp::socket(loop);
        caller.connect({boost::asio::ip::make_address_v4("127.0.0.1"), door->port()});
        caller.non_blocking(true);
    }

    void send(std::string_view text)
    {
        // What the door refuses early may not be written whole.
        boost::system::error_code ignored;
        boost::asio::write(caller, boost::asio::buffer(text), ignored);
        settle();
    }

    void settle() { loop.run_for(std::chrono::milliseconds(30)); }

    std::string received()
    {
        std::string text;
        std::array<char, 4096> part{};
        boost::system::error_code error;
        while (!error) {
            const std::size_t count = caller.read_some(boost::asio::buffer(part), error);
            text.append(part.data(), count);
        }
        isEnded = error == boost::asio::error::eof || error == boost::asio::error::connection_reset;
        return text;
    }

    void answer(const std::string &body)
    {
        ServerResponse answer;
        answer.id = events.requests.back().id;
        answer.body = body;
        door->post(std::move(answer));
        settle();
    }

    EventLoop loop{1};
    Recorder events;
    std::unique_ptr<HttpServerTask> door;
    tcp::socket caller{loop};
    bool isEnded = false;
};

constexpr std::string_view plainGet = "GET /a?b HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_CASE(aRequestIsReadAndAnswered, Fixture)
{
    send(plainGet);
    BOOST_TEST(events.requests.size() == 1U);
    BOOST_TEST(events.requests[0].target == "/a?b");
    BOOST_TEST(*findHeader(events.requests[0].headers, "x-id") == "1");
    answer("hello");
    const std::string text = received();
    BOOST_TEST(text.find("HTTP/1.1 200 OK\r\n") == 0U);
    BOOST_TEST(text.find("Content-Length: 5\r\n") != std::string::npos);
    BOOST_TEST(text.substr(text.size() - 5) == "hello");
    BOOST_TEST(!isEnded);
}

BOOST_FIXTURE_TEST_CASE(requestsSentAheadAreAnsweredInOrder, Fixture)
{
    send(std::string(plainGet) + "GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(events.requests.size() == 1U);
    answer("one");
    BOOST_TEST(events.requests.size() == 2U);
    BOOST_TEST(events.requests[1].target == "/second");
}

BOOST_FIXTURE_TEST_CASE(aChunkedBodyArrivesWhole, Fixture)
{
    send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel");
    BOOST_TEST(events.requests.empty());
    send("lo\r\n0\r\n\r\n");
    BOOST_TEST(events.requests.size() == 1U);
    BOOST_TEST(events.requests[0].body == "hello");
    BOOST_TEST(findHeader(events.requests[0].headers, "Transfer-Encoding") == nullptr);
}

BOOST_FIXTURE_TEST_CASE(aCallerThatLeavesIsNoticed, Fixture)
{
    send(plainGet);
    caller.close();
    settle();
    BOOST_TEST(events.left.size() == 1U);
    BOOST_TEST(door->connectionCount() == 0U);
}

/// Messages whose end could be read in two ways, or that are no HTTP, are refused and the
/// connection ends; nothing behind them is taken for a request.
BOOST_FIXTURE_TEST_CASE(ambiguousMessagesAreRefused, Fixture)
{
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto post = [](const std::string &fields) {
        return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n\r\n";
    };
    const std::string chunked = "Transfer-Encoding: chunked";
    const std::string greeting{'\x16', '\x03', '\x01', '\x02', '\0', '\x01'}; // of TLS
    const std::vector<std::string> heads{
            post("Content-Length: 5\r\nContent-Length: 6"),
            post("Content-Length: 5\r\n" + chunked),
            post(chunked) + "zz\r\n",
            post("Content-Length: -1"),
            post("Content-Length: 1x"),
            "GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
            std::string("GET /a HTTP/1.1\r\nHost: h") + '\0' + "x\r\n\r\n",
            "GET /a\r\n\r\n",
            greeting,
    };
    for (const std::string &head : heads) {
        connect();
        const std::size_t before = events.requests.size();
        send(head + hidden);
        const std::string text = received();
        BOOST_TEST_CONTEXT(head)
        {
            BOOST_TEST(events.requests.size() == before);
            BOOST_TEST(text.find("HTTP/1.1 400") == 0U);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(tooLargeMessagesAreRefused, Fixture)
{
    HttpServerLimits limits;
    limits.header = Bytes{200};
    limits.body = Bytes{10};
    door->post(limits);
    send("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
    BOOST_TEST(received().find("HTTP/1.1 431") == 0U);
    connect();
    send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nhello world");
    BOOST_TEST(received().find("HTTP/1.1 413") == 0U);
}

BOOST_FIXTURE_TEST_CASE(aHalfWrittenRequestTimesOut, Fixture)
{
    HttpServerLimits limits;
    limits.headerTimeout = std::chrono::milliseconds(100);
    door->post(limits);
    send("GET /a HTTP/1.1\r\nHo");
    loop.run_for(std::chrono::milliseconds(600));
    BOOST_TEST(received().find("HTTP/1.1 408") == 0U);
    BOOST_TEST(isEnded);
}

BOOST_FIXTURE_TEST_CASE(aThousandIdleConnectionsKeepNobodyOut, Fixture)
{
    std::vector<tcp::socket> idle;
    for (int i = 0; i < 1000; ++i) {
        idle.emplace_back(loop);
        idle.back().connect({boost::asio::ip::make_address_v4("127.0.0.1"), door->port()});
        loop.poll();
    }
    connect();
    send(plainGet);
    BOOST_TEST(events.requests.size() == 1U);
}

namespace {

/// A server that answers with prepared bytes.
struct Server : Fixture
{
    Server()
        : acceptor(loop, {boost::asio::ip::make_address_v4("127.0.0.1"), 0})
    {}

    /// Sends one request and lets the server write \a bytes; \a ends closes its side after them.
    ClientResponse exchange(const std::string &bytes, bool ends)
    {
        connection = std::make_shared<ClientConnection>(&loop);
        std::optional<ClientResponse> got;
        ClientRequest request;
        request.method = "GET";
        request.target = "/";
        request.headers = {{"Host", "h"}, {"X-Id", "7"}};
        request.idHeader = "X-Id";
        connection->exchange({"127.0.0.1", acceptor.local_endpoint().port()}, request,
                             [&got](ClientResponse answer) { got = std::move(answer); });
        loop.run_for(std::chrono::milliseconds(20));
        tcp::socket socket = acceptor.accept();
        loop.run_for(std::chrono::milliseconds(20));
        boost::asio::write(socket, boost::asio::buffer(bytes));
        if (ends)
            socket.shutdown(tcp::socket::shutdown_both);
        loop.run_for(std::chrono::milliseconds(50));
        BOOST_REQUIRE(got.has_value());
        return *got;
    }

    tcp::acceptor acceptor;
    std::shared_ptr<ClientConnection> connection;
};

const std::string ours = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok";
const std::string foreign = "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 3\r\n\r\nold";

} // namespace

BOOST_FIXTURE_TEST_CASE(anAnswerIsReadAndTheConnectionKept, Server)
{
    const ClientResponse answer = exchange(ours, false);
    BOOST_TEST((answer.end == ClientResponse::End::Answered));
    BOOST_TEST(answer.body == "ok");
    BOOST_TEST(connection->isReusable());
}

/// A late answer to an earlier request is passed over, and the connection isn't used again.
BOOST_FIXTURE_TEST_CASE(anAnswerToAnotherRequestIsPassedOver, Server)
{
    const ClientResponse answer = exchange(foreign + ours, false);
    BOOST_TEST(answer.body == "ok");
    BOOST_TEST(!connection->isReusable());
}

BOOST_FIXTURE_TEST_CASE(bytesAfterAnAnswerSpoilTheConnection, Server)
{
    BOOST_TEST(exchange(ours + "x", false).body == "ok");
    BOOST_TEST(!connection->isReusable());
}

BOOST_FIXTURE_TEST_CASE(aCutAnswerIsNoAnswer, Server)
{
    const ClientResponse answer
            = exchange("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 9\r\n\r\nok", true);
    BOOST_TEST((answer.end == ClientResponse::End::Cut));
}

BOOST_FIXTURE_TEST_CASE(anEndWithoutAnAnswerIsALoss, Server)
{
    BOOST_TEST((exchange("", true).end == ClientResponse::End::Lost));
}

BOOST_FIXTURE_TEST_CASE(anAnswerWithoutALengthEndsWithItsConnection, Server)
{
    const ClientResponse answer = exchange("HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nall of it", true);
    BOOST_TEST((answer.end == ClientResponse::End::Answered));
    BOOST_TEST(answer.body == "all of it");
    BOOST_TEST(!connection->isReusable());
}

BOOST_FIXTURE_TEST_CASE(bytesThatAreNoAnswerAreCut, Server)
{
    BOOST_TEST((exchange("nonsense\r\n\r\n", false).end == ClientResponse::End::Cut));
}

BOOST_AUTO_TEST_CASE(connectionFieldsDoNotTravel)
{
    const HttpHeaders kept = endToEndHeaders({{"Host", "h"},
                                              {"Connection", "close, X-Hop"},
                                              {"X-Hop", "1"},
                                              {"Keep-Alive", "timeout=5"},
                                              {"X-End", "2"}});
    BOOST_TEST(kept.size() == 2U);
    BOOST_TEST(kept[1].first == "X-End");
}
