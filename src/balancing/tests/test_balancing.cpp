#define BOOST_TEST_MODULE routing
#include "balancing/balancing.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace buckthornford;

namespace {

const ServiceName service{"terms"};
const OperationName operation{"read"};

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint{std::chrono::milliseconds(milliseconds)};
}

Target target(const std::string &name, const std::string &zone, const std::string &region)
{
    return {{InstanceId{name}, Incarnation{1}, "127.0.0.1:1"},
            service,
            ZoneName{zone},
            RegionName{region},
            Slots{10}};
}

std::vector<Target> sixTargets()
{
    std::vector<Target> targets;
    targets.reserve(6);
    for (int i = 0; i < 6; ++i)
        targets.push_back(target("t" + std::to_string(i), "a", "r"));
    return targets;
}

std::unique_ptr<LoadBalancer> routerWith(const std::vector<Target> &targets)
{
    auto router = createLoadBalancer(LoadBalancerKind::TwoChoices,
                                     {InstanceId{"me"}, ZoneName{"a"}, RegionName{"r"}}, 5);
    router->setTargets(targets, at(0));
    return router;
}

PickRequest request(Rank rank = Rank{0}, double spillShare = 0.0)
{
    PickRequest request;
    request.service = service;
    request.operation = operation;
    request.rank = rank;
    request.spillShare = spillShare;
    return request;
}

/// Sends \a count requests, one a millisecond; \a slowName answers ten times later.
std::map<std::string, int> drive(LoadBalancer *router, int count, std::int64_t begin,
                                 const std::string &slowName)
{
    std::map<std::string, int> picks;
    std::multimap<std::int64_t, std::string> pending;
    for (std::int64_t now = begin; now < begin + count; ++now) {
        while (!pending.empty() && pending.begin()->first <= now) {
            const std::string name = pending.begin()->second;
            const Duration latency = std::chrono::milliseconds(name == slowName ? 100 : 10);
            router->onAttemptEnded(InstanceId{name},
                                   {operation, at(now) - latency, latency, Duration{0},
                                    AttemptResult::End::Succeeded},
                                   at(now));
            pending.erase(pending.begin());
        }
        const auto pick = router->pick(request(), at(now));
        const std::string name = pick.value().peer.instance.value();
        ++picks[name];
        router->onAttemptSent(InstanceId{name}, at(now));
        pending.emplace(now + (name == slowName ? 100 : 10), name);
    }
    for (const auto &[time, name] : pending)
        router->onAttemptEnded(InstanceId{name},
                               {operation, at(time - (name == slowName ? 100 : 10)),
                                std::chrono::milliseconds(10), Duration{0},
                                AttemptResult::End::Succeeded},
                               at(begin + count));
    return picks;
}

} // namespace

BOOST_AUTO_TEST_CASE(servicesAreToldFromUnknownOnes)
{
    const auto router = routerWith(sixTargets());
    PickRequest other = request();
    other.service = ServiceName{"nobody"};
    BOOST_TEST((errorOf(router->pick(other, at(1)).error()) == Error::UnknownService));
    router->setTargets({}, at(2));
    BOOST_TEST((errorOf(router->pick(request(), at(3)).error()) == Error::NoTarget));
}

BOOST_AUTO_TEST_CASE(aSlowedTargetLosesTrafficAndGetsItBack)
{
    const auto router = routerWith(sixTargets());
    drive(router.get(), 2000, 0, "");
    auto slowed = drive(router.get(), 1000, 2000, "t3");
    // An even share of the first second would be 166.
    BOOST_TEST(slowed["t3"] < 60);
    auto later = drive(router.get(), 1000, 3000, "t3");
    BOOST_TEST(later["t3"] < 40);
    drive(router.get(), 3000, 4000, "");
    auto healed = drive(router.get(), 2000, 7000, "");
    BOOST_TEST(healed["t3"] > 200);
}

BOOST_AUTO_TEST_CASE(excludedAndUnreachableTargetsAreNotPicked)
{
    const auto router = routerWith(sixTargets());
    router->onUnreachable(InstanceId{"t0"}, at(10));
    PickRequest wanted = request();
    wanted.exclude = {InstanceId{"t1"}, InstanceId{"t2"}};
    for (int i = 0; i < 200; ++i) {
        const std::string name = router->pick(wanted, at(20)).value().peer.instance.value();
        BOOST_TEST((name != "t0" && name != "t1" && name != "t2"));
    }
    bool isBack = false;
    for (int i = 0; i < 200; ++i)
        isBack = isBack || router->pick(wanted, at(5000)).value().peer.instance.value() == "t0";
    BOOST_TEST(isBack);
}

BOOST_AUTO_TEST_CASE(anUnreachableTargetIsTheLastResort)
{
    const auto router = routerWith({target("only", "a", "r")});
    router->onUnreachable(InstanceId{"only"}, at(10));
    BOOST_TEST(router->pick(request(), at(20)).has_value());
}

BOOST_AUTO_TEST_CASE(nearTargetsComeFirstAndTheBilledLinkHasABudget)
{
    const auto router = routerWith({target("near", "a", "r"), target("far", "z", "other")});
    for (int i = 0; i < 50; ++i)
        BOOST_TEST((router->pick(request(Rank{0}, 0.1), at(1)).value().proximity
                    == Proximity::SameZone));
    int far = 0;
    for (int i = 0; i < 1000; ++i) {
        router->onLoadReport(InstanceId{"near"}, {10, 10, 50}, at(i));
        if (router->pick(request(Rank{0}, 0.1), at(i)).value().proximity == Proximity::OtherRegion)
            ++far;
    }
    BOOST_TEST(far > 50);
    BOOST_TEST(far <= 130);
    // Lesser work stays, and old reports are forgotten.
    router->onLoadReport(InstanceId{"near"}, {10, 10, 50}, at(1000));
    BOOST_TEST((router->pick(request(Rank{5}, 1.0), at(1000)).value().proximity
                == Proximity::SameZone));
    BOOST_TEST((router->pick(request(Rank{0}, 1.0), at(3000)).value().proximity
                == Proximity::SameZone));
}

BOOST_AUTO_TEST_CASE(aReportOnlyMakesATargetLookWorse)
{
    const auto router = routerWith(sixTargets());
    for (const char *name : {"t0", "t1", "t2", "t3", "t4"})
        router->onLoadReport(InstanceId{name}, {0, 10, 9}, at(0));
    std::map<std::string, int> picks;
    for (int i = 0; i < 600; ++i)
        ++picks[router->pick(request(), at(1)).value().peer.instance.value()];
    BOOST_TEST(picks["t5"] > 150);
    BOOST_TEST(picks["t0"] > 0);
}

BOOST_AUTO_TEST_CASE(eachNodeUsesABoundedSubset)
{
    std::vector<Target> many;
    many.reserve(200);
    for (int i = 0; i < 200; ++i)
        many.push_back(target("t" + std::to_string(i), "a", "r"));
    const auto router = routerWith(many);
    std::map<std::string, int> picks;
    for (int i = 0; i < 2000; ++i)
        ++picks[router->pick(request(), at(i)).value().peer.instance.value()];
    BOOST_TEST(picks.size() <= 16);
}

BOOST_AUTO_TEST_CASE(theNaiveRouterTakesTurns)
{
    auto router = createLoadBalancer(LoadBalancerKind::RoundRobin, {}, 1);
    router->setTargets(sixTargets(), at(0));
    std::map<std::string, int> picks;
    for (int i = 0; i < 600; ++i)
        ++picks[router->pick(request(), at(1)).value().peer.instance.value()];
    for (const auto &[name, count] : picks)
        BOOST_TEST(count == 100);
}
