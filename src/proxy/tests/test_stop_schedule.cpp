#define BOOST_TEST_MODULE stop_schedule
#include "proxy/stop_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornford;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint signalTime{100s};
constexpr Duration gracePeriod = 6s;

StopSchedule schedule()
{
    return StopSchedule::startingAt(signalTime, gracePeriod);
}

} // namespace

BOOST_AUTO_TEST_CASE(executionsAnswersAndProcessEndInThisOrderBeforeTheKill)
{
    BOOST_TEST((schedule().executionsDueBy() < schedule().answersDueBy()));
    BOOST_TEST((schedule().answersDueBy() < schedule().latestEnd()));
    BOOST_TEST((schedule().latestEnd() < signalTime + gracePeriod));
    BOOST_TEST((schedule().earliestEnd() > signalTime + 2s));
}

BOOST_AUTO_TEST_CASE(workIsTakenWhileItsExpectedDurationFits)
{
    const TimePoint lastMoment = schedule().executionsDueBy() - 2500ms;
    BOOST_TEST(schedule().hasTimeFor(2500ms, 6s, lastMoment));
    BOOST_TEST(!schedule().hasTimeFor(2500ms, 6s, lastMoment + 1ms));
}

BOOST_AUTO_TEST_CASE(workWithAShortLimitIsTakenWhileThatFits)
{
    const TimePoint lastMoment = schedule().executionsDueBy() - 300ms;
    BOOST_TEST(schedule().hasTimeFor(2500ms, 300ms, lastMoment));
    BOOST_TEST(!schedule().hasTimeFor(2500ms, 300ms, lastMoment + 1ms));
}

BOOST_AUTO_TEST_CASE(workOfUnknownDurationNeedsItsWholeLimit)
{
    BOOST_TEST(schedule().hasTimeFor(Duration{0}, 5s, signalTime));
    BOOST_TEST(!schedule().hasTimeFor(Duration{0}, 5s, signalTime + 1s));
}

BOOST_AUTO_TEST_CASE(aGracePeriodShorterThanTheMarginsTakesNoWork)
{
    const StopSchedule brief = StopSchedule::startingAt(signalTime, 100ms);
    BOOST_TEST((brief.latestEnd() == signalTime));
    BOOST_TEST(!brief.hasTimeFor(10ms, 1s, signalTime));
}
