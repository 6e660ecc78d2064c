#define BOOST_TEST_MODULE chain_load
#include "chain_load/chain_load.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornford;

namespace {

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint{std::chrono::milliseconds(milliseconds)};
}

const OperationName lookup{"lookup"};
const OperationName rate{"rate"};
const OperationName affirm{"affirm"};
constexpr Rank high{0};
constexpr Rank low{1};
constexpr double always = 0.0; ///< draw that passes any share above 0

} // namespace

BOOST_AUTO_TEST_CASE(demandIsTheShareOfTheSlotsThatArrivingWorkNeeds)
{
    DemandMeter meter;
    // 20 requests of 100 ms in each 100 ms need 20 slots.
    for (std::int64_t i = 0; i < 400; ++i)
        meter.record(std::chrono::milliseconds(100), at(i * 5));
    BOOST_TEST(meter.demand(Slots{20}, at(2000)).value() == 1.0,
               boost::test_tools::tolerance(0.05));
    BOOST_TEST(meter.demand(Slots{10}, at(2000)).value() == 2.0,
               boost::test_tools::tolerance(0.05));
    BOOST_TEST(meter.demand(Slots{10}, at(5000)).value() < 0.01);
}

BOOST_AUTO_TEST_CASE(aCallerIsAsLoadedAsTheMostLoadedOperationThatItCalls)
{
    DownstreamLoad load;
    load.recordCall(lookup, rate);
    load.recordCall(lookup, OperationName{"index"});
    load.recordReport(rate, Utilization{1.5}, at(0));
    load.recordReport(OperationName{"index"}, Utilization{0.5}, at(0));
    BOOST_TEST(load.below(lookup, at(10)).value() == 1.5);
    BOOST_TEST(load.below(rate, at(10)).value() == 0.0);
}

BOOST_AUTO_TEST_CASE(reportsThatAreTooOldSayNothing)
{
    DownstreamLoad load;
    load.recordCall(lookup, rate);
    load.recordReport(rate, Utilization{4.0}, at(0));
    BOOST_TEST(load.of(rate, at(100)).has_value());
    BOOST_TEST(!load.of(rate, at(5000)).has_value());
    BOOST_TEST(load.below(lookup, at(5000)).value() == 0.0);
}

BOOST_AUTO_TEST_CASE(chainsStartFreelyWithoutReports)
{
    ChainStartLimiter limiter;
    BOOST_TEST(limiter.admits(lookup, std::nullopt, low, 0.999, at(0)));
}

BOOST_AUTO_TEST_CASE(theShareThatStartsBringsTheLoadDownToTheLimit)
{
    ChainStartLimiter limiter;
    BOOST_TEST(limiter.admits(lookup, Utilization{2.0}, low, 0.4, at(0)));
    BOOST_TEST(!limiter.admits(lookup, Utilization{2.0}, low, 0.6, at(1)));
}

/// Twice the load, of which one half is of lower priority and can be refused.
BOOST_AUTO_TEST_CASE(lowerPrioritiesAreRefusedFirst)
{
    ChainStartLimiter limiter;
    const Utilization load{1.9};
    for (std::int64_t i = 0; i < 50; ++i) {
        limiter.admits(affirm, Utilization{0.5}, high, always, at(i));
        limiter.admits(lookup, Utilization{0.5}, low, always, at(i));
    }
    limiter.admits(lookup, load, low, always, at(60));
    BOOST_TEST(limiter.admits(affirm, load, high, 0.9, at(60)));
    BOOST_TEST(!limiter.admits(lookup, load, low, 0.6, at(61)));
}

/// Chains that rest on another service, which has room, can't make room here.
BOOST_AUTO_TEST_CASE(lowerPrioritiesOfOtherServicesDoNotCount)
{
    ChainStartLimiter limiter;
    for (std::int64_t i = 0; i < 50; ++i) {
        limiter.admits(affirm, Utilization{1.9}, high, always, at(i));
        limiter.admits(lookup, Utilization{0.2}, low, always, at(i));
    }
    BOOST_TEST(!limiter.admits(affirm, Utilization{1.9}, high, 0.9, at(60)));
    BOOST_TEST(limiter.admits(lookup, Utilization{0.2}, low, 0.9, at(60)));
}

/// A node that starts nothing would never learn that the load has fallen.
BOOST_AUTO_TEST_CASE(someChainsStartUnderAnyLoad)
{
    ChainStartLimiter limiter;
    for (std::int64_t i = 0; i < 100; ++i)
        limiter.admits(lookup, Utilization{50.0}, low, 0.5, at(i * 100));
    BOOST_TEST(limiter.admits(lookup, Utilization{50.0}, low, always, at(10'000)));
}

BOOST_AUTO_TEST_CASE(chainsStartFreelyAgainASecondAfterTheReportsEnd)
{
    ChainStartLimiter limiter;
    for (std::int64_t i = 0; i < 100; ++i)
        limiter.admits(lookup, Utilization{4.0}, low, 0.5, at(i * 100));
    for (std::int64_t i = 0; i < 20; ++i)
        limiter.admits(lookup, std::nullopt, low, 0.5, at(10'000 + i * 100));
    BOOST_TEST(limiter.admits(lookup, std::nullopt, low, 0.999, at(12'000)));
}
