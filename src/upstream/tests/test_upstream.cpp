#define BOOST_TEST_MODULE upstream
#include "http1/tests/flood_server.h"
#include "upstream/upstream.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <malloc.h>

#include <fstream>

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

/// Returns the resident memory of the process, in bytes.
std::size_t residentBytes()
{
    constexpr std::size_t pageSize = 4096;
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * pageSize;
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

BOOST_FIXTURE_TEST_CASE(manyLongResponsesInProgressStayWithinABoundOfMemory, UpstreamFixture)
{
    constexpr std::size_t jobCount = 20;
    constexpr std::size_t floodBytes = 16U << 20U; // on each connection
    constexpr std::size_t maxGrowth = 112U << 20U; // 20 times 16 MiB without a bound
    FloodServer server("HTTP/1.1 200 OK\r\nX-Id: r\r\n\r\n", "a", floodBytes);
    task.post(UpstreamChanged{{"i-2", 2, {"127.0.0.1", server.port()}}});
    (void)malloc_trim(0);
    const std::size_t before = residentBytes();
    for (std::size_t i = 0; i < jobCount; ++i)
        startJob("r");
    std::size_t mostGrowth = 0;
    for (int i = 0; i < 300 && server.written() < jobCount * floodBytes / 2; ++i) {
        run(std::chrono::milliseconds(10));
        mostGrowth = std::max(mostGrowth, residentBytes() - std::min(before, residentBytes()));
    }
    run(std::chrono::milliseconds(200));
    mostGrowth = std::max(mostGrowth, residentBytes() - std::min(before, residentBytes()));
    BOOST_TEST_MESSAGE("growth " << mostGrowth << ", ended " << results.size());
    BOOST_TEST(mostGrowth < maxGrowth);
    BOOST_TEST(!results.empty());
    BOOST_TEST(results.size() < jobCount);
    for (const UpstreamResult &result : results)
        BOOST_TEST((result.end == UpstreamResult::End::Truncated));
    results.clear();
    FloodServer good("HTTP/1.1 200 OK\r\nX-Id: s\r\nContent-Length: 2\r\n\r\nok", "", 0);
    task.post(UpstreamChanged{{"i-3", 3, {"127.0.0.1", good.port()}}});
    startJob("s");
    run(std::chrono::milliseconds(100));
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST(results[0].body == "ok");
}

BOOST_FIXTURE_TEST_CASE(probeOfAServerThatSendsWithoutEndReportsReachableOnce, UpstreamFixture)
{
    FloodServer server("", "a", 256U << 20U);
    std::vector<bool> reports;
    probe(&loop, {"127.0.0.1", server.port()},
          [&reports](bool isReachable) { reports.push_back(isReachable); });
    run(std::chrono::milliseconds(500));
    BOOST_TEST(reports == std::vector<bool>{true});
    BOOST_TEST(server.written() < (16U << 20U));
}
