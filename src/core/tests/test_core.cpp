#define BOOST_TEST_MODULE core
#include "core/core.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace buckthornford;

BOOST_AUTO_TEST_CASE(memoryIsHeldUntilTheLastCopyOfItsValueIsGone)
{
    const auto budget = std::make_shared<MemoryBudget>(Bytes{100});
    HeldMemory first(budget);
    BOOST_TEST(first.grow(Bytes{60}));
    HeldMemory second(budget);
    BOOST_TEST(!second.grow(Bytes{50}));
    BOOST_TEST(second.grow(Bytes{40}));
    BOOST_TEST(!second.grow(Bytes{41}));
    BOOST_TEST(budget->refusedCount() == 2U);
    auto bytes = std::make_optional(SharedBytes(shareHeld("text", std::move(first)), 0));
    std::optional<SharedBytes> copy = bytes;
    bytes.reset();
    BOOST_TEST(copy->view() == "text");
    BOOST_TEST((budget->held() == Bytes{100}));
    copy.reset();
    BOOST_TEST((budget->held() == Bytes{40}));
}

/// A body of the full size that the configuration allows is served by a calm node.
BOOST_AUTO_TEST_CASE(theOnlyValueMayHoldMoreThanTheBudget)
{
    const auto budget = std::make_shared<MemoryBudget>(Bytes{100});
    HeldMemory only(budget);
    BOOST_TEST(only.grow(Bytes{150}));
    BOOST_TEST(only.grow(Bytes{200}));
    HeldMemory other(budget);
    BOOST_TEST(!other.grow(Bytes{1}));
}

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
