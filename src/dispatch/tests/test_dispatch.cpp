#define BOOST_TEST_MODULE entry
#include "dispatch/dispatch.h"
#include "dispatch/tests/fake_chain.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornford;

BOOST_AUTO_TEST_CASE(aChainOfEightCompletesWithOneRunEach)
{
    FakeChain chain(8, chainPolicy(), Tokens{3});
    const CallResult result = chain.call(true);
    BOOST_TEST((result.answer.outcome == Outcome::Completed));
    for (int level = 0; level < 8; ++level)
        BOOST_TEST(chain.runs(level) == 1);
}

BOOST_AUTO_TEST_CASE(retriesAreBoundedOverTheWholeChain)
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
        // Only the hop next to the failure retries, so the other levels run once.
        BOOST_TEST(total <= 8 + static_cast<int>(budget));
    }
}

BOOST_AUTO_TEST_CASE(theNaiveChainMultipliesItsRetries)
{
    DispatchPolicy naive{LoadBalancerKind::RoundRobin, chooseRetryNaively, Tokens{2}, false, false};
    FakeChain chain(8, naive, Tokens{3});
    chain.failAt(7);
    chain.call(true);
    BOOST_TEST(chain.runs(7) == 6561); // 3^8
}

BOOST_AUTO_TEST_CASE(aFailureThatPassesIsHealedByTheNextHop)
{
    FakeChain chain(8, chainPolicy(), Tokens{1});
    chain.failAt(7, 1);
    BOOST_TEST((chain.call(true).answer.outcome == Outcome::Completed));
    BOOST_TEST(chain.runs(7) == 2);
    BOOST_TEST(chain.runs(6) == 1);
}

BOOST_AUTO_TEST_CASE(whatIsNotIdempotentIsNotRetriedAfterItRan)
{
    FakeChain chain(3, chainPolicy(), Tokens{8});
    chain.failAt(2);
    BOOST_TEST((chain.call(false).answer.outcome == Outcome::Failed));
    BOOST_TEST(chain.runs(2) == 1);
}

BOOST_AUTO_TEST_CASE(aDroppedContextBringsNoRetries)
{
    FakeChain chain(8, chainPolicy(), Tokens{4});
    chain.failAt(7);
    chain.dropContextAt(3);
    chain.call(true);
    // Above the gap the budget holds as before; below it nothing is retried at all.
    BOOST_TEST(chain.runs(3) <= 1 + 4);
    for (int level = 4; level < 8; ++level)
        BOOST_TEST(chain.runs(level) == chain.runs(3));
}

namespace {

struct SmallEntry
{
    SmallEntry()
        : entry(settings())
    {
        history.accept(chainConfiguration(Tokens{3}));
        std::vector<Target> targets;
        std::vector<DirectoryEntry> directory;
        for (const char *name : {"a", "b", "c"}) {
            const PeerRef peer{InstanceId{name}, Incarnation{1}, "127.0.0.1:1"};
            targets.push_back({peer, service, ZoneName{"z"}, RegionName{"r"}, Slots{4}});
            directory.push_back({peer, service});
        }
        entry.setView(targets, directory, now);
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
    CallDispatcher entry;
};

Answer answerTo(const RunRequest &run, Outcome outcome)
{
    Answer answer = makeRefusal(run, Error::None, true);
    answer.outcome = outcome;
    return answer;
}

} // namespace

BOOST_AUTO_TEST_CASE(badInputIsRefusedWithItsReason)
{
    SmallEntry small;
    CallRequest unknownClass = small.request(true);
    unknownClass.work.className = ClassName{"nobody"};
    auto actions = small.entry.startCall(RequestId{1}, unknownClass, small.history, small.now,
                                         small.wall);
    BOOST_TEST(
            (SmallEntry::find<FinishCall>(actions)->result.answer.reason == Error::UnknownClass));
    actions = small.entry.startCall(RequestId{2}, small.request(false, "made-up"), small.history,
                                    small.now, small.wall);
    BOOST_TEST((SmallEntry::find<FinishCall>(actions)->result.answer.reason == Error::BadKey));
    BOOST_TEST(small.entry.openCalls() == 0);
}

BOOST_AUTO_TEST_CASE(aKeyGoesToItsHomeAlone)
{
    SmallEntry small;
    const std::string key
            = makeKey(InstanceId{"b"}, Incarnation{1}, small.wall, std::chrono::seconds(9))
                      .toText();
    auto actions = small.entry.startCall(RequestId{1}, small.request(false, key), small.history,
                                         small.now, small.wall);
    const auto *sent = SmallEntry::find<SendRun>(actions);
    BOOST_TEST((sent->to.instance == InstanceId{"b"}));
    // The stream breaks: the same key goes to the same home again, and nowhere else.
    actions = small.entry.onPeerLost(InstanceId{"b"}, small.now, small.wall);
    const auto *again = SmallEntry::find<SendRun>(actions);
    BOOST_REQUIRE(again != nullptr);
    BOOST_TEST((again->to.instance == InstanceId{"b"}));
    BOOST_TEST(again->run.work.key == key);
}

BOOST_AUTO_TEST_CASE(aKeyOfAGoneHomeIsUnknown)
{
    SmallEntry small;
    const std::string key
            = makeKey(InstanceId{"b"}, Incarnation{7}, small.wall, std::chrono::seconds(9))
                      .toText();
    const auto actions = small.entry.startCall(RequestId{1}, small.request(false, key),
                                               small.history, small.now, small.wall);
    const auto *finish = SmallEntry::find<FinishCall>(actions);
    BOOST_TEST((finish->result.answer.outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(lateAndCrossedAnswersAreDropped)
{
    SmallEntry small;
    auto actions = small.entry.startCall(RequestId{1}, small.request(true), small.history,
                                         small.now, small.wall);
    const SendRun sent = *SmallEntry::find<SendRun>(actions);
    Answer crossed = answerTo(sent.run, Outcome::Completed);
    crossed.attempt = AttemptNumber{9};
    BOOST_TEST(small.entry.onAnswer(sent.to.instance, crossed, small.now, small.wall).empty());
    const Answer whole = answerTo(sent.run, Outcome::Completed);
    BOOST_TEST(small.entry.onAnswer(InstanceId{"nobody"}, whole, small.now, small.wall).empty());
    BOOST_TEST(!small.entry.onAnswer(sent.to.instance, whole, small.now, small.wall).empty());
    BOOST_TEST(small.entry.onAnswer(sent.to.instance, whole, small.now, small.wall).empty());
}

BOOST_AUTO_TEST_CASE(aCutAnswerIsNeverASuccess)
{
    SmallEntry small;
    auto actions = small.entry.startCall(RequestId{1}, small.request(false), small.history,
                                         small.now, small.wall);
    const SendRun sent = *SmallEntry::find<SendRun>(actions);
    Answer cut = answerTo(sent.run, Outcome::Completed);
    cut.body = "short";
    cut.bodyChecksum = checksum("shorter than it was");
    actions = small.entry.onAnswer(sent.to.instance, cut, small.now, small.wall);
    // The home's record still has the whole answer.
    const auto *again = SmallEntry::find<SendRun>(actions);
    BOOST_REQUIRE(again != nullptr);
    BOOST_TEST((again->to == sent.to));
}

BOOST_AUTO_TEST_CASE(aDeadlineEndsTheCallAndCancelsItsAttempt)
{
    SmallEntry small;
    small.entry.startCall(RequestId{1}, small.request(true), small.history, small.now, small.wall);
    const auto actions = small.entry.tick(small.now + std::chrono::seconds(2), small.wall);
    BOOST_TEST((SmallEntry::find<FinishCall>(actions)->result.answer.outcome == Outcome::Unknown));
    BOOST_TEST(SmallEntry::find<SendCancel>(actions) != nullptr);
}

BOOST_AUTO_TEST_CASE(whatMayHaveArrivedBeforeIsNotRunElsewhereWhenItsHomeCannotBeReached)
{
    SmallEntry small;
    auto actions = small.entry.startCall(RequestId{1}, small.request(false), small.history,
                                         small.now, small.wall);
    const SendRun first = *SmallEntry::find<SendRun>(actions);
    actions = small.entry.onPeerLost(first.to.instance, small.now, small.wall);
    BOOST_REQUIRE(SmallEntry::find<SendRun>(actions) != nullptr);
    // The second send finds no connection; the first may be running all the same.
    actions = small.entry.onPeerUnreachable(first.to.instance, small.now, small.wall);
    for (const DispatchAction &action : actions) {
        if (const auto *sent = std::get_if<SendRun>(&action))
            BOOST_TEST((sent->to == first.to && sent->run.work.key == first.run.work.key));
        if (const auto *finish = std::get_if<FinishCall>(&action))
            BOOST_TEST((finish->result.answer.outcome == Outcome::Unknown));
    }
}

BOOST_AUTO_TEST_CASE(anUnsentAttemptIsNotRun)
{
    SmallEntry small;
    auto actions = small.entry.startCall(RequestId{1}, small.request(false), small.history,
                                         small.now, small.wall);
    for (int i = 0; i < 4; ++i) {
        const auto *sent = SmallEntry::find<SendRun>(actions);
        if (sent == nullptr)
            break;
        actions = small.entry.onPeerUnreachable(InstanceId{sent->to.instance}, small.now,
                                                small.wall);
    }
    const auto *finish = SmallEntry::find<FinishCall>(actions);
    BOOST_REQUIRE(finish != nullptr);
    BOOST_TEST((finish->result.answer.outcome == Outcome::NotRun));
}
