#define BOOST_TEST_MODULE poison
#include "poison/poison.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornford;

namespace {

constexpr ContentHash bad{7};
const TimePoint start{std::chrono::seconds(1)};

} // namespace

BOOST_AUTO_TEST_CASE(contentIsKnownUnderANewKey)
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

BOOST_AUTO_TEST_CASE(aContentIsRefusedAfterThreeDistinctCrashes)
{
    PoisonDetector book({});
    for (const std::uint64_t crash : {1, 2, 2, 1})
        book.record({bad, crash, false}, start);
    BOOST_TEST(!book.isPoisonous(bad));
    BOOST_TEST(book.record({bad, 3, false}, start));
    BOOST_TEST(book.isPoisonous(bad));
    BOOST_TEST(!book.isPoisonous(ContentHash{8}));
}

BOOST_AUTO_TEST_CASE(aReleaseClearsAndOldNewsDoesNotReturn)
{
    PoisonDetector book({});
    for (std::uint64_t crash = 1; crash <= 3; ++crash)
        book.record({bad, crash, false}, start);
    book.record({bad, 99, true}, start);
    BOOST_TEST(!book.hasCrashes(bad));
    BOOST_TEST(!book.record({bad, 1, false}, start));
    BOOST_TEST(!book.hasCrashes(bad));
}

BOOST_AUTO_TEST_CASE(strikesAreForgotten)
{
    PoisonDetector book({});
    for (std::uint64_t crash = 1; crash <= 3; ++crash)
        book.record({bad, crash, false}, start);
    book.expire(start + std::chrono::minutes(11));
    BOOST_TEST(book.rows().empty());
}
