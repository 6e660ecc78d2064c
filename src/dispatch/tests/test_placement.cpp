#define BOOST_TEST_MODULE reroute
#include "dispatch/dispatch.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace buckthornford;

namespace {

constexpr std::uint32_t freeReroutes = 4;
const TimePoint start{std::chrono::seconds(1)};
const WallTime noWall{0};

/// A dispatcher with the policy of the platform node but without hedges: no idempotency keys, and
/// upstreams that do not propagate the context of requests. One service has six targets.
struct PlatformPolicyFixture
{
    PlatformPolicyFixture()
    {
        DispatchPolicy policy;
        policy.loadBalancer = LoadBalancerKind::LeastCost;
        policy.chooseRetry = chooseRetryWithoutKeys;
        policy.usesIdempotencyKeys = false;
        policy.hedges = false;
        policy.freeReroutes = freeReroutes;
        policy.retryRatioPerService = true;
        policy.propagatesContext = false;
        policy.maxRetryAfter = std::chrono::milliseconds(400);
        DispatchSettings settings;
        settings.location = {InstanceId{"e"}, ZoneName{"z"}, RegionName{"r"}};
        settings.policy = policy;
        settings.ratio = {0.1, 2.0};
        dispatcher = std::make_unique<CallDispatcher>(settings);
        std::vector<Target> targets;
        std::vector<DirectoryEntry> directory;
        for (const char *name : {"a", "b", "c", "d", "e", "f"}) {
            const PeerRef peer{InstanceId{name}, Incarnation{1}, ""};
            targets.push_back({peer, service, ZoneName{"z"}, RegionName{"r"}, Slots{4}});
            directory.push_back({peer, service});
        }
        dispatcher->setView(targets, directory, start);
        Preset preset;
        preset.name = PresetName{"only"};
        preset.classes = {{ClassName{"class"}, Rank{0}, Tokens{1}, std::chrono::seconds(1)}};
        Configuration configuration;
        configuration.revision = Revision{1};
        configuration.document.activePresetName = preset.name;
        configuration.document.presets.emplace(preset.name, preset);
        history.accept(configuration);
    }

    DispatchActions startCall(bool idempotent, std::optional<ExecutionId> parent = std::nullopt)
    {
        CallRequest request;
        request.parent = parent;
        request.work.service = service;
        request.work.operation = OperationName{"op"};
        request.work.className = ClassName{"class"};
        request.work.idempotent = idempotent;
        return dispatcher->startCall(RequestId{++lastRequest}, request, history, start, noWall);
    }

    static const SendRun *findSend(const DispatchActions &actions)
    {
        for (const DispatchAction &action : actions) {
            if (const auto *run = std::get_if<SendRun>(&action))
                return run;
        }
        return nullptr;
    }

    static const CallResult *findResult(const DispatchActions &actions)
    {
        for (const DispatchAction &action : actions) {
            if (const auto *finish = std::get_if<FinishCall>(&action))
                return &finish->result;
        }
        return nullptr;
    }

    DispatchActions answerWith(const SendRun &run, Outcome outcome, bool reachedUpstream,
                               int status = 0)
    {
        Answer answer = makeRefusal(run.run, Error::UpstreamFailed, true);
        answer.outcome = outcome;
        answer.reachedUpstream = reachedUpstream;
        answer.status = status;
        return dispatcher->onAnswer(run.to.instance, answer, start, noWall);
    }

    const ServiceName service{"s"};
    std::unique_ptr<CallDispatcher> dispatcher;
    ConfigurationHistory history;
    std::uint64_t lastRequest = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(attemptsThatReachedNoUpstreamAreReroutedAtNoCost, PlatformPolicyFixture)
{
    for (int call = 0; call < 20; ++call) {
        DispatchActions actions = startCall(false);
        std::set<std::string> targets;
        int attempts = 0;
        while (const SendRun *run = findSend(actions)) {
            targets.insert(run->to.instance.value());
            ++attempts;
            actions = answerWith(SendRun(*run), Outcome::NotRun, false);
        }
        // One attempt more than the free reroutes where the retry ratio still allows the call's
        // retry.
        BOOST_TEST(attempts >= 1 + static_cast<int>(freeReroutes));
        BOOST_TEST(static_cast<int>(targets.size()) == attempts);
        BOOST_REQUIRE(findResult(actions) != nullptr);
        BOOST_TEST((findResult(actions)->answer.outcome == Outcome::NotRun));
    }
}

/// The upstream does not return retry budget, so none may be lent to it, or the retry would be
/// lost.
BOOST_FIXTURE_TEST_CASE(failedIdempotentWorkIsRetriedOnce, PlatformPolicyFixture)
{
    DispatchActions actions = startCall(true);
    const SendRun first = *findSend(actions);
    BOOST_TEST(first.run.retryBudget.value() == 0U);
    actions = answerWith(first, Outcome::Failed, true, 500);
    BOOST_REQUIRE(findSend(actions) != nullptr);
    BOOST_TEST((findSend(actions)->to.instance != first.to.instance));
    actions = answerWith(SendRun(*findSend(actions)), Outcome::Failed, true, 500);
    BOOST_TEST(findSend(actions) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(nonIdempotentWorkWithUnknownOutcomeIsNotRetried, PlatformPolicyFixture)
{
    DispatchActions actions = startCall(false);
    actions = answerWith(SendRun(*findSend(actions)), Outcome::Unknown, true);
    BOOST_TEST(findSend(actions) == nullptr);
    BOOST_TEST((findResult(actions)->answer.outcome == Outcome::Unknown));
}

/// An attempt may have run, so the later refusals do not make the call "not run".
BOOST_FIXTURE_TEST_CASE(refusalAfterUnknownOutcomeEndsUnknown, PlatformPolicyFixture)
{
    DispatchActions actions = startCall(true);
    actions = answerWith(SendRun(*findSend(actions)), Outcome::Unknown, true);
    while (const SendRun *run = findSend(actions))
        actions = answerWith(SendRun(*run), Outcome::NotRun, false);
    BOOST_TEST((findResult(actions)->answer.outcome == Outcome::Unknown));
}

BOOST_FIXTURE_TEST_CASE(upstreamFailureTakesPrecedenceOverLaterRefusal, PlatformPolicyFixture)
{
    DispatchActions actions = startCall(true);
    actions = answerWith(SendRun(*findSend(actions)), Outcome::Failed, true, 500);
    while (const SendRun *run = findSend(actions))
        actions = answerWith(SendRun(*run), Outcome::NotRun, false);
    BOOST_TEST((findResult(actions)->answer.outcome == Outcome::Failed));
    BOOST_TEST(findResult(actions)->answer.status == 500);
}

/// Retries to a service stay within the burst of 2 and the ratio of 0.1 of its requests.
BOOST_FIXTURE_TEST_CASE(retriesStayWithinRetryRatio, PlatformPolicyFixture)
{
    int repeats = 0;
    constexpr int calls = 200;
    for (int call = 0; call < calls; ++call) {
        DispatchActions actions = startCall(true);
        actions = answerWith(SendRun(*findSend(actions)), Outcome::Failed, true, 500);
        if (findSend(actions) == nullptr)
            continue;
        ++repeats;
        (void)answerWith(SendRun(*findSend(actions)), Outcome::Failed, true, 500);
    }
    BOOST_TEST(repeats <= 2 + calls / 10);
    BOOST_TEST(repeats >= calls / 10);
}

BOOST_FIXTURE_TEST_CASE(retryAfterIsRandomAndWithinThirdOfTimeLeft, PlatformPolicyFixture)
{
    std::set<Duration> delays;
    for (int call = 0; call < 20; ++call) {
        DispatchActions actions = startCall(false);
        while (const SendRun *run = findSend(actions))
            actions = answerWith(SendRun(*run), Outcome::NotRun, false);
        const Duration delay = findResult(actions)->answer.retryAfter;
        BOOST_TEST((delay > Duration{0}));
        BOOST_TEST((delay <= std::chrono::milliseconds(334)));
        delays.insert(delay);
    }
    BOOST_TEST(delays.size() > 15U);
}

/// Guards against a repeated run: the end of an older stream to a target was taken to mean that an
/// attempt on a newer stream had not been sent, and the attempt was sent a second time.
BOOST_FIXTURE_TEST_CASE(endOfAnotherStreamDoesNotEndAttempt, PlatformPolicyFixture)
{
    DispatchActions actions = startCall(false);
    const SendRun first = *findSend(actions);
    const AttemptRef other{RequestId{999}, AttemptNumber{1}};
    actions = dispatcher->onStreamEnded(first.to.instance, false, {other}, start, noWall);
    BOOST_TEST(actions.empty());
    actions = dispatcher->onStreamEnded(first.to.instance, false,
                                        {{first.run.request, first.run.attempt}}, start, noWall);
    BOOST_REQUIRE(findSend(actions) != nullptr);
    const SendRun second = *findSend(actions);
    actions = dispatcher->onStreamEnded(second.to.instance, true,
                                        {{second.run.request, second.run.attempt}}, start, noWall);
    BOOST_TEST(findSend(actions) == nullptr);
    BOOST_TEST((findResult(actions)->answer.outcome == Outcome::Unknown));
}

/// The rank of the execution that makes a call applies, whatever the rank of the call's own route.
BOOST_FIXTURE_TEST_CASE(callInheritsRankAndDeadlineOfItsExecution, PlatformPolicyFixture)
{
    const ExecutionId parent{77};
    dispatcher->onExecutionStarted(parent, RunRequest{}, Rank{3},
                                   start + std::chrono::milliseconds(200));
    const DispatchActions actions = startCall(true, parent);
    const SendRun *run = findSend(actions);
    BOOST_REQUIRE(run != nullptr);
    BOOST_REQUIRE(run->run.chainRank.has_value());
    BOOST_TEST(run->run.chainRank->value() == 3U);
    BOOST_TEST((run->run.timeLeft <= std::chrono::milliseconds(200)));
    // The call has its own retries: an execution lends none where the context is not propagated.
    BOOST_TEST((findSend(answerWith(SendRun(*run), Outcome::NotRun, true)) != nullptr));
}

/// The hop next to a failure has already made the allowed retries; the hops above must not retry.
BOOST_FIXTURE_TEST_CASE(failedCallMakesItsExecutionFailPermanently, PlatformPolicyFixture)
{
    const ExecutionId parent{77};
    dispatcher->onExecutionStarted(parent, RunRequest{}, Rank{0},
                                   start + std::chrono::milliseconds(200));
    DispatchActions actions = startCall(false, parent);
    const SendRun run = *findSend(actions);
    actions = answerWith(run, Outcome::Unknown, true);
    BOOST_REQUIRE(findResult(actions) != nullptr);
    DispatchActions cancelActions;
    BOOST_TEST(
            dispatcher->onExecutionEnded(parent, start, noWall, &cancelActions).failedPermanently);
}

BOOST_FIXTURE_TEST_CASE(requestOutsideAnyExecutionHasNoChainRank, PlatformPolicyFixture)
{
    const DispatchActions actions = startCall(true);
    BOOST_TEST(!findSend(actions)->run.chainRank.has_value());
}

BOOST_FIXTURE_TEST_CASE(attemptAfterOneThatReachedAnUpstreamIsMarkedAsRepeat, PlatformPolicyFixture)
{
    DispatchActions actions = startCall(true);
    BOOST_TEST(!findSend(actions)->run.isRepeat);
    actions = answerWith(SendRun(*findSend(actions)), Outcome::NotRun, false);
    BOOST_TEST(!findSend(actions)->run.isRepeat); // It reached no upstream.
    actions = answerWith(SendRun(*findSend(actions)), Outcome::Failed, true, 500);
    BOOST_REQUIRE(findSend(actions) != nullptr);
    BOOST_TEST(findSend(actions)->run.isRepeat);
}

/// Half of all calls fail, and some are made by runs that are repeats themselves. The retries of
/// the former and the calls of the latter count toward the same ratio.
BOOST_FIXTURE_TEST_CASE(retriesAndCallsOfRepeatedRunsShareOneRatio, PlatformPolicyFixture)
{
    constexpr int executions = 2000;
    constexpr int callsEach = 4;
    int repeats = 0;
    for (int i = 0; i < executions; ++i) {
        const ExecutionId parent{static_cast<std::uint64_t>(1000 + i)};
        RunRequest run;
        run.isRepeat = i % 14 == 0; // a share of 0.07, below the ratio of 0.1
        dispatcher->onExecutionStarted(parent, run, Rank{0}, start + std::chrono::seconds(1));
        for (int call = 0; call < callsEach; ++call) {
            DispatchActions actions = startCall(true, parent);
            BOOST_REQUIRE(findSend(actions) != nullptr);
            BOOST_TEST(findSend(actions)->run.isRepeat == run.isRepeat);
            repeats += run.isRepeat ? 1 : 0;
            if ((i + call) % 2 != 0)
                continue;
            actions = answerWith(SendRun(*findSend(actions)), Outcome::Failed, true, 500);
            repeats += findSend(actions) != nullptr ? 1 : 0;
        }
        DispatchActions cancelActions;
        (void)dispatcher->onExecutionEnded(parent, start, noWall, &cancelActions);
    }
    BOOST_TEST(repeats <= 2 + executions * callsEach / 10);
    BOOST_TEST(repeats >= executions * callsEach * 9 / 100);
}

BOOST_FIXTURE_TEST_CASE(openCallsEndUnknownWhenTheTimeOfAStopIsUp, PlatformPolicyFixture)
{
    BOOST_TEST(findSend(startCall(false)) != nullptr);
    const TimePoint callsDueBy = start + std::chrono::milliseconds(400);
    dispatcher->endCallsBy(callsDueBy, callsDueBy - std::chrono::milliseconds(150));
    BOOST_TEST(dispatcher->tick(callsDueBy - std::chrono::milliseconds(1), noWall).empty());
    const DispatchActions actions = dispatcher->tick(callsDueBy, noWall);
    const CallResult *result = findResult(actions);
    BOOST_REQUIRE(result != nullptr);
    BOOST_TEST((result->answer.outcome == Outcome::Unknown));
    BOOST_TEST(dispatcher->openCalls() == 0);
}

BOOST_FIXTURE_TEST_CASE(noRetryStartsThatCannotEndBeforeTheStop, PlatformPolicyFixture)
{
    const DispatchActions sent = startCall(true);
    const SendRun *run = findSend(sent);
    BOOST_REQUIRE(run != nullptr);
    const TimePoint executionsDueBy = start + std::chrono::milliseconds(200);
    dispatcher->endCallsBy(executionsDueBy + std::chrono::milliseconds(150), executionsDueBy);
    Answer failed = makeRefusal(run->run, Error::UpstreamFailed, true);
    failed.outcome = Outcome::Failed;
    failed.reachedUpstream = true;
    const DispatchActions actions
            = dispatcher->onAnswer(run->to.instance, failed, executionsDueBy, noWall);
    BOOST_TEST(findSend(actions) == nullptr);
    BOOST_TEST(findResult(actions) != nullptr);
}
