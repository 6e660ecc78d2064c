#define BOOST_TEST_MODULE settings
#include "settings/settings.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace buckthornford;
namespace data = boost::unit_test::data;

BOOST_DATA_TEST_CASE(malformedEndpointsAreNotParsed,
                     data::make({"", "127.0.0.1", ":80", "127.0.0.1:", "127.0.0.1:0",
                                 "127.0.0.1:65536", "localhost:80", "1.2.3.4:8x", "::1:80"}),
                     text)
{
    BOOST_TEST(!parseEndpoint(text).has_value());
}

BOOST_AUTO_TEST_CASE(endpointIsParsedIntoHostAndPort)
{
    const Result<Endpoint> endpoint = parseEndpoint("10.1.2.3:7001");
    BOOST_TEST(endpoint.value().host == "10.1.2.3");
    BOOST_TEST(endpoint.value().port == 7001);
}

BOOST_AUTO_TEST_CASE(numbersMustFillTheTextAndLieInRange)
{
    BOOST_TEST(isWholeNumber("10", 1, 10));
    BOOST_TEST(!isWholeNumber("11", 1, 10));
    BOOST_TEST(!isWholeNumber("1 ", 1, 10));
    BOOST_TEST(!isWholeNumber("", 0, 10));
    BOOST_TEST(!isWholeNumber("99999999999999999999", 0, INT64_MAX));
    BOOST_TEST(isFraction("0.5"));
    BOOST_TEST(!isFraction("1.01"));
    BOOST_TEST(!isFraction("nan"));
}

BOOST_AUTO_TEST_CASE(emptyPartsOfListsAreLeftOut)
{
    BOOST_TEST((splitList("a,,b,", ',') == std::vector<std::string>{"a", "b"}));
    BOOST_TEST(isEndpointList(""));
    BOOST_TEST(!isEndpointList("127.0.0.1:1,x"));
}
