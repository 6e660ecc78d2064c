#define BOOST_TEST_MODULE placement
#include "dispatch/dispatch.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace buckthornford;

namespace {

constexpr std::uint32_t placements = 4;
const TimePoint start{std::chrono::seconds(1)};
const WallTime noWall{0};

/// An entry whose upstreams drop the context of requests, with six targets of one service.
struct Fixture
{
    Fixture()
    {
        DispatchPolicy policy;
        policy.router = LoadBalancerKind::LeastCost;
        policy.chooseRetry = chooseRetryWithoutKeys;
        policy.usesIdempotencyKeys = false;
        policy.hedges = false;
        policy.freeReroutes = placements;
        policy.retryRatioPerService = true;
        policy.propagatesContext = false;
        policy.maxRetryAfter = std::chrono::milliseconds(400);
        DispatchSettings settings;
        settings.location = {InstanceId{"e"}, ZoneName{"z"}, RegionName{"r"}};
        settings.policy = policy;
        settings.ratio = {0.1, 2.0};
        entry = std::make_unique<CallDispatcher>(settings);
        std::vector<Target> targets;
        std::vector<DirectoryEntry> directory;
        for (const char *name : {"a", "b", "c", "d", "e", "f"}) {
            const PeerRef peer{InstanceId{name}, Incarnation{1}, ""};
            targets.push_back({peer, service, ZoneName{"z"}, RegionName{"r"}, Slots{4}});
            directory.push_back({peer, service});
        }
        entry->setView(targets, directory, start);
        Preset preset;
        preset.name = PresetName{"only"};
        preset.classes = {{ClassName{"class"}, Rank{0}, Tokens{1}, std::chrono::seconds(1)}};
        Configuration configuration;
        configuration.revision = Revision{1};
        configuration.document.activePresetName = preset.name;
        configuration.document.presets.emplace(preset.name, preset);
        history.accept(configuration);
    }

    DispatchActions begin(bool idempotent, std::optional<ExecutionId> parent = std::nullopt)
    {
        CallRequest request;
        request.parent = parent;
        request.work.service = service;
        request.work.operation = OperationName{"op"};
        request.work.className = ClassName{"class"};
        request.work.idempotent = idempotent;
        return entry->startCall(RequestId{++lastRequest}, request, history, start, noWall);
    }

    static const SendRun *sent(const DispatchActions &actions)
    {
        for (const DispatchAction &action : actions) {
            if (const auto *run = std::get_if<SendRun>(&action))
                return run;
        }
        return nullptr;
    }

    static const CallResult *finished(const DispatchActions &actions)
    {
        for (const DispatchAction &action : actions) {
            if (const auto *finish = std::get_if<FinishCall>(&action))
                return &finish->result;
        }
        return nullptr;
    }

    DispatchActions answer(const SendRun &run, Outcome outcome, bool wasOffered, int status = 0)
    {
        Answer answer = makeRefusal(run.run, Error::UpstreamFailed, true);
        answer.outcome = outcome;
        answer.reachedUpstream = wasOffered;
        answer.status = status;
        return entry->onAnswer(run.to.instance, answer, start, noWall);
    }

    const ServiceName service{"s"};
    std::unique_ptr<CallDispatcher> entry;
    ConfigurationHistory history;
    std::uint64_t lastRequest = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(whatWasNotOfferedIsPlacedAnewAtNoCost, Fixture)
{
    for (int call = 0; call < 20; ++call) {
        DispatchActions actions = begin(false);
        std::set<std::string> targets;
        int attempts = 0;
        while (const SendRun *run = sent(actions)) {
            targets.insert(run->to.instance.value());
            ++attempts;
            actions = answer(SendRun(*run), Outcome::NotRun, false);
        }
        // One more than the free placements by the call's own retry, while the ratio has any.
        BOOST_TEST(attempts >= 1 + static_cast<int>(placements));
        BOOST_TEST(static_cast<int>(targets.size()) == attempts);
        BOOST_REQUIRE(finished(actions) != nullptr);
        BOOST_TEST((finished(actions)->answer.outcome == Outcome::NotRun));
    }
}

/// The upstream gives no budget back; the retry must not have been lent to it.
BOOST_FIXTURE_TEST_CASE(aFailureOfIdempotentWorkIsRepeatedOnce, Fixture)
{
    DispatchActions actions = begin(true);
    const SendRun first = *sent(actions);
    BOOST_TEST(first.run.retryBudget.value() == 0U);
    actions = answer(first, Outcome::Failed, true, 500);
    BOOST_REQUIRE(sent(actions) != nullptr);
    BOOST_TEST((sent(actions)->to.instance != first.to.instance));
    actions = answer(SendRun(*sent(actions)), Outcome::Failed, true, 500);
    BOOST_TEST(sent(actions) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(whatMayHaveRunIsNotRepeated, Fixture)
{
    DispatchActions actions = begin(false);
    actions = answer(SendRun(*sent(actions)), Outcome::Unknown, true);
    BOOST_TEST(sent(actions) == nullptr);
    BOOST_TEST((finished(actions)->answer.outcome == Outcome::Unknown));
}

/// A refusal after an attempt that may have run is no promise.
BOOST_FIXTURE_TEST_CASE(aRefusalAfterADoubtfulAttemptIsNoPromise, Fixture)
{
    DispatchActions actions = begin(true);
    actions = answer(SendRun(*sent(actions)), Outcome::Unknown, true);
    while (const SendRun *run = sent(actions))
        actions = answer(SendRun(*run), Outcome::NotRun, false);
    BOOST_TEST((finished(actions)->answer.outcome == Outcome::Unknown));
}

BOOST_FIXTURE_TEST_CASE(theUpstreamsOwnFailureGoesBeforeARefusal, Fixture)
{
    DispatchActions actions = begin(true);
    actions = answer(SendRun(*sent(actions)), Outcome::Failed, true, 500);
    while (const SendRun *run = sent(actions))
        actions = answer(SendRun(*run), Outcome::NotRun, false);
    BOOST_TEST((finished(actions)->answer.outcome == Outcome::Failed));
    BOOST_TEST(finished(actions)->answer.status == 500);
}

/// Repeats of a service stay within the saved ones and the ratio.
BOOST_FIXTURE_TEST_CASE(repeatsStayWithinTheRatio, Fixture)
{
    int repeats = 0;
    constexpr int calls = 200;
    for (int call = 0; call < calls; ++call) {
        DispatchActions actions = begin(true);
        actions = answer(SendRun(*sent(actions)), Outcome::Failed, true, 500);
        if (sent(actions) == nullptr)
            continue;
        ++repeats;
        (void)answer(SendRun(*sent(actions)), Outcome::Failed, true, 500);
    }
    BOOST_TEST(repeats <= 2 + calls / 10);
    BOOST_TEST(repeats >= calls / 10);
}

BOOST_FIXTURE_TEST_CASE(callersTurnedAwayAreSpreadOverTheTimeTheyHave, Fixture)
{
    std::set<Duration> delays;
    for (int call = 0; call < 20; ++call) {
        DispatchActions actions = begin(false);
        while (const SendRun *run = sent(actions))
            actions = answer(SendRun(*run), Outcome::NotRun, false);
        const Duration delay = finished(actions)->answer.retryAfter;
        BOOST_TEST((delay > Duration{0}));
        BOOST_TEST((delay <= std::chrono::milliseconds(334)));
        delays.insert(delay);
    }
    BOOST_TEST(delays.size() > 15U);
}

/// The end of an older stream to the same target says nothing of an attempt on a newer one; it
/// used to be taken as not sent and placed a second time.
BOOST_FIXTURE_TEST_CASE(theEndOfAnotherStreamLeavesAnAttemptAlone, Fixture)
{
    DispatchActions actions = begin(false);
    const SendRun first = *sent(actions);
    const AttemptRef other{RequestId{999}, AttemptNumber{1}};
    actions = entry->onStreamEnded(first.to.instance, false, {other}, start, noWall);
    BOOST_TEST(actions.empty());
    actions = entry->onStreamEnded(first.to.instance, false,
                                   {{first.run.request, first.run.attempt}}, start, noWall);
    BOOST_REQUIRE(sent(actions) != nullptr);
    const SendRun second = *sent(actions);
    actions = entry->onStreamEnded(second.to.instance, true,
                                   {{second.run.request, second.run.attempt}}, start, noWall);
    BOOST_TEST(sent(actions) == nullptr);
    BOOST_TEST((finished(actions)->answer.outcome == Outcome::Unknown));
}

/// A call belongs to the execution that makes it, whatever the rank of its own route.
BOOST_FIXTURE_TEST_CASE(aCallTakesTheRankAndTheDeadlineOfItsChain, Fixture)
{
    const ExecutionId parent{77};
    entry->onExecutionStarted(parent, RunRequest{}, Rank{3},
                              start + std::chrono::milliseconds(200));
    const DispatchActions actions = begin(true, parent);
    const SendRun *run = sent(actions);
    BOOST_REQUIRE(run != nullptr);
    BOOST_REQUIRE(run->run.chainRank.has_value());
    BOOST_TEST(run->run.chainRank->value() == 3U);
    BOOST_TEST((run->run.timeLeft <= std::chrono::milliseconds(200)));
    // Its retries are its own: nothing is lent where the context isn't passed on.
    BOOST_TEST((sent(answer(SendRun(*run), Outcome::NotRun, true)) != nullptr));
}

/// What was done about a call's failure next to it isn't done again above it.
BOOST_FIXTURE_TEST_CASE(theFailureOfACallIsFinalForItsExecution, Fixture)
{
    const ExecutionId parent{77};
    entry->onExecutionStarted(parent, RunRequest{}, Rank{0},
                              start + std::chrono::milliseconds(200));
    DispatchActions actions = begin(false, parent);
    const SendRun run = *sent(actions);
    actions = answer(run, Outcome::Unknown, true);
    BOOST_REQUIRE(finished(actions) != nullptr);
    DispatchActions left;
    BOOST_TEST(entry->onExecutionEnded(parent, start, noWall, &left).failedPermanently);
}

BOOST_FIXTURE_TEST_CASE(aRequestOutsideAnyExecutionHasNoChain, Fixture)
{
    const DispatchActions actions = begin(true);
    BOOST_TEST(!sent(actions)->run.chainRank.has_value());
}

BOOST_FIXTURE_TEST_CASE(whatMayHaveReachedAnUpstreamBeforeIsMarkedAsARepeat, Fixture)
{
    DispatchActions actions = begin(true);
    BOOST_TEST(!sent(actions)->run.isRepeat);
    actions = answer(SendRun(*sent(actions)), Outcome::NotRun, false);
    BOOST_TEST(!sent(actions)->run.isRepeat); // No upstream has seen it.
    actions = answer(SendRun(*sent(actions)), Outcome::Failed, true, 500);
    BOOST_REQUIRE(sent(actions) != nullptr);
    BOOST_TEST(sent(actions)->run.isRepeat);
}

/// Half of all calls fail, and some are made by runs that are repeats themselves: both count.
BOOST_FIXTURE_TEST_CASE(repeatsOfCallsAndCallsOfRepeatsShareOneBound, Fixture)
{
    constexpr int executions = 2000;
    constexpr int callsEach = 4;
    int repeats = 0;
    for (int i = 0; i < executions; ++i) {
        const ExecutionId parent{static_cast<std::uint64_t>(1000 + i)};
        RunRequest run;
        run.isRepeat = i % 14 == 0; // a share of 0.07, below the ratio of 0.1
        entry->onExecutionStarted(parent, run, Rank{0}, start + std::chrono::seconds(1));
        for (int call = 0; call < callsEach; ++call) {
            DispatchActions actions = begin(true, parent);
            BOOST_REQUIRE(sent(actions) != nullptr);
            BOOST_TEST(sent(actions)->run.isRepeat == run.isRepeat);
            repeats += run.isRepeat ? 1 : 0;
            if ((i + call) % 2 != 0)
                continue;
            actions = answer(SendRun(*sent(actions)), Outcome::Failed, true, 500);
            repeats += sent(actions) != nullptr ? 1 : 0;
        }
        DispatchActions left;
        (void)entry->onExecutionEnded(parent, start, noWall, &left);
    }
    BOOST_TEST(repeats <= 2 + executions * callsEach / 10);
    BOOST_TEST(repeats >= executions * callsEach * 9 / 100);
}
