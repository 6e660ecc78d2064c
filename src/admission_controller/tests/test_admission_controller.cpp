#define BOOST_TEST_MODULE gate
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

AdmissionController makeGate(AdmissionPolicy policy = {}, std::size_t capacity = 4)
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
std::vector<Action> only(const AdmissionActions &actions)
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

BOOST_AUTO_TEST_CASE(aKeyedRequestRunsOnceForAllItsSends)
{
    AdmissionController gate = makeGate();
    gate.attachUpstream(Slots{4}, true, at(0));
    const std::string key = freshKey();
    const auto started = only<StartExecution>(
            gate.submit(makeRun(1, "high", key), replyTo(1), preset(), at(1), wall));
    BOOST_REQUIRE(started.size() == 1);
    BOOST_TEST(gate.submit(makeRun(2, "high", key), replyTo(2), preset(), at(2), wall).empty());
    const auto replies = only<Reply>(
            gate.onExecutionEnded(answered(started[0].execution), {Tokens{2}, false}, at(3)));
    BOOST_TEST(replies.size() == 2);
    const auto again
            = only<Reply>(gate.submit(makeRun(3, "high", key), replyTo(3), preset(), at(4), wall));
    BOOST_REQUIRE(again.size() == 1);
    BOOST_TEST(again[0].answer.body == "answer");
}

BOOST_AUTO_TEST_CASE(theNaiveGateRunsAKeyTwice)
{
    AdmissionPolicy naive{LimiterKind::Fixed, QueueOrder::FirstInFirstOut, false, false, false};
    AdmissionController gate = makeGate(naive);
    gate.attachUpstream(Slots{4}, true, at(0));
    const std::string key = freshKey();
    std::size_t starts = 0;
    for (std::uint64_t i = 1; i <= 2; ++i)
        starts += only<StartExecution>(
                          gate.submit(makeRun(i, "high", key), replyTo(i), preset(), at(1), wall))
                          .size();
    BOOST_TEST(starts == 2);
}

BOOST_AUTO_TEST_CASE(aRefusedKeyMovesToTheAlternateOnceForAll)
{
    AdmissionController gate = makeGate(fixedPolicy);
    RunRequest run = makeRun(1, "high", freshKey());
    run.alternate = PeerRef{InstanceId{"other"}, Incarnation{3}, "127.0.0.1:2"};
    const auto first = only<Reply>(gate.submit(run, replyTo(1), preset(), at(1), wall));
    gate.attachUpstream(Slots{4}, true, at(2));
    const auto second = only<Reply>(gate.submit(run, replyTo(2), preset(), at(3), wall));
    BOOST_REQUIRE((first.size() == 1 && second.size() == 1));
    BOOST_TEST((first[0].answer.reason == Error::KeyMoved));
    BOOST_TEST(first[0].answer.movedKey == second[0].answer.movedKey);
    const auto moved = IdempotencyKey::parse(first[0].answer.movedKey);
    BOOST_TEST((moved.value().owner == InstanceId{"other"}));
}

BOOST_AUTO_TEST_CASE(lesserWorkIsShedFirst)
{
    AdmissionController gate = makeGate(fixedPolicy, 2);
    gate.attachUpstream(Slots{1}, true, at(0));
    gate.submit(makeRun(1, "low"), replyTo(1), preset(), at(1), wall);
    gate.submit(makeRun(2, "low"), replyTo(2), preset(), at(1), wall);
    gate.submit(makeRun(3, "low"), replyTo(3), preset(), at(1), wall);
    const auto refused
            = only<Reply>(gate.submit(makeRun(4, "high"), replyTo(4), preset(), at(1), wall));
    BOOST_REQUIRE(refused.size() == 1);
    BOOST_TEST((refused[0].answer.outcome == Outcome::NotRun));
    BOOST_TEST((refused[0].to != replyTo(4)));
}

/// The load of a crest: calls of an important chain and of a lesser one on one route.
BOOST_AUTO_TEST_CASE(theRankOfTheChainGoesBeforeTheRoutes)
{
    AdmissionController gate = makeGate(fixedPolicy, 2);
    gate.attachUpstream(Slots{1}, true, at(0));
    RunRequest lesser = makeRun(1, "high");
    lesser.chainRank = Rank{5};
    for (std::uint64_t request = 1; request <= 3; ++request) {
        lesser.request = RequestId{request};
        gate.submit(lesser, replyTo(request), preset(), at(1), wall);
    }
    RunRequest important = makeRun(4, "low");
    important.chainRank = Rank{0};
    const auto refused = only<Reply>(gate.submit(important, replyTo(4), preset(), at(1), wall));
    BOOST_REQUIRE(refused.size() == 1);
    BOOST_TEST((refused[0].to != replyTo(4)));
}

BOOST_AUTO_TEST_CASE(hopelessWorkNeverTakesASlot)
{
    AdmissionController gate = makeGate(fixedPolicy);
    gate.attachUpstream(Slots{1}, true, at(0));
    const auto first = only<StartExecution>(
            gate.submit(makeRun(1, "high"), replyTo(1), preset(), at(0), wall));
    RunRequest late = makeRun(2, "high");
    late.timeLeft = std::chrono::milliseconds(50);
    gate.submit(late, replyTo(2), preset(), at(1), wall);
    const AdmissionActions actions
            = gate.onExecutionEnded(answered(first[0].execution), {}, at(48));
    BOOST_TEST(only<StartExecution>(actions).empty());
    const auto replies = only<Reply>(actions);
    BOOST_REQUIRE(replies.size() == 2);
    BOOST_TEST((replies[1].answer.reason == Error::DeadlineExpired));
}

BOOST_AUTO_TEST_CASE(aDrainingGateFinishesWhatItHas)
{
    AdmissionController gate = makeGate(fixedPolicy);
    gate.attachUpstream(Slots{1}, true, at(0));
    const auto first = only<StartExecution>(
            gate.submit(makeRun(1, "high"), replyTo(1), preset(), at(0), wall));
    gate.submit(makeRun(2, "high"), replyTo(2), preset(), at(0), wall);
    gate.startDraining();
    const auto refused
            = only<Reply>(gate.submit(makeRun(3, "high"), replyTo(3), preset(), at(1), wall));
    BOOST_TEST((refused[0].answer.reason == Error::TargetLeaving));
    const AdmissionActions actions = gate.onExecutionEnded(answered(first[0].execution), {}, at(5));
    const auto second = only<StartExecution>(actions);
    BOOST_REQUIRE(second.size() == 1);
    BOOST_TEST(!gate.isIdle());
    gate.onExecutionEnded(answered(second[0].execution), {}, at(10));
    BOOST_TEST(gate.isIdle());
}

BOOST_AUTO_TEST_CASE(aReportOnlyMakesTheLoadLookWorse)
{
    AdmissionController gate = makeGate(fixedPolicy);
    gate.attachUpstream(Slots{4}, true, at(0));
    gate.submit(makeRun(1, "high"), replyTo(1), preset(), at(1), wall);
    gate.setReportedLoad(0, at(2));
    BOOST_TEST(gate.load().inFlight == 1);
    gate.setReportedLoad(9, at(3));
    BOOST_TEST(gate.load().inFlight == 9);
    gate.tick(at(4000), wall);
    BOOST_TEST(gate.load().inFlight == 1);
}

BOOST_AUTO_TEST_CASE(fastFailuresDoNotLowerTheLimit)
{
    AdmissionController gate = makeGate({}, 100);
    gate.attachUpstream(Slots{16}, true, at(0));
    std::uint64_t sent = 0;
    std::deque<std::pair<std::int64_t, ExecutionId>> running;
    const auto take = [&](const AdmissionActions &actions, std::int64_t now) {
        for (const auto &start : only<StartExecution>(actions))
            running.emplace_back(now + (sent % 2 == 0 ? 1 : 20), start.execution);
    };
    for (std::int64_t now = 0; now < 5000; ++now) {
        ++sent;
        take(gate.submit(makeRun(sent, "high"), replyTo(sent), preset(), at(now), wall), now);
        while (!running.empty() && running.front().first <= now) {
            const auto [end, id] = running.front();
            running.pop_front();
            UpstreamResult result = answered(id, sent % 2 == 0 ? 503 : 200);
            result.latency = std::chrono::milliseconds(sent % 2 == 0 ? 1 : 20);
            take(gate.onExecutionEnded(result, {}, at(now)), now);
        }
    }
    BOOST_TEST(gate.load().limit >= 12);
}

BOOST_AUTO_TEST_CASE(aLostUpstreamLeavesTheOutcomeUnknown)
{
    AdmissionController gate = makeGate(fixedPolicy);
    gate.attachUpstream(Slots{1}, true, at(0));
    const auto first = only<StartExecution>(
            gate.submit(makeRun(1, "high", freshKey()), replyTo(1), preset(), at(0), wall));
    UpstreamResult lost = answered(first[0].execution);
    lost.end = UpstreamResult::End::ConnectionLost;
    const auto replies = only<Reply>(gate.onExecutionEnded(lost, {}, at(5)));
    BOOST_TEST((replies[0].answer.outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(everyRunGetsOneReplyAndSlotsAreNeverExceeded)
{
    BOOST_TEST(rc::check("one reply for each run, in-flight within the slots", [] {
        AdmissionController gate = makeGate(fixedPolicy, 3);
        gate.attachUpstream(Slots{2}, true, at(0));
        std::map<std::uint64_t, int> replies;
        std::vector<ExecutionId> running;
        const auto take = [&](const AdmissionActions &actions) {
            for (const auto &start : only<StartExecution>(actions))
                running.push_back(start.execution);
            for (const auto &reply : only<Reply>(actions))
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
                take(gate.submit(makeRun(sent, className, key), replyTo(sent), preset(), at(now),
                                 wall));
            } else if (step <= 5 && !running.empty()) {
                const ExecutionId id = running.front();
                running.erase(running.begin());
                UpstreamResult result = answered(id, step == 4 ? 200 : 500);
                take(gate.onExecutionEnded(result, {}, at(now)));
            } else if (step == 6 && sent > 0) {
                for (const auto &cancel :
                     only<CancelExecution>(gate.cancel(replyTo(sent), at(now))))
                    RC_ASSERT(std::find(running.begin(), running.end(), cancel.execution)
                              != running.end());
            } else {
                take(gate.tick(at(now), wall));
            }
        }
        while (!running.empty()) {
            const ExecutionId id = running.front();
            running.erase(running.begin());
            take(gate.onExecutionEnded(answered(id), {}, at(now)));
        }
        for (const auto &[request, count] : replies)
            RC_ASSERT(count == 1);
    }));
}

BOOST_AUTO_TEST_CASE(whatWaitsBeyondItsPatienceIsRefusedUnrun)
{
    AdmissionPolicy policy;
    policy.limiter = LimiterKind::Fixed;
    policy.maxQueueWaitShare = 0.125;
    AdmissionController gate = makeGate(policy);
    gate.attachUpstream(Slots{1}, true, at(0));
    Preset objectives = preset();
    objectives.classes[0].objective = std::chrono::milliseconds(400);
    gate.submit(makeRun(1, "high"), replyTo(1), objectives, at(0), wall);
    gate.submit(makeRun(2, "high"), replyTo(2), objectives, at(0), wall);
    gate.submit(makeRun(3, "low"), replyTo(3), objectives, at(0), wall);
    BOOST_TEST(only<Reply>(gate.tick(at(49), wall)).empty());
    const auto refused = only<Reply>(gate.tick(at(50), wall));
    BOOST_TEST(refused.size() == 1U);
    BOOST_TEST((refused[0].answer.outcome == Outcome::NotRun));
    BOOST_TEST(!refused[0].answer.reachedUpstream);
}

/// A stream that ended takes its idempotent and its waiting work along, nothing else.
BOOST_AUTO_TEST_CASE(anEndedChannelStopsWhatCanBeRunElsewhere)
{
    AdmissionPolicy policy;
    policy.limiter = LimiterKind::Fixed;
    policy.deduplicatesKeys = false;
    AdmissionController gate = makeGate(policy);
    gate.attachUpstream(Slots{2}, true, at(0));
    RunRequest unsafe = makeRun(2, "low");
    unsafe.work.idempotent = false;
    RunRequest waiting = makeRun(3, "low");
    waiting.work.idempotent = false;
    gate.submit(makeRun(1, "low"), replyTo(1), preset(), at(0), wall);
    gate.submit(unsafe, replyTo(2), preset(), at(0), wall);
    gate.submit(waiting, replyTo(3), preset(), at(0), wall);
    const AdmissionActions actions = gate.cancelStream(1, at(1));
    BOOST_TEST(only<CancelExecution>(actions).size() == 1U);
    BOOST_TEST(only<Reply>(actions).size() == 1U);
    BOOST_TEST(gate.inFlight() == 2U);
    BOOST_TEST(gate.queued() == 0U);
}

BOOST_AUTO_TEST_CASE(workWithLittleTimeGetsItsChanceWhileNothingWaits)
{
    const auto startedWith = [](bool chancesLate, std::int64_t timeLeft) {
        AdmissionPolicy policy;
        policy.limiter = LimiterKind::Fixed;
        policy.relaxesDeadlineCheckWhenQueueEmpty = chancesLate;
        AdmissionController gate = makeGate(policy);
        gate.attachUpstream(Slots{4}, true, at(0));
        for (std::uint64_t i = 1; i <= 20; ++i) {
            const auto started = only<StartExecution>(
                    gate.submit(makeRun(i, "high"), replyTo(i), preset(), at(0), wall));
            UpstreamResult result = answered(started[0].execution);
            result.latency = std::chrono::milliseconds(100);
            gate.onExecutionEnded(result, {}, at(0));
        }
        RunRequest late = makeRun(99, "high");
        late.timeLeft = std::chrono::milliseconds(timeLeft);
        return only<StartExecution>(gate.submit(late, replyTo(99), preset(), at(0), wall)).size();
    };
    BOOST_TEST(startedWith(false, 60) == 0U);
    BOOST_TEST(startedWith(true, 60) == 1U);
    BOOST_TEST(startedWith(true, 30) == 0U);
}

BOOST_AUTO_TEST_CASE(allThatWaitsCanBeHandedElsewhere)
{
    AdmissionPolicy policy;
    policy.limiter = LimiterKind::Fixed;
    AdmissionController gate = makeGate(policy);
    gate.attachUpstream(Slots{1}, true, at(0));
    for (std::uint64_t i = 1; i <= 3; ++i)
        gate.submit(makeRun(i, "low"), replyTo(i), preset(), at(0), wall);
    const auto refused = only<Reply>(gate.refuseQueued(Error::TargetLeaving));
    BOOST_TEST(refused.size() == 2U);
    BOOST_TEST(refused[0].answer.retryable);
    BOOST_TEST(gate.inFlight() == 1U);
}
