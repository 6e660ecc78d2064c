#define BOOST_TEST_MODULE balancing
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

std::unique_ptr<LoadBalancer> balancerWith(const std::vector<Target> &targets)
{
    auto balancer = createLoadBalancer(LoadBalancerKind::TwoChoices,
                                       {InstanceId{"me"}, ZoneName{"a"}, RegionName{"r"}}, 5);
    balancer->setTargets(targets, at(0));
    return balancer;
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

/// Sends \a count requests, one each millisecond from \a begin on, and counts the picks. Targets
/// answer after 10 ms, \a slowName after 100 ms.
std::map<std::string, int> runTraffic(LoadBalancer *balancer, int count, std::int64_t begin,
                                      const std::string &slowName)
{
    std::map<std::string, int> picks;
    std::multimap<std::int64_t, std::string> pending;
    for (std::int64_t now = begin; now < begin + count; ++now) {
        while (!pending.empty() && pending.begin()->first <= now) {
            const std::string name = pending.begin()->second;
            const Duration latency = std::chrono::milliseconds(name == slowName ? 100 : 10);
            balancer->onAttemptEnded(InstanceId{name},
                                     {operation, at(now) - latency, latency, Duration{0},
                                      AttemptResult::End::Succeeded},
                                     at(now));
            pending.erase(pending.begin());
        }
        const auto pick = balancer->pick(request(), at(now));
        const std::string name = pick.value().peer.instance.value();
        ++picks[name];
        balancer->onAttemptSent(InstanceId{name}, at(now));
        pending.emplace(now + (name == slowName ? 100 : 10), name);
    }
    for (const auto &[time, name] : pending)
        balancer->onAttemptEnded(InstanceId{name},
                                 {operation, at(time - (name == slowName ? 100 : 10)),
                                  std::chrono::milliseconds(10), Duration{0},
                                  AttemptResult::End::Succeeded},
                                 at(begin + count));
    return picks;
}

} // namespace

BOOST_AUTO_TEST_CASE(serviceWithoutTargetsIsNotUnknown)
{
    const auto balancer = balancerWith(sixTargets());
    PickRequest other = request();
    other.service = ServiceName{"nobody"};
    BOOST_TEST((errorOf(balancer->pick(other, at(1)).error()) == Error::UnknownService));
    balancer->setTargets({}, at(2));
    BOOST_TEST((errorOf(balancer->pick(request(), at(3)).error()) == Error::NoTarget));
}

BOOST_AUTO_TEST_CASE(slowTargetLosesTrafficUntilItRecovers)
{
    const auto balancer = balancerWith(sixTargets());
    runTraffic(balancer.get(), 2000, 0, "");
    auto slowed = runTraffic(balancer.get(), 1000, 2000, "t3");
    // An even share of the 1000 requests would be 166.
    BOOST_TEST(slowed["t3"] < 60);
    auto later = runTraffic(balancer.get(), 1000, 3000, "t3");
    BOOST_TEST(later["t3"] < 40);
    runTraffic(balancer.get(), 3000, 4000, "");
    auto recovered = runTraffic(balancer.get(), 2000, 7000, "");
    BOOST_TEST(recovered["t3"] > 200);
}

BOOST_AUTO_TEST_CASE(excludedAndUnreachableTargetsAreNotPicked)
{
    const auto balancer = balancerWith(sixTargets());
    balancer->onUnreachable(InstanceId{"t0"}, at(10));
    PickRequest excluding = request();
    excluding.exclude = {InstanceId{"t1"}, InstanceId{"t2"}};
    for (int i = 0; i < 200; ++i) {
        const std::string name = balancer->pick(excluding, at(20)).value().peer.instance.value();
        BOOST_TEST((name != "t0" && name != "t1" && name != "t2"));
    }
    bool isBack = false;
    for (int i = 0; i < 200; ++i)
        isBack = isBack
                 || balancer->pick(excluding, at(5000)).value().peer.instance.value() == "t0";
    BOOST_TEST(isBack);
}

BOOST_AUTO_TEST_CASE(unreachableTargetIsPickedIfThereIsNoOther)
{
    const auto balancer = balancerWith({target("only", "a", "r")});
    balancer->onUnreachable(InstanceId{"only"}, at(10));
    BOOST_TEST(balancer->pick(request(), at(20)).has_value());
}

BOOST_AUTO_TEST_CASE(nearTargetIsPreferredAndSpillToOtherRegionIsLimited)
{
    const auto balancer = balancerWith({target("near", "a", "r"), target("far", "z", "other")});
    for (int i = 0; i < 50; ++i)
        BOOST_TEST((balancer->pick(request(Rank{0}, 0.1), at(1)).value().proximity
                    == Proximity::SameZone));
    int far = 0;
    for (int i = 0; i < 1000; ++i) {
        balancer->onLoadReport(InstanceId{"near"}, {10, 10, 50}, at(i));
        if (balancer->pick(request(Rank{0}, 0.1), at(i)).value().proximity
            == Proximity::OtherRegion)
            ++far;
    }
    BOOST_TEST(far > 50);
    BOOST_TEST(far <= 130);
    // Requests of higher ranks never spill, and an expired load report causes no spill.
    balancer->onLoadReport(InstanceId{"near"}, {10, 10, 50}, at(1000));
    BOOST_TEST((balancer->pick(request(Rank{5}, 1.0), at(1000)).value().proximity
                == Proximity::SameZone));
    BOOST_TEST((balancer->pick(request(Rank{0}, 1.0), at(3000)).value().proximity
                == Proximity::SameZone));
}

BOOST_AUTO_TEST_CASE(reportedQueueOnlyMakesTargetLookWorse)
{
    const auto balancer = balancerWith(sixTargets());
    for (const char *name : {"t0", "t1", "t2", "t3", "t4"})
        balancer->onLoadReport(InstanceId{name}, {0, 10, 9}, at(0));
    std::map<std::string, int> picks;
    for (int i = 0; i < 600; ++i)
        ++picks[balancer->pick(request(), at(1)).value().peer.instance.value()];
    BOOST_TEST(picks["t5"] > 150);
    BOOST_TEST(picks["t0"] > 0);
}

BOOST_AUTO_TEST_CASE(nodeUsesBoundedSubsetOfManyTargets)
{
    std::vector<Target> many;
    many.reserve(200);
    for (int i = 0; i < 200; ++i)
        many.push_back(target("t" + std::to_string(i), "a", "r"));
    const auto balancer = balancerWith(many);
    std::map<std::string, int> picks;
    for (int i = 0; i < 2000; ++i)
        ++picks[balancer->pick(request(), at(i)).value().peer.instance.value()];
    BOOST_TEST(picks.size() <= 16);
}

BOOST_AUTO_TEST_CASE(roundRobinPicksTargetsEquallyOften)
{
    auto balancer = createLoadBalancer(LoadBalancerKind::RoundRobin, {}, 1);
    balancer->setTargets(sixTargets(), at(0));
    std::map<std::string, int> picks;
    for (int i = 0; i < 600; ++i)
        ++picks[balancer->pick(request(), at(1)).value().peer.instance.value()];
    for (const auto &[name, count] : picks)
        BOOST_TEST(count == 100);
}
