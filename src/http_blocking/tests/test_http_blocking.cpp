#define BOOST_TEST_MODULE http_blocking
#include "http1/tests/flood_server.h"
#include "http_blocking/http_blocking.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/test/unit_test.hpp>

using namespace buckthornford;
using boost::asio::ip::tcp;

namespace {

constexpr Duration timeout = std::chrono::seconds(5);
/// A refused response ends its exchange long before the timeout.
constexpr Duration atOnce = std::chrono::seconds(2);

/// What becomes of a connection on which a server has written its response.
enum class After { Stays, Ends, IsReset };

/// A server on a thread of its own. It reads the head of one request, writes \a bytes and treats
/// the connection as \a after says.
class OneAnswerServer
{
public:
    OneAnswerServer(std::string bytes, After after)
        : m_acceptor(m_loop, {boost::asio::ip::make_address_v4("127.0.0.1"), 0})
        , m_thread([this, bytes = std::move(bytes), after] { serve(bytes, after); })
    {}
    OneAnswerServer(const OneAnswerServer &) = delete;
    OneAnswerServer &operator=(const OneAnswerServer &) = delete;
    ~OneAnswerServer() { m_thread.join(); }

    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

private:
    void serve(const std::string &bytes, After after)
    {
        boost::system::error_code ignored;
        tcp::socket socket = m_acceptor.accept();
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ignored);
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
        if (after == After::IsReset) {
            // The client reads what was written before it can see the reset.
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
            return;
        }
        if (after == After::Ends)
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        while (!ignored) // until the client closes
            boost::asio::read(socket, boost::asio::buffer(m_rest), ignored);
    }

    EventLoop m_loop{1};
    tcp::acceptor m_acceptor;
    std::array<char, 65536> m_rest{};
    std::thread m_thread;
};

Result<HttpResponse> exchangeWith(const std::string &bytes, After after, std::size_t bodySize = 0)
{
    OneAnswerServer server(bytes, after);
    HttpRequest request;
    request.method = "POST";
    request.path = "/";
    request.body = std::string(bodySize, 'b');
    const TimePoint start = monotonicNow();
    Result<HttpResponse> response = exchangeOnce(server.endpoint(), request, timeout);
    BOOST_TEST((monotonicNow() - start < atOnce), bytes);
    return response;
}

/// Returns a port on which nothing listens.
std::uint16_t unusedPort()
{
    EventLoop loop;
    const tcp::acceptor closed(loop, {boost::asio::ip::make_address_v4("127.0.0.1"), 0});
    return closed.local_endpoint().port();
}

const std::string ok = "HTTP/1.1 200 OK\r\n";
constexpr std::size_t longBody = 32U << 20U; // more than the buffers of a connection hold

} // namespace

BOOST_AUTO_TEST_CASE(wholeResponsesAreTaken)
{
    for (const std::string &bytes :
         {ok + "Content-Length: 2\r\n\r\nok",
          ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok"}) {
        for (const After after : {After::Stays, After::Ends, After::IsReset}) {
            const Result<HttpResponse> response = exchangeWith(bytes, after);
            BOOST_TEST((response && response.value().body == "ok"), bytes);
        }
    }
    const Result<HttpResponse> response = exchangeWith(ok + "\r\nto the end", After::Ends);
    BOOST_TEST((response && response.value().body == "to the end"));
}

BOOST_AUTO_TEST_CASE(wholeResponseToALongRequestIsTaken)
{
    const std::string refusal = "HTTP/1.1 413 Too Long\r\nContent-Length: 2\r\n\r\nno";
    const Result<HttpResponse> early = exchangeWith(refusal, After::IsReset, longBody);
    BOOST_TEST((early && early.value().status == 413 && early.value().body == "no"));
}

BOOST_AUTO_TEST_CASE(bodyThatAResetBreaksOffIsCut)
{
    for (const std::string &head : {ok, std::string("HTTP/1.0 200 OK\r\n")}) {
        for (const std::string &rest :
             {std::string("\r\npart"), std::string("Content-Length: 5\r\n\r\npart")}) {
            for (const std::size_t size : {std::size_t{0}, longBody}) {
                const Result<HttpResponse> response
                        = exchangeWith(head + rest, After::IsReset, size);
                BOOST_TEST((!response && errorOf(response.error()) == Error::AnswerCut),
                           head << rest << " to " << size);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(brokenHeadsAreCut)
{
    for (const std::string head :
         {"HTTP/1.1 000 Broken\r\n", "HTTP/1.1 099 Broken\r\n", "HTTP/1.1 600 Broken\r\n",
          "HTTP/1.1 200 OK\r\nX-A : 1\r\n", "HTTP/1.1 200 OK\r\nX-A: 1\r\n X-B: 2\r\n",
          "HTTP/1.1 200 OK\r\nX A: 1\r\n", "HTTP/1.1 200 OK\r\nX-A\x01: 1\r\n",
          "HTTP/1.1 200 OK\r\n\x01X-A: 1\r\n", "HTTP/1.1 200 OK\r\n\tX-A: 1\r\n",
          "HTTP/1.1 200 OK\r\nX-A: 1\r\n\t\r\n"}) {
        const std::string bytes = head + "Content-Length: 2\r\n\r\nok";
        for (const After after : {After::Stays, After::Ends}) {
            const Result<HttpResponse> response = exchangeWith(bytes, after);
            BOOST_TEST((!response && errorOf(response.error()) == Error::AnswerCut), bytes);
        }
    }
}

BOOST_AUTO_TEST_CASE(connectionThatEndsWithoutAResponseIsLost)
{
    for (const After after : {After::Ends, After::IsReset}) {
        const Result<HttpResponse> response = exchangeWith("", after);
        BOOST_TEST((!response && errorOf(response.error()) == Error::ConnectionLost));
    }
}

BOOST_AUTO_TEST_CASE(connectionThatNobodyAcceptsFails)
{
    const Result<HttpConnection> connection = HttpConnection::connect({"127.0.0.1", unusedPort()});
    BOOST_TEST((!connection && errorOf(connection.error()) == Error::ConnectFailed));
}

BOOST_AUTO_TEST_CASE(oneConnectionCarriesManyExchangesWithTheServer)
{
    const Endpoint endpoint{"127.0.0.1", unusedPort()};
    const auto server = HttpServer::listen({endpoint}, [](const HttpRequest &request) {
        HttpResponse response;
        response.body
                = request.method + ' ' + request.path + ' ' + request.query + ' ' + request.body;
        return response;
    });
    BOOST_REQUIRE(server);
    Result<HttpConnection> connection = HttpConnection::connect(endpoint);
    BOOST_REQUIRE(connection);
    for (const std::string method : {"POST", "GET", "DELETE", "PUT"}) {
        HttpRequest request;
        request.method = method;
        request.path = "/a";
        request.query = "b=1";
        request.body = method == "POST" ? "text" : "";
        const Result<HttpResponse> response = connection.value().exchange(request, timeout);
        BOOST_REQUIRE(response);
        BOOST_TEST(response.value().body == method + " /a b=1 " + request.body);
        BOOST_TEST(!connection.value().mustClose());
    }
}
