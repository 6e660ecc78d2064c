#define BOOST_TEST_MODULE routes
#include "routes/routes.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace buckthornford;

namespace {

Route route(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = OperationName{name};
    route.host = "Swap.example";
    route.prefix = prefix;
    route.services = {{ServiceName{name}, 1.0}};
    return route;
}

RouteTable table()
{
    return RouteTable::create({route("short", "/a/"), route("long", "/a/b/")}).value();
}

} // namespace

BOOST_AUTO_TEST_CASE(routeWithLongestPrefixIsFound)
{
    const RouteTable routes = table();
    BOOST_TEST(routes.find("swap.example", "/a/b/c")->name.value() == "long");
    BOOST_TEST(routes.find("swap.example", "/a/bc")->name.value() == "short");
    BOOST_TEST(routes.find("swap.example", "/a/b?x=/a/b/")->name.value() == "short");
}

BOOST_AUTO_TEST_CASE(caseAndPortOfHostAreIgnored)
{
    BOOST_TEST(table().find("SWAP.example:8080", "/a/x") != nullptr);
    BOOST_TEST(table().find("other.example", "/a/x") == nullptr);
}

BOOST_AUTO_TEST_CASE(pathWithoutMatchingPrefixHasNoRoute)
{
    const RouteTable routes = table();
    for (const char *path : {"", "*", "/", "/a", "a/b/", "/x/a/b/"})
        BOOST_TEST(routes.find("swap.example", path) == nullptr);
}

BOOST_AUTO_TEST_CASE(equalRoutesAndRoutesWithoutServiceAreRefused)
{
    BOOST_TEST(!RouteTable::create({route("one", "/a/"), route("two", "/a/")}));
    Route none = route("none", "/a/");
    none.services.clear();
    BOOST_TEST(!RouteTable::create({none}));
}

/// After any number of requests the counts stay within two requests of the weights.
BOOST_AUTO_TEST_CASE(servicesGetRequestsInProportionToWeights)
{
    Route split = route("split", "/a/");
    split.services = {{ServiceName{"x"}, 90.0}, {ServiceName{"y"}, 10.0}};
    ServiceChooser chooser(3);
    std::map<std::string, int> counts;
    for (int i = 1; i <= 1000; ++i) {
        ++counts[chooser.choose(split).value()];
        BOOST_TEST(std::abs(counts["y"] - i / 10.0) <= 2.0);
    }
}

BOOST_AUTO_TEST_CASE(changedWeightsApplyToNextRequest)
{
    Route split = route("split", "/a/");
    split.services = {{ServiceName{"x"}, 1.0}, {ServiceName{"y"}, 1.0}};
    ServiceChooser chooser(3);
    (void)chooser.choose(split);
    split.services[1].weight = 0.0;
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(chooser.choose(split).value() == "x");
}

BOOST_AUTO_TEST_CASE(weightsWhoseSumIsInfiniteKeepTheirProportions)
{
    Route split = route("split", "/a/");
    split.services = {{ServiceName{"x"}, 1.5e308}, {ServiceName{"y"}, 0.5e308}};
    ServiceChooser chooser(3);
    std::map<std::string, int> counts;
    for (int i = 1; i <= 1000; ++i)
        ++counts[chooser.choose(split).value()];
    BOOST_TEST(std::abs(counts["x"] - 750) <= 2);
}

BOOST_AUTO_TEST_CASE(weightsOfAllSizesGiveEachRequestAService)
{
    for (const double weight : {1e300, 5e-324, 1.7e308, 0.0}) {
        Route split = route("split", "/a/");
        split.services = {{ServiceName{"x"}, weight}, {ServiceName{"y"}, weight}};
        ServiceChooser chooser(3);
        std::map<std::string, int> counts;
        for (int i = 1; i <= 1000; ++i)
            ++counts[chooser.choose(split).value()];
        BOOST_TEST(std::abs(counts["x"] - 500) <= 2);
    }
}
