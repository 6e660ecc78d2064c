#define BOOST_TEST_MODULE store
#include "http1/tests/flood_server.h"
#include "store/store.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornford;

namespace {

struct TestCodec : StoreCodec
{
    ClientRequest readConfiguration() const override
    {
        return {"GET", "/configuration", {}, {}, {}};
    }
    ClientRequest watchConfiguration(std::uint64_t, Duration) const override
    {
        return {"GET", "/watch", {}, {}, {}};
    }
    ClientRequest putNode(const std::string &, const std::string &) const override
    {
        return {"POST", "/put", {}, {}, {}};
    }
    ClientRequest removeNode(const std::string &) const override
    {
        return {"POST", "/remove", {}, {}, {}};
    }
    ClientRequest removeExpiredNode(const std::string &) const override
    {
        return {"POST", "/remove-expired", {}, {}, {}};
    }
    ClientRequest putDeparture(const std::string &, const std::string &) const override
    {
        return {"POST", "/put-departure", {}, {}, {}};
    }
    ClientRequest readDeparture(const std::string &) const override
    {
        return {"GET", "/departure", {}, {}, {}};
    }
    bool isDeparture(const StoredRow &, const std::string &) const override { return false; }
    ClientRequest listNodes() const override { return {"GET", "/nodes", {}, {}, {}}; }
    StoreResponse read(const ClientResponse &) const override { return {}; }
    bool isConfiguration(const StoredRow &) const override { return false; }
    Result<Configuration> parseConfiguration(std::string_view) const override
    {
        return Error::BadDocument;
    }
    HttpServerLimits callerLimits(std::string_view) const override { return {}; }
};

} // namespace

/// A node's calls to the store end long before their timeout and are tried again.
BOOST_AUTO_TEST_CASE(responsesWithoutEndEndTheCallsToTheStore)
{
    constexpr std::size_t floodBytes = 64U << 20U; // on each connection
    constexpr std::size_t maxWritten = 48U << 20U; // on two connections
    EventLoop loop{1};
    FloodServer server("HTTP/1.1 200 OK\r\n\r\n", "a", floodBytes);
    std::vector<bool> reachable;
    StoreCallbacks callbacks;
    callbacks.configuration = [](const std::string &, StoreEra) {};
    callbacks.nodes = [](const std::vector<StoredRow> &) {};
    callbacks.departureRead = [](const std::string &) {};
    callbacks.departureStored = [] {};
    callbacks.reachable = [&reachable](bool isReachable) { reachable.push_back(isReachable); };
    std::vector<MessageFault> faults;
    callbacks.responseRefused = [&faults](std::string_view, const RefusedResponse &refused) {
        faults.push_back(refused.fault);
    };
    StoreTask store(&loop, {"127.0.0.1", server.port()}, std::make_shared<TestCodec>(), false, 1,
                    callbacks);
    store.start();
    for (int i = 0; i < 100 && (reachable.empty() || store.callCount() < 3); ++i)
        loop.run_for(std::chrono::milliseconds(10));
    BOOST_TEST(reachable == std::vector<bool>{false});
    BOOST_TEST(store.callCount() >= 3U);
    BOOST_TEST(faults.size() >= 2U);
    for (const MessageFault fault : faults)
        BOOST_TEST((fault == MessageFault::BodyTooLong || fault == MessageFault::NoMemory),
                   faultRow(fault).name);
    BOOST_TEST(server.written() < maxWritten);
}
