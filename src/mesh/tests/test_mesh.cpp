#define BOOST_TEST_MODULE mesh
#include "mesh/mesh.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornford;

namespace {

/// Notes what happens on one node's streams.
struct Recorder : MeshEvents
{
    void onPeerFrame(const PeerRef &peer, Frame frame) override
    {
        peers.push_back(peer);
        peerFrames.push_back(std::move(frame));
    }
    void onPeerStreamEnded(const InstanceId &, bool wasOpen,
                           std::vector<AttemptRef> unanswered) override
    {
        ended.push_back(wasOpen);
        lost.insert(lost.end(), unanswered.begin(), unanswered.end());
    }
    void onIncomingFrame(StreamId channel, const PeerRef &from, Frame frame) override
    {
        lastChannel = channel;
        callers.push_back(from);
        channelFrames.push_back(std::move(frame));
    }
    void onIncomingStreamEnded(StreamId) override { ++closed; }

    std::vector<PeerRef> peers;
    std::vector<Frame> peerFrames;
    std::vector<bool> ended;
    std::vector<AttemptRef> lost;
    std::vector<PeerRef> callers;
    std::vector<Frame> channelFrames;
    StreamId lastChannel;
    int closed = 0;
};

/// Two nodes on one loop.
struct Pair
{
    Pair(std::uint16_t portA, std::uint16_t portB)
        : a{InstanceId{"a"}, Incarnation{1}, "127.0.0.1:" + std::to_string(portA)}
        , b{InstanceId{"b"}, Incarnation{1}, "127.0.0.1:" + std::to_string(portB)}
        , meshA(std::move(MeshTask::listen(&loop, parseEndpoint(a.address).value(), a, &eventsA,
                                           MeshSettings{})
                                  .value()))
        , meshB(std::move(MeshTask::listen(&loop, parseEndpoint(b.address).value(), b, &eventsB,
                                           MeshSettings{})
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
    Recorder eventsA;
    Recorder eventsB;
    std::unique_ptr<MeshTask> meshA;
    std::unique_ptr<MeshTask> meshB;
};

RunRequest run(std::uint64_t request)
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

BOOST_AUTO_TEST_CASE(aRunAndItsAnswerTravel)
{
    Pair pair(21311, 21312);
    pair.meshA->post(SendToPeer{pair.b, run(7)});
    pair.runUntil([&] { return !pair.eventsB.channelFrames.empty(); });
    const RunRequest &arrived = std::get<RunRequest>(pair.eventsB.channelFrames.front());
    BOOST_TEST(arrived.work.target == "/path?query");
    BOOST_TEST(arrived.work.headers.front().second == "h");
    BOOST_TEST(pair.eventsB.callers.front().instance == pair.a.instance);

    Answer answer;
    answer.request = RequestId{7};
    answer.reachedUpstream = true;
    answer.headers = {{"X", "y"}};
    pair.meshB->post(SendOnIncomingStream{pair.eventsB.lastChannel, answer});
    pair.runUntil([&] { return !pair.eventsA.peerFrames.empty(); });
    BOOST_TEST(std::get<Answer>(pair.eventsA.peerFrames.front()).reachedUpstream);
}

/// A reply to a frame on the node's own stream goes out on that stream; it used to break it.
BOOST_AUTO_TEST_CASE(aReplyToAPeerKeepsTheStream)
{
    Pair pair(21313, 21314);
    pair.meshA->post(SendToPeer{pair.b, Gossip{}});
    pair.runUntil([&] { return !pair.eventsB.channelFrames.empty(); });
    pair.meshB->post(SendOnIncomingStream{pair.eventsB.lastChannel, Gossip{}});
    pair.runUntil([&] { return !pair.eventsA.peers.empty(); });

    pair.meshA->post(SendToPeer{pair.eventsA.peers.front(), Gossip{}});
    pair.runUntil([&] { return pair.eventsB.channelFrames.size() == 2; });
    BOOST_TEST(pair.eventsA.ended.empty());
    BOOST_TEST(pair.eventsB.closed == 0);
}

BOOST_AUTO_TEST_CASE(aPeerThatNeverGreetedHasGotNothing)
{
    Pair pair(21315, 21316);
    const PeerRef nobody{InstanceId{"c"}, Incarnation{1}, "127.0.0.1:21399"};
    pair.meshA->post(SendToPeer{nobody, run(1)});
    pair.runUntil([&] { return !pair.eventsA.ended.empty(); });
    BOOST_TEST(!pair.eventsA.ended.front());
}

BOOST_AUTO_TEST_CASE(workForAnotherInstanceAtTheAddressIsNotSent)
{
    Pair pair(21317, 21318);
    PeerRef wrong = pair.b;
    wrong.instance = InstanceId{"c"};
    pair.meshA->post(SendToPeer{wrong, run(1)});
    pair.runUntil([&] { return !pair.eventsA.ended.empty(); });
    BOOST_TEST(!pair.eventsA.ended.front());
    BOOST_TEST(pair.eventsB.channelFrames.empty());
}

BOOST_AUTO_TEST_CASE(aBrokenStreamIsReportedAtBothEnds)
{
    Pair pair(21319, 21320);
    pair.meshA->post(SendToPeer{pair.b, run(1)});
    pair.runUntil([&] { return !pair.eventsB.channelFrames.empty(); });
    pair.meshB.reset();
    pair.runUntil([&] { return !pair.eventsA.ended.empty(); });
    BOOST_TEST(pair.eventsA.ended.front());
}

/// A stream that makes room for one to a newer start of the peer takes only its own work along.
BOOST_AUTO_TEST_CASE(aReplacedStreamLeavesTheWorkOfItsSuccessorAlone)
{
    Pair pair(21321, 21322);
    const PeerRef old{pair.b.instance, Incarnation{7}, "127.0.0.1:21398"};
    pair.meshA->post(SendToPeer{old, run(1)});
    pair.meshA->post(SendToPeer{pair.b, run(2)});
    pair.runUntil([&] { return !pair.eventsB.channelFrames.empty(); });
    BOOST_TEST(std::get<RunRequest>(pair.eventsB.channelFrames.front()).request.value() == 2U);
    pair.runUntil([&] { return !pair.eventsA.ended.empty(); });
    BOOST_TEST(pair.eventsA.lost.size() == 1U);
    BOOST_TEST(pair.eventsA.lost.front().request.value() == 1U);
}
