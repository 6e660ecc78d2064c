#define BOOST_TEST_MODULE core
#include "core/core.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace buckthornford;

BOOST_AUTO_TEST_CASE(everyErrorHasAUniqueNameAndAMessage)
{
    std::set<std::string_view> names;
    for (int i = 0; i <= static_cast<int>(Error::Internal); ++i) {
        const ErrorRow &row = errorRow(static_cast<Error>(i));
        BOOST_TEST(names.insert(row.name).second);
        BOOST_TEST(!row.message.empty());
        BOOST_TEST((errorFromName(row.name) == row.error));
    }
}

BOOST_AUTO_TEST_CASE(errorCodeHoldsItsErrorAndMessage)
{
    const Result<int> result = Error::QueueFull;
    BOOST_TEST((errorOf(result.error()) == Error::QueueFull));
    BOOST_TEST(result.error().message() == errorRow(Error::QueueFull).message);
    BOOST_TEST((errorOf(std::make_error_code(std::errc::timed_out)) == Error::Internal));
}

BOOST_AUTO_TEST_CASE(strongTypesCompareByValueAndDoNotConvert)
{
    BOOST_TEST((InstanceId{"a"} < InstanceId{"b"}));
    BOOST_TEST((Revision{2} == Revision{2}));
    static_assert(!std::is_convertible_v<InstanceId, ServiceName>);
}

BOOST_AUTO_TEST_CASE(steadyWallNowNeverStepsBack)
{
    WallTime previous = steadyWallNow();
    for (int i = 0; i < 1000; ++i) {
        const WallTime now = steadyWallNow();
        BOOST_REQUIRE((now >= previous));
        previous = now;
    }
}
