#define BOOST_TEST_MODULE admission
#include "admission/admission.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

using namespace buckthornford;

namespace {

TimePoint at(std::int64_t microseconds)
{
    return TimePoint{Duration{microseconds}};
}

QueuedRequest makeRequest(std::uint64_t id, int rank, int entered, int deadline, int name)
{
    static const std::vector<std::string> names{"p", "q", "r"};
    QueuedRequest request;
    request.execution = ExecutionId{id};
    request.rank = Rank{static_cast<std::uint32_t>(rank)};
    request.caller = CallerName{names[static_cast<std::size_t>(name)]};
    request.operation = OperationName{names[static_cast<std::size_t>(name)]};
    request.entered = at(entered);
    request.deadline = at(deadline);
    request.requestHash = static_cast<std::uint64_t>(entered % 3);
    return request;
}

rc::Gen<std::vector<QueuedRequest>> generateRequests()
{
    return rc::gen::map(rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
                                rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 50),
                                               rc::gen::inRange(0, 50), rc::gen::inRange(0, 3))),
                        [](const auto &rows) {
                            std::vector<QueuedRequest> result;
                            result.reserve(rows.size());
                            for (const auto &[rank, entered, deadline, name] : rows)
                                result.push_back(
                                        makeRequest(result.size(), rank, entered, deadline, name));
                            return result;
                        });
}

TieBreaker makeTieBreaker(int order)
{
    return {static_cast<TieBreakOrder>(order), {"q", "p"}};
}

bool always(const QueuedRequest &)
{
    return true;
}

} // namespace

/// Compares the queue with a model that sorts all requests after every push.
BOOST_AUTO_TEST_CASE(queueOrdersAndEvictsLikeAFullSort)
{
    BOOST_TEST(rc::check("same order, same evictions as a full sort", [] {
        const auto input = *generateRequests();
        const TieBreaker tieBreaker = makeTieBreaker(*rc::gen::inRange(0, 5));
        const auto capacity = *rc::gen::inRange<std::size_t>(1, 20);
        AdmissionQueue queue(QueueOrder::Ranked, capacity);
        queue.setTieBreaker(tieBreaker);
        std::vector<QueuedRequest> naive;
        const auto less = [&tieBreaker](const QueuedRequest &a, const QueuedRequest &b) {
            return precedes(a, b, tieBreaker);
        };
        for (const QueuedRequest &request : input) {
            const auto evicted = queue.push(request);
            naive.push_back(request);
            std::sort(naive.begin(), naive.end(), less);
            RC_ASSERT(evicted.has_value() == (naive.size() > capacity));
            if (evicted) {
                RC_ASSERT(*evicted == naive.back().execution);
                naive.pop_back();
            }
        }
        for (const QueuedRequest &expected : naive)
            RC_ASSERT(queue.pop(always)->execution == expected.execution);
        RC_ASSERT(!queue.pop(always).has_value());
    }));
}

BOOST_AUTO_TEST_CASE(precedesIsATotalOrder)
{
    BOOST_TEST(rc::check(
            "exactly one of two requests precedes the other, and order is transitive", [] {
                const auto input = *rc::gen::suchThat(generateRequests(),
                                                      [](const auto &c) { return c.size() >= 3; });
                const TieBreaker tieBreaker = makeTieBreaker(*rc::gen::inRange(0, 5));
                const QueuedRequest &a = input[0];
                const QueuedRequest &b = input[1];
                const QueuedRequest &c = input[2];
                RC_ASSERT(precedes(a, b, tieBreaker) != precedes(b, a, tieBreaker));
                if (precedes(a, b, tieBreaker) && precedes(b, c, tieBreaker))
                    RC_ASSERT(precedes(a, c, tieBreaker));
            }));
}

BOOST_AUTO_TEST_CASE(evictedRequestNeverOutranksOneThatStays)
{
    BOOST_TEST(rc::check("the evicted request never outranks one that stays", [] {
        const auto input = *generateRequests();
        AdmissionQueue queue(QueueOrder::Ranked, 5);
        std::vector<QueuedRequest> inside;
        for (const QueuedRequest &request : input) {
            inside.push_back(request);
            const auto evicted = queue.push(request);
            if (!evicted)
                continue;
            const auto gone
                    = std::find_if(inside.begin(), inside.end(),
                                   [&](const QueuedRequest &c) { return c.execution == *evicted; });
            const Rank rank = gone->rank;
            inside.erase(gone);
            for (const QueuedRequest &stays : inside)
                RC_ASSERT(stays.rank <= rank);
        }
    }));
}

namespace {

/// Models an upstream whose executions slow each other down when more than \a knee run at once.
struct ModelUpstream
{
    explicit ModelUpstream(double kneeAt)
        : knee(kneeAt)
    {}

    double knee;
    double baseMs = 10.0;
    std::mt19937_64 random{11};
    std::priority_queue<std::pair<std::int64_t, std::int64_t>,
                        std::vector<std::pair<std::int64_t, std::int64_t>>, std::greater<>>
            running; ///< end and start in microseconds

    void start(std::int64_t now)
    {
        std::normal_distribution<double> noise(1.0, 0.2);
        const double slow = std::max(1.0, static_cast<double>(running.size() + 1) / knee);
        const double time = baseMs * 1000.0 * slow * std::max(0.3, noise(random));
        running.emplace(now + static_cast<std::int64_t>(time), now);
    }
};

/// Starts as many executions as \a limiter allows for \a seconds from \a startTime (microseconds).
/// Returns the mean limit over the last half.
double saturate(Limiter *limiter, ModelUpstream *model, double seconds, std::int64_t startTime)
{
    double sum = 0.0;
    int count = 0;
    const auto end = startTime + static_cast<std::int64_t>(seconds * 1e6);
    for (std::int64_t now = startTime; now < end; now += 500) {
        while (!model->running.empty() && model->running.top().first <= now) {
            const std::int64_t started = model->running.top().second;
            model->running.pop();
            limiter->onEnd({OperationName{"op"}, Duration{now - started}},
                           static_cast<std::uint32_t>(model->running.size()), at(now));
        }
        while (model->running.size() < limiter->limit().value()) {
            model->start(now);
            limiter->onStart(static_cast<std::uint32_t>(model->running.size()), at(now));
        }
        if (now > (startTime + end) / 2) {
            sum += limiter->limit().value();
            ++count;
        }
    }
    return sum / count;
}

} // namespace

BOOST_AUTO_TEST_CASE(limitSettlesNearTheRealCapacityNotTheAnnouncedSlots)
{
    AdaptiveLimiter limiter;
    limiter.setCeiling(Slots{200}, at(0));
    limiter.resetEstimates(at(0));
    ModelUpstream model(20.0);
    const double found = saturate(&limiter, &model, 20.0, 0);
    // The upstream announces 200 slots, but above 20 executions it only gets slower.
    BOOST_TEST(found >= 15.0);
    BOOST_TEST(found <= 45.0);
}

BOOST_AUTO_TEST_CASE(limitReachesTheAnnouncedSlotsIfTheUpstreamCanServeThem)
{
    AdaptiveLimiter limiter;
    limiter.setCeiling(Slots{40}, at(0));
    limiter.resetEstimates(at(0));
    BOOST_TEST(limiter.limit().value() < 40);
    ModelUpstream model(1000.0);
    const double found = saturate(&limiter, &model, 10.0, 0);
    BOOST_TEST(found >= 36.0);
    BOOST_TEST(found <= 40.0);
}

BOOST_AUTO_TEST_CASE(limitRecoversAfterTheUpstreamBecomesPermanentlySlower)
{
    AdaptiveLimiter limiter;
    limiter.setCeiling(Slots{40}, at(0));
    limiter.resetEstimates(at(0));
    ModelUpstream model(1000.0);
    saturate(&limiter, &model, 10.0, 0);
    model.baseMs = 50.0;
    const double found = saturate(&limiter, &model, 60.0, 10'000'000);
    BOOST_TEST(found >= 30.0);
}

BOOST_AUTO_TEST_CASE(limitIsZeroDuringAStallUntilAnExecutionEnds)
{
    AdaptiveLimiter limiter;
    limiter.setCeiling(Slots{10}, at(0));
    limiter.resetEstimates(at(0));
    limiter.onStart(1, at(0));
    limiter.onEnd({OperationName{"op"}, Duration{5000}}, 0, at(5000));
    limiter.onStart(1, at(6000));
    limiter.tick(1, at(400'000));
    BOOST_TEST(limiter.limit().value() > 0);
    limiter.tick(1, at(700'000));
    BOOST_TEST(limiter.limit().value() == 0);
    limiter.onEnd({OperationName{"op"}, Duration{900'000}}, 0, at(900'000));
    BOOST_TEST(limiter.limit().value() > 0);
}

BOOST_AUTO_TEST_CASE(operationFarAboveTheMedianCostIsLong)
{
    CostEstimator costs;
    for (int i = 0; i < 400; ++i) {
        costs.record(OperationName{"status"}, Duration{10'000});
        if (i % 100 == 0)
            costs.record(OperationName{"export"}, Duration{500'000});
    }
    BOOST_TEST(costs.isLong(OperationName{"export"}));
    BOOST_TEST(!costs.isLong(OperationName{"status"}));
    BOOST_TEST(!costs.isLong(OperationName{"unheard"}));
}

BOOST_AUTO_TEST_CASE(slotsAreReservedForShortWorkOnlyWhileItArrives)
{
    ShortWorkReserve reserve;
    reserve.onShortArrival(Rank{1}, at(0));
    for (int i = 0; i < 7; ++i) {
        BOOST_TEST(reserve.mayStartLong(Rank{1}, Slots{10}, 0.3, at(10)));
        reserve.onStart(true);
    }
    BOOST_TEST(!reserve.mayStartLong(Rank{1}, Slots{10}, 0.3, at(10)));
    // Long work of a higher rank is not held back by short work of a lower rank.
    BOOST_TEST(reserve.mayStartLong(Rank{0}, Slots{10}, 0.3, at(10)));
    BOOST_TEST(reserve.mayStartLong(Rank{1}, Slots{10}, 0.3, at(2'000'000)));
}
