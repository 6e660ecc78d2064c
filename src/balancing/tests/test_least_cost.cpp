#define BOOST_TEST_MODULE least_cost
#include "balancing/balancing.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace buckthornford;

namespace {

const ServiceName service{"terms"};
const OperationName operation{"read"};
constexpr std::uint32_t slots = 10;

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
            Slots{slots}};
}

/// A load balancer with one target in its own zone, one in another zone of its region, and one in
/// another region.
struct Fixture
{
    Fixture()
    {
        balancer = createLoadBalancer(LoadBalancerKind::LeastCost,
                                      {InstanceId{"me"}, ZoneName{"a"}, RegionName{"r"}}, 5);
        balancer->setTargets(
                {target("near", "a", "r"), target("beside", "b", "r"), target("far", "c", "s")},
                at(0));
    }

    std::string pick(std::int64_t now, std::vector<InstanceId> exclude = {})
    {
        PickRequest request;
        request.service = service;
        request.operation = operation;
        request.exclude = std::move(exclude);
        return balancer->pick(request, at(now)).value().peer.instance.value();
    }

    void endAttempt(const std::string &name, std::int64_t sent, std::int64_t now,
                    AttemptResult::End end)
    {
        const Duration latency = at(now) - at(sent);
        balancer->onAttemptEnded(InstanceId{name}, {operation, at(sent), latency, latency, end},
                                 at(now));
    }

    /// Sends a request each 4 ms for 2 s from \a begin on and counts the picks. Targets answer
    /// after \a latency milliseconds; \a failing fails every attempt.
    std::map<std::string, int> runTraffic(std::int64_t begin, std::map<std::string, int> latency,
                                          const std::string &failing = {})
    {
        std::map<std::string, int> picks;
        std::multimap<std::int64_t, std::pair<std::string, std::int64_t>> pending;
        for (std::int64_t now = begin; now < begin + 2000; now += 4) {
            while (!pending.empty() && pending.begin()->first <= now) {
                const auto [name, sent] = pending.begin()->second;
                endAttempt(name, sent, now,
                           name == failing ? AttemptResult::End::Failed
                                           : AttemptResult::End::Succeeded);
                pending.erase(pending.begin());
            }
            const std::string name = pick(now);
            ++picks[name];
            balancer->onAttemptSent(InstanceId{name}, at(now));
            pending.emplace(now + latency[name], std::pair(name, now));
        }
        for (const auto &[time, attempt] : pending)
            endAttempt(attempt.first, attempt.second, begin + 2000, AttemptResult::End::Cancelled);
        return picks;
    }

    std::unique_ptr<LoadBalancer> balancer;
};

const std::map<std::string, int> usualLatencies{{"near", 20}, {"beside", 20}, {"far", 60}};

} // namespace

BOOST_FIXTURE_TEST_CASE(nearTargetWithFreeSlotsTakesNearlyAll, Fixture)
{
    const auto picks = runTraffic(0, usualLatencies);
    BOOST_TEST(picks.at("near") > 480);
    BOOST_TEST(!picks.contains("far"));
}

/// About 20 requests are in flight at once, for 10 slots at the near target.
BOOST_FIXTURE_TEST_CASE(fullTargetSpillsToItsRegionBeforeOthers, Fixture)
{
    const auto picks = runTraffic(0, {{"near", 80}, {"beside", 80}, {"far", 120}});
    BOOST_TEST(picks.at("near") > 150);
    BOOST_TEST(picks.at("beside") > 100);
    BOOST_TEST((!picks.contains("far") || picks.at("far") < 100));
}

BOOST_FIXTURE_TEST_CASE(failingTargetLosesTraffic, Fixture)
{
    runTraffic(0, usualLatencies);
    const auto picks = runTraffic(2000, usualLatencies, "near");
    BOOST_TEST(picks.at("near") < 150);
}

BOOST_FIXTURE_TEST_CASE(slowTargetLosesTrafficUntilItRecovers, Fixture)
{
    runTraffic(0, usualLatencies);
    const auto slowed = runTraffic(2000, {{"near", 400}, {"beside", 20}, {"far", 60}});
    BOOST_TEST(slowed.at("near") < 150);
    runTraffic(4000, usualLatencies);
    const auto recovered = runTraffic(6000, usualLatencies);
    BOOST_TEST(recovered.at("near") > 300);
}

BOOST_FIXTURE_TEST_CASE(excludedTargetsAreNotPicked, Fixture)
{
    BOOST_TEST(pick(0, {InstanceId{"near"}}) == "beside");
    BOOST_TEST(pick(0, {InstanceId{"near"}, InstanceId{"beside"}}) == "far");
}

BOOST_FIXTURE_TEST_CASE(cancelledAttemptsAreNotCountedAsLoad, Fixture)
{
    for (int i = 0; i < 50; ++i) {
        balancer->onAttemptSent(InstanceId{"near"}, at(i));
        endAttempt("near", i, i + 1, AttemptResult::End::Cancelled);
    }
    BOOST_TEST(pick(100) == "near");
}
