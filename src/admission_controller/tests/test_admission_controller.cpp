#define BOOST_TEST_MODULE admission_controller
#include "admission_controller/admission_controller.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <set>

using namespace buckthornford;

namespace {

constexpr WallTime wall{1'000'000'000};
const InstanceId self{"home"};
constexpr Incarnation incarnation{9};

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint{std::chrono::milliseconds(milliseconds)};
}

Preset preset()
{
    Preset preset;
    preset.classes = {{ClassName{"high"}, Rank{0}, Tokens{3}, std::chrono::seconds(1)},
                      {ClassName{"low"}, Rank{5}, Tokens{1}, std::chrono::seconds(1)}};
    return preset;
}

AdmissionController makeController(AdmissionPolicy policy = {}, std::size_t capacity = 4)
{
    AdmissionSettings settings;
    settings.self = self;
    settings.incarnation = incarnation;
    settings.policy = policy;
    settings.queueCapacity = capacity;
    return AdmissionController(settings);
}

RunRequest makeRun(std::uint64_t request, const char *className, const std::string &key = "")
{
    RunRequest run;
    run.request = RequestId{request};
    run.attempt = AttemptNumber{1};
    run.work.className = ClassName{className};
    run.work.operation = OperationName{"op"};
    run.work.idempotent = key.empty();
    run.work.key = key;
    run.timeLeft = std::chrono::seconds(1);
    run.retryBudget = Tokens{2};
    return run;
}

ReplyTo replyTo(std::uint64_t request)
{
    return {1, RequestId{request}, AttemptNumber{1}};
}

std::string freshKey()
{
    return makeKey(self, incarnation, wall, std::chrono::seconds(10)).toText();
}

template <class Action>
std::vector<Action> selectActions(const AdmissionActions &actions)
{
    std::vector<Action> found;
    for (const AdmissionAction &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

UpstreamResult answered(ExecutionId id, int status = 200)
{
    UpstreamResult result;
    result.execution = id;
    result.status = status;
    result.body = "answer";
    result.latency = std::chrono::milliseconds(5);
    return result;
}

const AdmissionPolicy fixedPolicy{LimiterKind::Fixed};

} // namespace

BOOST_AUTO_TEST_CASE(keyedRequestRunsOnceHoweverOftenItIsSent)
{
    AdmissionController controller = makeController();
    controller.attachUpstream(Slots{4}, true, at(0));
    const std::string key = freshKey();
    const auto started = selectActions<StartExecution>(
            controller.submit(makeRun(1, "high", key), replyTo(1), preset(), at(1), wall));
    BOOST_REQUIRE(started.size() == 1);
    BOOST_TEST(
            controller.submit(makeRun(2, "high", key), replyTo(2), preset(), at(2), wall).empty());
    const auto replies = selectActions<Reply>(
            controller.onExecutionEnded(answered(started[0].execution), {Tokens{2}, false}, at(3)));
    BOOST_TEST(replies.size() == 2);
    const auto again = selectActions<Reply>(
            controller.submit(makeRun(3, "high", key), replyTo(3), preset(), at(4), wall));
    BOOST_REQUIRE(again.size() == 1);
    BOOST_TEST(again[0].answer.body == "answer");
}

BOOST_AUTO_TEST_CASE(withoutDeduplicationAKeyRunsTwice)
{
    AdmissionPolicy naive{LimiterKind::Fixed, QueueOrder::FirstInFirstOut, false, false, false};
    AdmissionController controller = makeController(naive);
    controller.attachUpstream(Slots{4}, true, at(0));
    const std::string key = freshKey();
    std::size_t starts = 0;
    for (std::uint64_t i = 1; i <= 2; ++i)
        starts += selectActions<StartExecution>(controller.submit(makeRun(i, "high", key),
                                                                  replyTo(i), preset(), at(1),
                                                                  wall))
                          .size();
    BOOST_TEST(starts == 2);
}

BOOST_AUTO_TEST_CASE(refusedKeyMovesToTheAlternateAndResendsGetTheSameMovedKey)
{
    AdmissionController controller = makeController(fixedPolicy);
    RunRequest run = makeRun(1, "high", freshKey());
    run.alternate = PeerRef{InstanceId{"other"}, Incarnation{3}, "127.0.0.1:2"};
    const auto first
            = selectActions<Reply>(controller.submit(run, replyTo(1), preset(), at(1), wall));
    controller.attachUpstream(Slots{4}, true, at(2));
    const auto second
            = selectActions<Reply>(controller.submit(run, replyTo(2), preset(), at(3), wall));
    BOOST_REQUIRE((first.size() == 1 && second.size() == 1));
    BOOST_TEST((first[0].answer.reason == Error::KeyMoved));
    BOOST_TEST(first[0].answer.movedKey == second[0].answer.movedKey);
    const auto moved = IdempotencyKey::parse(first[0].answer.movedKey);
    BOOST_TEST((moved.value().owner == InstanceId{"other"}));
}

BOOST_AUTO_TEST_CASE(fullQueueRefusesTheLowestRankedRequest)
{
    AdmissionController controller = makeController(fixedPolicy, 2);
    controller.attachUpstream(Slots{1}, true, at(0));
    controller.submit(makeRun(1, "low"), replyTo(1), preset(), at(1), wall);
    controller.submit(makeRun(2, "low"), replyTo(2), preset(), at(1), wall);
    controller.submit(makeRun(3, "low"), replyTo(3), preset(), at(1), wall);
    const auto refused = selectActions<Reply>(
            controller.submit(makeRun(4, "high"), replyTo(4), preset(), at(1), wall));
    BOOST_REQUIRE(refused.size() == 1);
    BOOST_TEST((refused[0].answer.outcome == Outcome::NotRun));
    BOOST_TEST((refused[0].to != replyTo(4)));
}

/// Under overload, calls of a high-ranked and a low-ranked chain arrive on one route. The rank of
/// the chain must decide, not that of the request's own class.
BOOST_AUTO_TEST_CASE(chainRankOverridesTheRankOfTheClass)
{
    AdmissionController controller = makeController(fixedPolicy, 2);
    controller.attachUpstream(Slots{1}, true, at(0));
    RunRequest lesser = makeRun(1, "high");
    lesser.chainRank = Rank{5};
    for (std::uint64_t request = 1; request <= 3; ++request) {
        lesser.request = RequestId{request};
        controller.submit(lesser, replyTo(request), preset(), at(1), wall);
    }
    RunRequest important = makeRun(4, "low");
    important.chainRank = Rank{0};
    const auto refused
            = selectActions<Reply>(controller.submit(important, replyTo(4), preset(), at(1), wall));
    BOOST_REQUIRE(refused.size() == 1);
    BOOST_TEST((refused[0].to != replyTo(4)));
}

BOOST_AUTO_TEST_CASE(workThatCannotMeetItsDeadlineIsRefusedUnstarted)
{
    AdmissionController controller = makeController(fixedPolicy);
    controller.attachUpstream(Slots{1}, true, at(0));
    const auto first = selectActions<StartExecution>(
            controller.submit(makeRun(1, "high"), replyTo(1), preset(), at(0), wall));
    RunRequest late = makeRun(2, "high");
    late.timeLeft = std::chrono::milliseconds(50);
    controller.submit(late, replyTo(2), preset(), at(1), wall);
    const AdmissionActions actions
            = controller.onExecutionEnded(answered(first[0].execution), {}, at(48));
    BOOST_TEST(selectActions<StartExecution>(actions).empty());
    const auto replies = selectActions<Reply>(actions);
    BOOST_REQUIRE(replies.size() == 2);
    BOOST_TEST((replies[1].answer.reason == Error::DeadlineExpired));
}

BOOST_AUTO_TEST_CASE(drainingControllerRefusesNewWorkAndCompletesAcceptedWork)
{
    AdmissionController controller = makeController(fixedPolicy);
    controller.attachUpstream(Slots{1}, true, at(0));
    const auto first = selectActions<StartExecution>(
            controller.submit(makeRun(1, "high"), replyTo(1), preset(), at(0), wall));
    controller.submit(makeRun(2, "high"), replyTo(2), preset(), at(0), wall);
    controller.startDraining();
    const auto refused = selectActions<Reply>(
            controller.submit(makeRun(3, "high"), replyTo(3), preset(), at(1), wall));
    BOOST_TEST((refused[0].answer.reason == Error::TargetLeaving));
    const AdmissionActions actions
            = controller.onExecutionEnded(answered(first[0].execution), {}, at(5));
    const auto second = selectActions<StartExecution>(actions);
    BOOST_REQUIRE(second.size() == 1);
    BOOST_TEST(!controller.isIdle());
    controller.onExecutionEnded(answered(second[0].execution), {}, at(10));
    BOOST_TEST(controller.isIdle());
}

BOOST_AUTO_TEST_CASE(reportedLoadRaisesButNeverLowersTheAdvertisedLoad)
{
    AdmissionController controller = makeController(fixedPolicy);
    controller.attachUpstream(Slots{4}, true, at(0));
    controller.submit(makeRun(1, "high"), replyTo(1), preset(), at(1), wall);
    controller.setReportedLoad(0, at(2));
    BOOST_TEST(controller.load().inFlight == 1);
    controller.setReportedLoad(9, at(3));
    BOOST_TEST(controller.load().inFlight == 9);
    controller.tick(at(4000), wall);
    BOOST_TEST(controller.load().inFlight == 1);
}

BOOST_AUTO_TEST_CASE(fastFailuresDoNotLowerTheLimit)
{
    AdmissionController controller = makeController({}, 100);
    controller.attachUpstream(Slots{16}, true, at(0));
    std::uint64_t sent = 0;
    std::deque<std::pair<std::int64_t, ExecutionId>> running;
    const auto collect = [&](const AdmissionActions &actions, std::int64_t now) {
        for (const auto &start : selectActions<StartExecution>(actions))
            running.emplace_back(now + (sent % 2 == 0 ? 1 : 20), start.execution);
    };
    for (std::int64_t now = 0; now < 5000; ++now) {
        ++sent;
        collect(controller.submit(makeRun(sent, "high"), replyTo(sent), preset(), at(now), wall),
                now);
        while (!running.empty() && running.front().first <= now) {
            const auto [end, id] = running.front();
            running.pop_front();
            UpstreamResult result = answered(id, sent % 2 == 0 ? 503 : 200);
            result.latency = std::chrono::milliseconds(sent % 2 == 0 ? 1 : 20);
            collect(controller.onExecutionEnded(result, {}, at(now)), now);
        }
    }
    BOOST_TEST(controller.load().limit >= 12);
}

BOOST_AUTO_TEST_CASE(lostConnectionLeavesTheOutcomeUnknown)
{
    AdmissionController controller = makeController(fixedPolicy);
    controller.attachUpstream(Slots{1}, true, at(0));
    const auto first = selectActions<StartExecution>(
            controller.submit(makeRun(1, "high", freshKey()), replyTo(1), preset(), at(0), wall));
    UpstreamResult lost = answered(first[0].execution);
    lost.end = UpstreamResult::End::ConnectionLost;
    const auto replies = selectActions<Reply>(controller.onExecutionEnded(lost, {}, at(5)));
    BOOST_TEST((replies[0].answer.outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(everyRunGetsOneReplyAndSlotsAreNeverExceeded)
{
    BOOST_TEST(rc::check("one reply for each run, in-flight within the slots", [] {
        AdmissionController controller = makeController(fixedPolicy, 3);
        controller.attachUpstream(Slots{2}, true, at(0));
        std::map<std::uint64_t, int> replies;
        std::vector<ExecutionId> running;
        const auto collect = [&](const AdmissionActions &actions) {
            for (const auto &start : selectActions<StartExecution>(actions))
                running.push_back(start.execution);
            for (const auto &reply : selectActions<Reply>(actions))
                ++replies[reply.to.request.value()];
            RC_ASSERT(running.size() <= 2);
        };
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
        std::uint64_t sent = 0;
        std::int64_t now = 0;
        for (const int step : steps) {
            now += 3;
            if (step <= 3) {
                ++sent;
                const char *className = step % 2 == 0 ? "high" : "low";
                const std::string key = step == 3 ? freshKey() : "";
                collect(controller.submit(makeRun(sent, className, key), replyTo(sent), preset(),
                                          at(now), wall));
            } else if (step <= 5 && !running.empty()) {
                const ExecutionId id = running.front();
                running.erase(running.begin());
                UpstreamResult result = answered(id, step == 4 ? 200 : 500);
                collect(controller.onExecutionEnded(result, {}, at(now)));
            } else if (step == 6 && sent > 0) {
                for (const auto &cancel :
                     selectActions<CancelExecution>(controller.cancel(replyTo(sent), at(now))))
                    RC_ASSERT(std::find(running.begin(), running.end(), cancel.execution)
                              != running.end());
            } else {
                collect(controller.tick(at(now), wall));
            }
        }
        while (!running.empty()) {
            const ExecutionId id = running.front();
            running.erase(running.begin());
            collect(controller.onExecutionEnded(answered(id), {}, at(now)));
        }
        for (const auto &[request, count] : replies)
            RC_ASSERT(count == 1);
    }));
}

BOOST_AUTO_TEST_CASE(requestQueuedLongerThanItsMaxWaitIsRefusedNotRun)
{
    AdmissionPolicy policy;
    policy.limiter = LimiterKind::Fixed;
    policy.maxQueueWaitShare = 0.125;
    AdmissionController controller = makeController(policy);
    controller.attachUpstream(Slots{1}, true, at(0));
    Preset objectives = preset();
    objectives.classes[0].objective = std::chrono::milliseconds(400);
    controller.submit(makeRun(1, "high"), replyTo(1), objectives, at(0), wall);
    controller.submit(makeRun(2, "high"), replyTo(2), objectives, at(0), wall);
    controller.submit(makeRun(3, "low"), replyTo(3), objectives, at(0), wall);
    BOOST_TEST(selectActions<Reply>(controller.tick(at(49), wall)).empty());
    const auto refused = selectActions<Reply>(controller.tick(at(50), wall));
    BOOST_TEST(refused.size() == 1U);
    BOOST_TEST((refused[0].answer.outcome == Outcome::NotRun));
    BOOST_TEST(!refused[0].answer.reachedUpstream);
}

/// Work that is running and not idempotent must continue after its stream has ended.
BOOST_AUTO_TEST_CASE(endedStreamCancelsQueuedAndIdempotentWorkOnly)
{
    AdmissionPolicy policy;
    policy.limiter = LimiterKind::Fixed;
    policy.deduplicatesKeys = false;
    AdmissionController controller = makeController(policy);
    controller.attachUpstream(Slots{2}, true, at(0));
    RunRequest unsafe = makeRun(2, "low");
    unsafe.work.idempotent = false;
    RunRequest waiting = makeRun(3, "low");
    waiting.work.idempotent = false;
    controller.submit(makeRun(1, "low"), replyTo(1), preset(), at(0), wall);
    controller.submit(unsafe, replyTo(2), preset(), at(0), wall);
    controller.submit(waiting, replyTo(3), preset(), at(0), wall);
    const AdmissionActions actions = controller.cancelStream(1, at(1));
    BOOST_TEST(selectActions<CancelExecution>(actions).size() == 1U);
    BOOST_TEST(selectActions<Reply>(actions).size() == 1U);
    BOOST_TEST(controller.inFlight() == 2U);
    BOOST_TEST(controller.queued() == 0U);
}

BOOST_AUTO_TEST_CASE(relaxedDeadlineCheckStartsLateWorkWhileTheQueueIsEmpty)
{
    const auto startedWith = [](bool relaxesDeadlineCheck, std::int64_t timeLeft) {
        AdmissionPolicy policy;
        policy.limiter = LimiterKind::Fixed;
        policy.relaxesDeadlineCheckWhenQueueEmpty = relaxesDeadlineCheck;
        AdmissionController controller = makeController(policy);
        controller.attachUpstream(Slots{4}, true, at(0));
        for (std::uint64_t i = 1; i <= 20; ++i) {
            const auto started = selectActions<StartExecution>(
                    controller.submit(makeRun(i, "high"), replyTo(i), preset(), at(0), wall));
            UpstreamResult result = answered(started[0].execution);
            result.latency = std::chrono::milliseconds(100);
            controller.onExecutionEnded(result, {}, at(0));
        }
        RunRequest late = makeRun(99, "high");
        late.timeLeft = std::chrono::milliseconds(timeLeft);
        return selectActions<StartExecution>(
                       controller.submit(late, replyTo(99), preset(), at(0), wall))
                .size();
    };
    BOOST_TEST(startedWith(false, 60) == 0U);
    BOOST_TEST(startedWith(true, 60) == 1U);
    BOOST_TEST(startedWith(true, 30) == 0U);
}

BOOST_AUTO_TEST_CASE(refuseQueuedRefusesAllQueuedWorkAsRetryable)
{
    AdmissionPolicy policy;
    policy.limiter = LimiterKind::Fixed;
    AdmissionController controller = makeController(policy);
    controller.attachUpstream(Slots{1}, true, at(0));
    for (std::uint64_t i = 1; i <= 3; ++i)
        controller.submit(makeRun(i, "low"), replyTo(i), preset(), at(0), wall);
    const auto refused = selectActions<Reply>(controller.refuseQueued(Error::TargetLeaving));
    BOOST_TEST(refused.size() == 2U);
    BOOST_TEST(refused[0].answer.retryable);
    BOOST_TEST(controller.inFlight() == 1U);
}
