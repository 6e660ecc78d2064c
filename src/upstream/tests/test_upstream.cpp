#define BOOST_TEST_MODULE upstream
#include "upstream/upstream.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace buckthornford;
using boost::asio::ip::tcp;

namespace {

constexpr std::string_view idHeader = "X-Id";
constexpr std::string_view notRunHeader = "X-Not-Run";

struct TestCodec : UpstreamCodec
{
    ClientRequest makeRequest(const RunRequest &run, const UpstreamIdentity &,
                              Duration) const override
    {
        ClientRequest request;
        request.method = "POST";
        request.target = "/";
        request.headers = run.work.headers;
        request.idHeader = idHeader;
        return request;
    }

    ResponseKind classify(const ClientResponse &response) const override
    {
        return findHeader(response.headers, notRunHeader) != nullptr ? ResponseKind::NotRun
                                                                     : ResponseKind::Executed;
    }

    std::optional<UpstreamLoad> load(const ClientResponse &) const override { return std::nullopt; }
};

/// An UpstreamTask and a server that reads nothing and writes raw bytes.
struct UpstreamFixture
{
    UpstreamFixture()
        : acceptor(loop, {boost::asio::ip::make_address_v4("127.0.0.1"), 0})
        , task(&loop, &codec,
               [this](UpstreamResult result) { results.push_back(std::move(result)); })
    {
        task.start();
        task.post(UpstreamChanged{{"i-1", 1, {"127.0.0.1", acceptor.local_endpoint().port()}}});
        accept();
        run(std::chrono::milliseconds(10));
    }

    void accept()
    {
        acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (error)
                return;
            peers.push_back(std::move(socket));
            accept();
        });
    }

    void run(Duration duration) { loop.run_for(duration); }

    void startJob(const std::string &requestId)
    {
        StartJob job;
        job.execution = ExecutionId{++executionCount};
        job.run.work.headers = {{std::string(idHeader), requestId}};
        job.deadline = monotonicNow() + std::chrono::seconds(20);
        task.post(std::move(job));
        run(std::chrono::milliseconds(40));
    }

    /// Writes \a bytes on the newest connection.
    void answer(const std::string &bytes)
    {
        boost::asio::write(peers.back(), boost::asio::buffer(bytes));
        run(std::chrono::milliseconds(40));
    }

    EventLoop loop{1};
    TestCodec codec;
    tcp::acceptor acceptor;
    std::vector<tcp::socket> peers;
    std::vector<UpstreamResult> results;
    std::uint64_t executionCount = 0;
    UpstreamTask task;
};

std::string refusal(const std::string &idField)
{
    return "HTTP/1.1 503 Full\r\n" + idField + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

BOOST_FIXTURE_TEST_CASE(refusalThatMayBeOfAnEarlierJobIsNotReportedAsNotRun, UpstreamFixture)
{
    startJob("r1");
    answer(refusal("X-Id: r1\r\n"));
    startJob("r2");
    answer(refusal(""));
    BOOST_REQUIRE(results.size() == 2U);
    BOOST_TEST((results[0].end == UpstreamResult::End::Shed));
    BOOST_TEST((results[1].end == UpstreamResult::End::Truncated));
    startJob("r3");
    BOOST_TEST(task.openedConnectionCount() == 2U);
}

BOOST_FIXTURE_TEST_CASE(refusedRequestIsSentAgainOnAnotherConnection, UpstreamFixture)
{
    startJob("r1");
    answer(refusal("X-Id: r1\r\n"));
    startJob("r1");
    BOOST_TEST(task.openedConnectionCount() == 2U);
    answer(refusal("X-Id: r1\r\n"));
    BOOST_REQUIRE(results.size() == 2U);
    BOOST_TEST((results[1].end == UpstreamResult::End::Shed));
    startJob("r2");
    BOOST_TEST(task.openedConnectionCount() == 2U);
}

BOOST_FIXTURE_TEST_CASE(refusalWithoutAnIdOnAFreshConnectionIsReportedAsNotRun, UpstreamFixture)
{
    startJob("r1");
    answer(refusal(""));
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST((results[0].end == UpstreamResult::End::Shed));
}
