#define BOOST_TEST_MODULE mesh
#include "mesh/mesh.h"
#include "mesh/tests/relay.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornford;

namespace {

/// Keeps the events of one node's streams.
struct RecordingEvents : MeshEvents
{
    void onPeerFrame(const PeerRef &peer, Frame frame) override
    {
        outgoingPeers.push_back(peer);
        outgoingStreamFrames.push_back(std::move(frame));
    }
    void onPeerStreamEnded(const InstanceId &, StreamEnd end, bool wasOpen,
                           std::vector<AttemptRef> unanswered) override
    {
        outgoingEnds.push_back(end);
        outgoingEndsWasOpen.push_back(wasOpen);
        unansweredAttempts.insert(unansweredAttempts.end(), unanswered.begin(), unanswered.end());
    }
    void onSilentStreamReplaced(const InstanceId &, TimePoint silentSince) override
    {
        replacedSilentStreams.push_back(silentSince);
    }
    void onIncomingFrame(StreamId stream, const PeerRef &from, Frame frame) override
    {
        lastIncomingStream = stream;
        incomingPeers.push_back(from);
        incomingStreamFrames.push_back(std::move(frame));
    }
    void onIncomingStreamEnded(StreamId) override { ++incomingEndCount; }

    std::vector<PeerRef> outgoingPeers;
    std::vector<Frame> outgoingStreamFrames;
    std::vector<bool> outgoingEndsWasOpen; ///< wasOpen of each ended outgoing stream
    std::vector<AttemptRef> unansweredAttempts;
    std::vector<PeerRef> incomingPeers;
    std::vector<Frame> incomingStreamFrames;
    StreamId lastIncomingStream;
    int incomingEndCount = 0;
    std::vector<StreamEnd> outgoingEnds;
    std::vector<TimePoint> replacedSilentStreams; ///< since when each was silent
};

/// Nodes a and b on one event loop.
struct MeshPair
{
    MeshPair(std::uint16_t portA, std::uint16_t portB, const MeshSettings &settings = {})
        : a{InstanceId{"a"}, Incarnation{1}, "127.0.0.1:" + std::to_string(portA)}
        , b{InstanceId{"b"}, Incarnation{1}, "127.0.0.1:" + std::to_string(portB)}
        , meshA(std::move(
                  MeshTask::listen(&loop, parseEndpoint(a.address).value(), a, &eventsA, settings)
                          .value()))
        , meshB(std::move(
                  MeshTask::listen(&loop, parseEndpoint(b.address).value(), b, &eventsB, settings)
                          .value()))
    {}

    /// Runs the loop until \a condition holds; at most five seconds.
    template <class Condition>
    void runUntil(Condition condition)
    {
        for (int i = 0; i < 500 && !condition(); ++i)
            loop.run_for(std::chrono::milliseconds(10));
        BOOST_TEST(condition());
    }

    EventLoop loop;
    PeerRef a;
    PeerRef b;
    RecordingEvents eventsA;
    RecordingEvents eventsB;
    std::unique_ptr<MeshTask> meshA;
    std::unique_ptr<MeshTask> meshB;
};

RunRequest makeRun(std::uint64_t request)
{
    RunRequest run;
    run.request = RequestId{request};
    run.attempt = AttemptNumber{1};
    run.work.target = "/path?query";
    run.work.headers = {{"Host", "h"}};
    run.work.body = "body";
    return run;
}

} // namespace

BOOST_AUTO_TEST_CASE(runReachesThePeerAndItsAnswerReturns)
{
    MeshPair pair(21311, 21312);
    pair.meshA->post(SendToPeer{pair.b, makeRun(7)});
    pair.runUntil([&] { return !pair.eventsB.incomingStreamFrames.empty(); });
    const RunRequest &arrived = std::get<RunRequest>(pair.eventsB.incomingStreamFrames.front());
    BOOST_TEST(arrived.work.target == "/path?query");
    BOOST_TEST(arrived.work.headers.front().second == "h");
    BOOST_TEST(pair.eventsB.incomingPeers.front().instance == pair.a.instance);

    Answer answer;
    answer.request = RequestId{7};
    answer.reachedUpstream = true;
    answer.headers = {{"X", "y"}};
    pair.meshB->post(SendOnIncomingStream{pair.eventsB.lastIncomingStream, answer});
    pair.runUntil([&] { return !pair.eventsA.outgoingStreamFrames.empty(); });
    BOOST_TEST(std::get<Answer>(pair.eventsA.outgoingStreamFrames.front()).reachedUpstream);
}

/// Large bodies leave and arrive apart from the frames around them.
BOOST_AUTO_TEST_CASE(runsWithLargeBodiesArriveWholeAndInOrder)
{
    MeshPair pair(21333, 21334);
    constexpr std::size_t count = 6;
    constexpr std::size_t bodySize = 3U << 20U;
    for (std::uint64_t id = 1; id <= count; ++id) {
        RunRequest run = makeRun(id);
        if (id % 3 != 0)
            run.work.body = std::string(bodySize + id, static_cast<char>('a' + id));
        pair.meshA->post(SendToPeer{pair.b, run});
        pair.meshA->post(SendToPeer{pair.b, Cancel{run.request, run.attempt}});
    }
    const auto &frames = pair.eventsB.incomingStreamFrames;
    pair.runUntil([&] { return frames.size() == 2 * count; });
    for (std::size_t i = 0; i < count; ++i) {
        const RunRequest &run = std::get<RunRequest>(frames[2 * i]);
        const std::uint64_t id = i + 1;
        BOOST_TEST(run.request.value() == id);
        BOOST_TEST((run.work.body
                    == (id % 3 == 0 ? SharedBytes("body")
                                    : SharedBytes(std::string(bodySize + id,
                                                              static_cast<char>('a' + id))))));
        BOOST_TEST(run.work.target == "/path?query");
        BOOST_TEST((std::get<Cancel>(frames[2 * i + 1]).request == run.request));
    }
}

/// Guards against: the bodies of many runs at once took the target's node over its memory. What is
/// refused hasn't run, and what follows on the stream is read.
BOOST_AUTO_TEST_CASE(runWithoutMemoryIsRefusedUntilOthersHaveEnded)
{
    constexpr std::size_t bodySize = 3U << 20U;
    const auto memory = std::make_shared<MemoryBudget>(Bytes{bodySize * 3 / 2});
    MeshSettings settings;
    settings.runMemory = memory;
    MeshPair pair(21335, 21336, settings);
    const auto sendRun = [&pair](std::uint64_t id) {
        RunRequest run = makeRun(id);
        run.work.body = std::string(bodySize, 'x');
        pair.meshA->post(SendToPeer{pair.b, run});
        pair.meshA->post(SendToPeer{pair.b, Cancel{run.request, run.attempt}});
    };
    auto &runs = pair.eventsB.incomingStreamFrames;
    sendRun(1);
    sendRun(2);
    pair.runUntil([&] { return runs.size() == 3 && !pair.eventsA.outgoingStreamFrames.empty(); });
    const Answer &answer = std::get<Answer>(pair.eventsA.outgoingStreamFrames.front());
    BOOST_TEST((answer.request == RequestId{2}));
    BOOST_TEST((answer.outcome == Outcome::NotRun));
    BOOST_TEST(answer.retryable);
    BOOST_TEST((std::get<Cancel>(runs.back()).request == RequestId{2}));
    runs.clear();
    BOOST_TEST((memory->held() == Bytes{0}));
    sendRun(3);
    pair.runUntil([&] { return runs.size() == 2; });
    BOOST_TEST((std::get<RunRequest>(runs.front()).request == RequestId{3}));
    BOOST_TEST(pair.eventsA.outgoingEnds.empty());
}

/// Sending to a peer as it was reported with a frame on the outgoing stream reuses that stream.
/// Guards against a fault in which such a reply broke the stream.
BOOST_AUTO_TEST_CASE(replyToPeerReusesTheOutgoingStream)
{
    MeshPair pair(21313, 21314);
    pair.meshA->post(SendToPeer{pair.b, Gossip{}});
    pair.runUntil([&] { return !pair.eventsB.incomingStreamFrames.empty(); });
    pair.meshB->post(SendOnIncomingStream{pair.eventsB.lastIncomingStream, Gossip{}});
    pair.runUntil([&] { return !pair.eventsA.outgoingPeers.empty(); });

    pair.meshA->post(SendToPeer{pair.eventsA.outgoingPeers.front(), Gossip{}});
    pair.runUntil([&] { return pair.eventsB.incomingStreamFrames.size() == 2; });
    BOOST_TEST(pair.eventsA.outgoingEndsWasOpen.empty());
    BOOST_TEST(pair.eventsB.incomingEndCount == 0);
}

BOOST_AUTO_TEST_CASE(streamToUnreachablePeerEndsAsNeverOpen)
{
    MeshPair pair(21315, 21316);
    const PeerRef absentPeer{InstanceId{"c"}, Incarnation{1}, "127.0.0.1:21399"};
    pair.meshA->post(SendToPeer{absentPeer, makeRun(1)});
    pair.runUntil([&] { return !pair.eventsA.outgoingEndsWasOpen.empty(); });
    BOOST_TEST(!pair.eventsA.outgoingEndsWasOpen.front());
}

BOOST_AUTO_TEST_CASE(runIsNotSentWhenAnotherInstanceListensAtTheAddress)
{
    MeshPair pair(21317, 21318);
    PeerRef wrong = pair.b;
    wrong.instance = InstanceId{"c"};
    pair.meshA->post(SendToPeer{wrong, makeRun(1)});
    pair.runUntil([&] { return !pair.eventsA.outgoingEndsWasOpen.empty(); });
    BOOST_TEST(!pair.eventsA.outgoingEndsWasOpen.front());
    BOOST_TEST(pair.eventsB.incomingStreamFrames.empty());
}

BOOST_AUTO_TEST_CASE(endOfTheConnectionIsReportedAsEndOfAnOpenStream)
{
    MeshPair pair(21319, 21320);
    pair.meshA->post(SendToPeer{pair.b, makeRun(1)});
    pair.runUntil([&] { return !pair.eventsB.incomingStreamFrames.empty(); });
    pair.meshB.reset();
    pair.runUntil([&] { return !pair.eventsA.outgoingEndsWasOpen.empty(); });
    BOOST_TEST(pair.eventsA.outgoingEndsWasOpen.front());
}

/// When a stream to another incarnation of the peer replaces an older stream, only the attempts of
/// the older stream are reported as unanswered.
BOOST_AUTO_TEST_CASE(replacedStreamReportsOnlyItsOwnAttemptsAsUnanswered)
{
    MeshPair pair(21321, 21322);
    const PeerRef old{pair.b.instance, Incarnation{7}, "127.0.0.1:21398"};
    pair.meshA->post(SendToPeer{old, makeRun(1)});
    pair.meshA->post(SendToPeer{pair.b, makeRun(2)});
    pair.runUntil([&] { return !pair.eventsB.incomingStreamFrames.empty(); });
    BOOST_TEST(std::get<RunRequest>(pair.eventsB.incomingStreamFrames.front()).request.value()
               == 2U);
    pair.runUntil([&] { return !pair.eventsA.outgoingEndsWasOpen.empty(); });
    BOOST_TEST(pair.eventsA.unansweredAttempts.size() == 1U);
    BOOST_TEST(pair.eventsA.unansweredAttempts.front().request.value() == 1U);
}

/// Gossip that was sent on a connection that had gone silent was lost without notice, and the
/// stream stayed in use.
BOOST_AUTO_TEST_CASE(silentStreamThatCarriesOnlyGossipIsEndedAndItsReplacementReported)
{
    MeshPair pair(21323, 21324);
    SilencingRelay relay(&pair.loop, 21325, 21324);
    const PeerRef relayedB{pair.b.instance, pair.b.incarnation, "127.0.0.1:21325"};
    pair.meshA->post(SendToPeer{relayedB, Gossip{}});
    pair.runUntil([&] { return !pair.eventsB.incomingStreamFrames.empty(); });
    relay.silence();
    const TimePoint silenced = monotonicNow();
    pair.meshA->post(SendToPeer{relayedB, Gossip{}});
    pair.runUntil([&] { return !pair.eventsA.outgoingEnds.empty(); });
    BOOST_TEST((pair.eventsA.outgoingEnds.front() == StreamEnd::Silent));
    BOOST_TEST(pair.eventsA.replacedSilentStreams.empty());
    pair.meshA->post(SendToPeer{relayedB, Gossip{}});
    pair.runUntil([&] { return pair.eventsB.incomingStreamFrames.size() == 2; });
    BOOST_REQUIRE(pair.eventsA.replacedSilentStreams.size() == 1);
    BOOST_TEST((pair.eventsA.replacedSilentStreams.front() >= silenced));
}

/// Nothing is sent on the stream, so only a ping shows that it is silent.
BOOST_AUTO_TEST_CASE(silentStreamIsFoundAlthoughNothingIsSent)
{
    MeshPair pair(21326, 21327);
    SilencingRelay relay(&pair.loop, 21328, 21327);
    pair.meshA->post(
            SendToPeer{{pair.b.instance, pair.b.incarnation, "127.0.0.1:21328"}, Gossip{}});
    pair.runUntil([&] { return !pair.eventsB.incomingStreamFrames.empty(); });
    relay.silence();
    pair.runUntil([&] { return !pair.eventsA.outgoingEnds.empty(); });
    BOOST_TEST((pair.eventsA.outgoingEnds.front() == StreamEnd::Silent));
}

/// A peer that answers nothing on new connections either is gone, which says nothing about others.
BOOST_AUTO_TEST_CASE(streamToAPeerThatIsGoneRaisesNoSuspicionOfOtherConnections)
{
    MeshPair pair(21329, 21330);
    pair.meshA->post(SendToPeer{pair.b, Gossip{}});
    pair.runUntil([&] { return !pair.eventsB.incomingStreamFrames.empty(); });
    pair.meshB.reset();
    pair.runUntil([&] { return !pair.eventsA.outgoingEnds.empty(); });
    pair.meshA->post(SendToPeer{pair.b, Gossip{}});
    pair.runUntil([&] { return pair.eventsA.outgoingEnds.size() == 2; });
    BOOST_TEST(pair.eventsA.replacedSilentStreams.empty());
}

BOOST_AUTO_TEST_CASE(idleStreamToAPeerThatAnswersStaysOpen)
{
    MeshPair pair(21331, 21332);
    pair.meshA->post(SendToPeer{pair.b, Gossip{}});
    pair.loop.run_for(std::chrono::seconds(4));
    BOOST_TEST(pair.eventsA.outgoingEnds.empty());
}
