#define BOOST_TEST_MODULE departure
#include "departure/departure.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornford;

BOOST_AUTO_TEST_CASE(aDepartureCoversTheStartThatLeftAndEarlierOnes)
{
    const UpstreamDeparture departure{"i-1", UpstreamStart{500}};
    BOOST_TEST(departure.covers("i-1", UpstreamStart{500}));
    BOOST_TEST(departure.covers("i-0", UpstreamStart{400}));
    BOOST_TEST(!departure.covers("i-1", UpstreamStart{501}));
}

BOOST_AUTO_TEST_CASE(aDepartureOfAnUnknownStartCoversItsInstanceOnly)
{
    const UpstreamDeparture departure{"i-1", UpstreamStart{}};
    BOOST_TEST(departure.covers("i-1", UpstreamStart{}));
    BOOST_TEST(!departure.covers("i-2", UpstreamStart{}));
    BOOST_TEST(!departure.covers("i-1", UpstreamStart{500}));
}

BOOST_AUTO_TEST_CASE(onlyTheDepartureOfALaterStartIsNews)
{
    const UpstreamDeparture departure{"i-1", UpstreamStart{500}};
    BOOST_TEST(isNews(departure, std::nullopt));
    BOOST_TEST(!isNews(departure, departure));
    BOOST_TEST(isNews({"i-2", UpstreamStart{501}}, departure));
    BOOST_TEST(!isNews({"i-0", UpstreamStart{499}}, departure));
}

BOOST_AUTO_TEST_CASE(aStoredDepartureIsReadAsItWasWritten)
{
    const UpstreamDeparture departure{"i-\"1\"\xff", UpstreamStart{1'790'000'000'000}};
    const auto read = parseDeparture(toJsonText(departure));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->start == departure.start));
}

BOOST_AUTO_TEST_CASE(malformedStoredDeparturesAreNone)
{
    for (const char *text :
         {"", "[]", "{}", "{\"upstream\":\"\",\"start\":1}", "{\"upstream\":\"i\",\"start\":-1}",
          "{\"upstream\":1,\"start\":1}", "{\"upstream\":\"i\"}", "\xff"})
        BOOST_TEST(!parseDeparture(text).has_value());
}
