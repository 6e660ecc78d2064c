#define BOOST_TEST_MODULE poison
#include "poison/poison.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornford;

namespace {

constexpr ContentHash content{7};
const TimePoint start{std::chrono::seconds(1)};

} // namespace

BOOST_AUTO_TEST_CASE(contentHashIgnoresKeyAndCaller)
{
    Work work;
    work.service = ServiceName{"s"};
    work.body = "kill";
    Work again = work;
    again.key = "another";
    again.caller = CallerName{"other"};
    BOOST_TEST((contentHash(work) == contentHash(again)));
    again.body = "kill!";
    BOOST_TEST((contentHash(work) != contentHash(again)));
}

BOOST_AUTO_TEST_CASE(contentIsPoisonousAfterThreeDistinctCrashes)
{
    PoisonDetector detector({});
    for (const std::uint64_t crash : {1, 2, 2, 1})
        detector.record({content, crash, false}, start);
    BOOST_TEST(!detector.isPoisonous(content));
    BOOST_TEST(detector.record({content, 3, false}, start));
    BOOST_TEST(detector.isPoisonous(content));
    BOOST_TEST(!detector.isPoisonous(ContentHash{8}));
}

BOOST_AUTO_TEST_CASE(releaseClearsCrashesAndRepeatedEventsDoNotRestoreThem)
{
    PoisonDetector detector({});
    for (std::uint64_t crash = 1; crash <= 3; ++crash)
        detector.record({content, crash, false}, start);
    detector.record({content, 99, true}, start);
    BOOST_TEST(!detector.hasCrashes(content));
    BOOST_TEST(!detector.record({content, 1, false}, start));
    BOOST_TEST(!detector.hasCrashes(content));
}

BOOST_AUTO_TEST_CASE(crashesExpireAfterTheRetentionTime)
{
    PoisonDetector detector({});
    for (std::uint64_t crash = 1; crash <= 3; ++crash)
        detector.record({content, crash, false}, start);
    detector.expire(start + std::chrono::minutes(11));
    BOOST_TEST(detector.rows().empty());
}
