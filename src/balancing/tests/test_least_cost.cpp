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

/// One target in the own zone, one in the region, one far away.
struct Fixture
{
    Fixture()
    {
        router = createLoadBalancer(LoadBalancerKind::LeastCost,
                                    {InstanceId{"me"}, ZoneName{"a"}, RegionName{"r"}}, 5);
        router->setTargets(
                {target("near", "a", "r"), target("beside", "b", "r"), target("far", "c", "s")},
                at(0));
    }

    std::string pick(std::int64_t now, std::vector<InstanceId> exclude = {})
    {
        PickRequest request;
        request.service = service;
        request.operation = operation;
        request.exclude = std::move(exclude);
        return router->pick(request, at(now)).value().peer.instance.value();
    }

    void end(const std::string &name, std::int64_t sent, std::int64_t now, AttemptResult::End end)
    {
        const Duration latency = at(now) - at(sent);
        router->onAttemptEnded(InstanceId{name}, {operation, at(sent), latency, latency, end},
                               at(now));
    }

    /// Requests, one each 4 ms from \a begin on; answers take \a latency of their target.
    std::map<std::string, int> drive(std::int64_t begin, std::map<std::string, int> latency,
                                     const std::string &failing = {})
    {
        std::map<std::string, int> picks;
        std::multimap<std::int64_t, std::pair<std::string, std::int64_t>> pending;
        for (std::int64_t now = begin; now < begin + 2000; now += 4) {
            while (!pending.empty() && pending.begin()->first <= now) {
                const auto [name, sent] = pending.begin()->second;
                end(name, sent, now,
                    name == failing ? AttemptResult::End::Failed : AttemptResult::End::Succeeded);
                pending.erase(pending.begin());
            }
            const std::string name = pick(now);
            ++picks[name];
            router->onAttemptSent(InstanceId{name}, at(now));
            pending.emplace(now + latency[name], std::pair(name, now));
        }
        for (const auto &[time, attempt] : pending)
            end(attempt.first, attempt.second, begin + 2000, AttemptResult::End::Cancelled);
        return picks;
    }

    std::unique_ptr<LoadBalancer> router;
};

const std::map<std::string, int> usual{{"near", 20}, {"beside", 20}, {"far", 60}};

} // namespace

BOOST_FIXTURE_TEST_CASE(aNearTargetWithRoomTakesAll, Fixture)
{
    const auto picks = drive(0, usual);
    BOOST_TEST(picks.at("near") > 480);
    BOOST_TEST(!picks.contains("far"));
}

/// Twenty at once for ten slots: the region helps out before the far one does.
BOOST_FIXTURE_TEST_CASE(aFullTargetSpillsToTheRegion, Fixture)
{
    const auto picks = drive(0, {{"near", 80}, {"beside", 80}, {"far", 120}});
    BOOST_TEST(picks.at("near") > 150);
    BOOST_TEST(picks.at("beside") > 100);
    BOOST_TEST((!picks.contains("far") || picks.at("far") < 100));
}

BOOST_FIXTURE_TEST_CASE(aFailingTargetLosesItsRequests, Fixture)
{
    drive(0, usual);
    const auto picks = drive(2000, usual, "near");
    BOOST_TEST(picks.at("near") < 150);
}

BOOST_FIXTURE_TEST_CASE(aSlowTargetLosesItsRequestsAndGetsThemBack, Fixture)
{
    drive(0, usual);
    const auto slowed = drive(2000, {{"near", 400}, {"beside", 20}, {"far", 60}});
    BOOST_TEST(slowed.at("near") < 150);
    drive(4000, usual);
    const auto back = drive(6000, usual);
    BOOST_TEST(back.at("near") > 300);
}

BOOST_FIXTURE_TEST_CASE(whatWasTriedIsNotPickedAgain, Fixture)
{
    BOOST_TEST(pick(0, {InstanceId{"near"}}) == "beside");
    BOOST_TEST(pick(0, {InstanceId{"near"}, InstanceId{"beside"}}) == "far");
}

/// Attempts that are given up free their place in the count.
BOOST_FIXTURE_TEST_CASE(droppedAttemptsAreNotCountedAsLoad, Fixture)
{
    for (int i = 0; i < 50; ++i) {
        router->onAttemptSent(InstanceId{"near"}, at(i));
        end("near", i, i + 1, AttemptResult::End::Cancelled);
    }
    BOOST_TEST(pick(100) == "near");
}
