#define BOOST_TEST_MODULE dispatch
#include "dispatch/dispatch.h"
#include "dispatch/tests/fake_chain.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornford;

BOOST_AUTO_TEST_CASE(chainOfEightCompletesWithOneRunPerLevel)
{
    FakeChain chain(8, chainPolicy(), Tokens{3});
    const CallResult result = chain.call(true);
    BOOST_TEST((result.answer.outcome == Outcome::Completed));
    for (int level = 0; level < 8; ++level)
        BOOST_TEST(chain.runs(level) == 1);
}

BOOST_AUTO_TEST_CASE(retryBudgetBoundsRetriesOfWholeChain)
{
    for (std::uint32_t budget = 0; budget <= 16; ++budget) {
        FakeChain chain(8, chainPolicy(), Tokens{budget});
        chain.failAt(7);
        const CallResult result = chain.call(true);
        BOOST_TEST((result.answer.outcome == Outcome::Failed));
        int total = 0;
        for (int level = 0; level < 8; ++level) {
            BOOST_TEST(chain.runs(level) <= 1 + static_cast<int>(budget));
            total += chain.runs(level);
        }
        // Only the hop next to the failure retries; all other levels run once.
        BOOST_TEST(total <= 8 + static_cast<int>(budget));
    }
}

BOOST_AUTO_TEST_CASE(naivePolicyMultipliesRetriesAtEachHop)
{
    DispatchPolicy naive{LoadBalancerKind::RoundRobin, chooseRetryNaively, Tokens{2}, false, false};
    FakeChain chain(8, naive, Tokens{3});
    chain.failAt(7);
    chain.call(true);
    BOOST_TEST(chain.runs(7) == 6561); // 3^8
}

BOOST_AUTO_TEST_CASE(hopNextToTransientFailureRetriesIt)
{
    FakeChain chain(8, chainPolicy(), Tokens{1});
    chain.failAt(7, 1);
    BOOST_TEST((chain.call(true).answer.outcome == Outcome::Completed));
    BOOST_TEST(chain.runs(7) == 2);
    BOOST_TEST(chain.runs(6) == 1);
}

BOOST_AUTO_TEST_CASE(failedNonIdempotentWorkIsNotRetried)
{
    FakeChain chain(3, chainPolicy(), Tokens{8});
    chain.failAt(2);
    BOOST_TEST((chain.call(false).answer.outcome == Outcome::Failed));
    BOOST_TEST(chain.runs(2) == 1);
}

BOOST_AUTO_TEST_CASE(callsWithoutContextAreNotRetried)
{
    FakeChain chain(8, chainPolicy(), Tokens{4});
    chain.failAt(7);
    chain.dropContextAt(3);
    chain.call(true);
    // Above the level that drops the context the retry budget applies; below it nothing is retried.
    BOOST_TEST(chain.runs(3) <= 1 + 4);
    for (int level = 4; level < 8; ++level)
        BOOST_TEST(chain.runs(level) == chain.runs(3));
}

namespace {

/// A dispatcher with three targets of one service; hedging is off.
struct DispatcherFixture
{
    DispatcherFixture()
        : dispatcher(settings())
    {
        history.accept(chainConfiguration(Tokens{3}));
        std::vector<Target> targets;
        std::vector<DirectoryEntry> directory;
        for (const char *name : {"a", "b", "c"}) {
            const PeerRef peer{InstanceId{name}, Incarnation{1}, "127.0.0.1:1"};
            targets.push_back({peer, service, ZoneName{"z"}, RegionName{"r"}, Slots{4}});
            directory.push_back({peer, service});
        }
        dispatcher.setView(targets, directory, now);
    }

    static DispatchSettings settings()
    {
        DispatchSettings settings;
        settings.location = {InstanceId{"me"}, ZoneName{"z"}, RegionName{"r"}};
        settings.policy.hedges = false;
        return settings;
    }

    CallRequest request(bool idempotent, const std::string &key = "") const
    {
        CallRequest call;
        call.work.service = service;
        call.work.operation = OperationName{"op"};
        call.work.className = ClassName{"class"};
        call.work.caller = CallerName{"caller"};
        call.work.idempotent = idempotent;
        call.work.key = key;
        return call;
    }

    template <class Action>
    static const Action *find(const DispatchActions &actions)
    {
        for (const DispatchAction &action : actions) {
            if (const auto *match = std::get_if<Action>(&action))
                return match;
        }
        return nullptr;
    }

    const ServiceName service{"s"};
    TimePoint now{std::chrono::seconds(1)};
    WallTime wall{1'000'000'000};
    ConfigurationHistory history;
    CallDispatcher dispatcher;
};

Answer answerTo(const RunRequest &run, Outcome outcome)
{
    Answer answer = makeRefusal(run, Error::None, true);
    answer.outcome = outcome;
    return answer;
}

} // namespace

BOOST_AUTO_TEST_CASE(unknownClassAndMalformedKeyAreRefused)
{
    DispatcherFixture fixture;
    CallRequest unknownClass = fixture.request(true);
    unknownClass.work.className = ClassName{"nobody"};
    auto actions = fixture.dispatcher.startCall(RequestId{1}, unknownClass, fixture.history,
                                                fixture.now, fixture.wall);
    BOOST_TEST((DispatcherFixture::find<FinishCall>(actions)->result.answer.reason
                == Error::UnknownClass));
    actions = fixture.dispatcher.startCall(RequestId{2}, fixture.request(false, "made-up"),
                                           fixture.history, fixture.now, fixture.wall);
    BOOST_TEST(
            (DispatcherFixture::find<FinishCall>(actions)->result.answer.reason == Error::BadKey));
    BOOST_TEST(fixture.dispatcher.openCalls() == 0);
}

BOOST_AUTO_TEST_CASE(callersKeyIsSentOnlyToItsOwner)
{
    DispatcherFixture fixture;
    const std::string key
            = makeKey(InstanceId{"b"}, Incarnation{1}, fixture.wall, std::chrono::seconds(9))
                      .toText();
    auto actions = fixture.dispatcher.startCall(RequestId{1}, fixture.request(false, key),
                                                fixture.history, fixture.now, fixture.wall);
    const auto *sent = DispatcherFixture::find<SendRun>(actions);
    BOOST_TEST((sent->to.instance == InstanceId{"b"}));
    // The stream breaks: the same key is sent to the same owner again, and to no other node.
    actions = fixture.dispatcher.onPeerLost(InstanceId{"b"}, fixture.now, fixture.wall);
    const auto *resent = DispatcherFixture::find<SendRun>(actions);
    BOOST_REQUIRE(resent != nullptr);
    BOOST_TEST((resent->to.instance == InstanceId{"b"}));
    BOOST_TEST(resent->run.work.key == key);
}

BOOST_AUTO_TEST_CASE(keyOfDepartedOwnerEndsUnknown)
{
    DispatcherFixture fixture;
    const std::string key
            = makeKey(InstanceId{"b"}, Incarnation{7}, fixture.wall, std::chrono::seconds(9))
                      .toText();
    const auto actions = fixture.dispatcher.startCall(RequestId{1}, fixture.request(false, key),
                                                      fixture.history, fixture.now, fixture.wall);
    const auto *finish = DispatcherFixture::find<FinishCall>(actions);
    BOOST_TEST((finish->result.answer.outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(lateAndMismatchedAnswersAreIgnored)
{
    DispatcherFixture fixture;
    auto actions = fixture.dispatcher.startCall(RequestId{1}, fixture.request(true),
                                                fixture.history, fixture.now, fixture.wall);
    const SendRun sent = *DispatcherFixture::find<SendRun>(actions);
    Answer mismatched = answerTo(sent.run, Outcome::Completed);
    mismatched.attempt = AttemptNumber{9};
    BOOST_TEST(fixture.dispatcher.onAnswer(sent.to.instance, mismatched, fixture.now, fixture.wall)
                       .empty());
    const Answer valid = answerTo(sent.run, Outcome::Completed);
    BOOST_TEST(fixture.dispatcher.onAnswer(InstanceId{"nobody"}, valid, fixture.now, fixture.wall)
                       .empty());
    BOOST_TEST(!fixture.dispatcher.onAnswer(sent.to.instance, valid, fixture.now, fixture.wall)
                        .empty());
    BOOST_TEST(fixture.dispatcher.onAnswer(sent.to.instance, valid, fixture.now, fixture.wall)
                       .empty());
}

BOOST_AUTO_TEST_CASE(truncatedAnswerIsRequestedAgainFromSameTarget)
{
    DispatcherFixture fixture;
    auto actions = fixture.dispatcher.startCall(RequestId{1}, fixture.request(false),
                                                fixture.history, fixture.now, fixture.wall);
    const SendRun sent = *DispatcherFixture::find<SendRun>(actions);
    Answer truncated = answerTo(sent.run, Outcome::Completed);
    truncated.body = "short";
    truncated.bodyChecksum = checksum("shorter than it was");
    actions = fixture.dispatcher.onAnswer(sent.to.instance, truncated, fixture.now, fixture.wall);
    // The owner of the key still stores the whole answer.
    const auto *resent = DispatcherFixture::find<SendRun>(actions);
    BOOST_REQUIRE(resent != nullptr);
    BOOST_TEST((resent->to == sent.to));
}

/// A node of an older build may read the answers of its target by a looser rule.
BOOST_AUTO_TEST_CASE(answerOfAnotherNodeWithAStatusThatIsNoneIsCut)
{
    for (const int status : {-1, 1, 99, 100, 199, 200, 599, 600, 999}) {
        DispatcherFixture fixture;
        auto actions = fixture.dispatcher.startCall(RequestId{1}, fixture.request(true),
                                                    fixture.history, fixture.now, fixture.wall);
        const SendRun sent = *DispatcherFixture::find<SendRun>(actions);
        Answer answer = answerTo(sent.run, Outcome::Completed);
        answer.status = status;
        actions = fixture.dispatcher.onAnswer(sent.to.instance, answer, fixture.now, fixture.wall);
        const bool isSentAgain = DispatcherFixture::find<SendRun>(actions) != nullptr;
        BOOST_TEST(isSentAgain == (status < 200 || status > 599), status);
    }
}

BOOST_AUTO_TEST_CASE(deadlineEndsCallAndCancelsAttempt)
{
    DispatcherFixture fixture;
    fixture.dispatcher.startCall(RequestId{1}, fixture.request(true), fixture.history, fixture.now,
                                 fixture.wall);
    const auto actions
            = fixture.dispatcher.tick(fixture.now + std::chrono::seconds(2), fixture.wall);
    BOOST_TEST((DispatcherFixture::find<FinishCall>(actions)->result.answer.outcome
                == Outcome::Unknown));
    BOOST_TEST(DispatcherFixture::find<SendCancel>(actions) != nullptr);
}

BOOST_AUTO_TEST_CASE(possiblyRunWorkIsNotReroutedWhenItsTargetIsUnreachable)
{
    DispatcherFixture fixture;
    auto actions = fixture.dispatcher.startCall(RequestId{1}, fixture.request(false),
                                                fixture.history, fixture.now, fixture.wall);
    const SendRun first = *DispatcherFixture::find<SendRun>(actions);
    actions = fixture.dispatcher.onPeerLost(first.to.instance, fixture.now, fixture.wall);
    BOOST_REQUIRE(DispatcherFixture::find<SendRun>(actions) != nullptr);
    // The second attempt can't be sent; the first may still be running.
    actions = fixture.dispatcher.onPeerUnreachable(first.to.instance, fixture.now, fixture.wall);
    for (const DispatchAction &action : actions) {
        if (const auto *sent = std::get_if<SendRun>(&action))
            BOOST_TEST((sent->to == first.to && sent->run.work.key == first.run.work.key));
        if (const auto *finish = std::get_if<FinishCall>(&action))
            BOOST_TEST((finish->result.answer.outcome == Outcome::Unknown));
    }
}

BOOST_AUTO_TEST_CASE(callWithOnlyUnsentAttemptsEndsNotRun)
{
    DispatcherFixture fixture;
    auto actions = fixture.dispatcher.startCall(RequestId{1}, fixture.request(false),
                                                fixture.history, fixture.now, fixture.wall);
    for (int i = 0; i < 4; ++i) {
        const auto *sent = DispatcherFixture::find<SendRun>(actions);
        if (sent == nullptr)
            break;
        actions = fixture.dispatcher.onPeerUnreachable(InstanceId{sent->to.instance}, fixture.now,
                                                       fixture.wall);
    }
    const auto *finish = DispatcherFixture::find<FinishCall>(actions);
    BOOST_REQUIRE(finish != nullptr);
    BOOST_TEST((finish->result.answer.outcome == Outcome::NotRun));
}
