#define BOOST_TEST_MODULE read_schedule
#include "store/read_schedule.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace buckthornford;

namespace {

constexpr Duration observed = std::chrono::hours(1);

/// Returns how often \a nodeCount nodes that are no readers read in a second, all together.
double fleetReadsPerSecond(std::size_t nodeCount)
{
    std::size_t reads = 0;
    for (std::size_t i = 0; i < nodeCount; ++i) {
        ReadSchedule schedule(i + 1);
        schedule.setFleet(nodeCount - 1, false);
        for (TimePoint now = schedule.nextCheck(TimePoint{}); now < TimePoint{observed};
             now = schedule.nextCheck(now))
            ++reads;
    }
    return static_cast<double>(reads) / std::chrono::duration<double>(observed).count();
}

} // namespace

/// The store has a limit on reads for the whole fleet, and each read is billed.
BOOST_AUTO_TEST_CASE(readsOfTheWholeFleetDoNotGrowWithItsSize)
{
    for (const std::size_t nodeCount : {30U, 195U, 1400U})
        BOOST_TEST(fleetReadsPerSecond(nodeCount) <= 2.5);
}

/// If no reader reaches the store, another node reads the configuration in time.
BOOST_AUTO_TEST_CASE(someNodeReadsEverySecondInAnyFleet)
{
    for (const std::size_t nodeCount : {30U, 195U, 1400U})
        BOOST_TEST(fleetReadsPerSecond(nodeCount) >= 1.0);
}

BOOST_AUTO_TEST_CASE(onlyReadersAndNodesWithoutAConfigurationRetrySoon)
{
    ReadSchedule schedule(1);
    BOOST_TEST(schedule.retriesSoon());
    schedule.setFleet(100, false);
    BOOST_TEST(schedule.retriesSoon());
    schedule.setConfigurationKnown();
    BOOST_TEST(!schedule.retriesSoon());
    schedule.setFleet(100, true);
    BOOST_TEST(schedule.retriesSoon());
}
