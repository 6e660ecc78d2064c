#define BOOST_TEST_MODULE link
#include "link/codec_p.h"
#include "link/link.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace buckthornford;

namespace {

RunRequest makeRun()
{
    RunRequest run;
    run.request = RequestId{7};
    run.attempt = AttemptNumber{2};
    run.work = {ServiceName{"s"},
                OperationName{"o"},
                "POST",
                "q=1",
                ClassName{"c"},
                CallerName{"p"},
                false,
                "key",
                "t/x",
                std::string("\0b", 2)};
    run.timeLeft = Duration{1234};
    run.age = Duration{5};
    run.retryBudget = Tokens{3};
    run.depth = Depth{4};
    run.revision = Revision{9};
    run.trace = {1, 2, 3, true};
    run.alternate = PeerRef{InstanceId{"x"}, Incarnation{8}, "1.2.3.4:5"};
    run.chainRank = Rank{6};
    run.isRepeat = true;
    return run;
}

} // namespace

BOOST_AUTO_TEST_CASE(framesOfEveryKindSurviveEncodingAndDecoding)
{
    Answer answer;
    answer.request = RequestId{5};
    answer.outcome = Outcome::Unknown;
    answer.reason = Error::AnswerLost;
    answer.body = "body";
    answer.load = {1, 2, 3};
    Gossip gossip;
    gossip.members = {Member{}};
    gossip.members[0].peer.instance = InstanceId{"m"};
    gossip.members[0].state = MemberState::Leaving;
    gossip.bucketHashes = {1, 2};
    gossip.configuration = "{}";
    const std::string bytes = encodeBatch({makeRun(), answer, Cancel{RequestId{1}, {}}, gossip,
                                           Ping{}, Pong{}, Hello{{InstanceId{"h"}, {}, ""}}});
    const auto frames = decodeBatch(bytes);
    BOOST_REQUIRE(frames.value().size() == 7);
    BOOST_TEST(encodeBatch(frames.value()) == bytes);
    const RunRequest &run = std::get<RunRequest>(frames.value()[0]);
    BOOST_TEST((run.work.body == makeRun().work.body));
    BOOST_TEST((run.alternate == makeRun().alternate));
    BOOST_TEST((run.chainRank == makeRun().chainRank));
    BOOST_TEST(run.isRepeat);
}

/// Guards against: one text that isn't UTF-8, from a caller, an upstream or an announcement, made
/// the whole batch malformed, which ended the stream with all that ran on it.
BOOST_AUTO_TEST_CASE(textOfAnyBytesSurvivesEncodingAndDecoding)
{
    const std::string latin1 = "Caf\xe9";
    RunRequest run = makeRun();
    run.work.method = latin1;
    run.work.query = latin1;
    run.work.key = latin1;
    run.work.contentType = latin1;
    run.work.target = latin1;
    run.work.headers = {{latin1, latin1}};
    Answer answer;
    answer.contentType = latin1;
    answer.headers = {{"X", latin1}};
    Gossip gossip;
    gossip.members = {Member{}};
    gossip.members[0].peer.instance = InstanceId{"m"};
    gossip.members[0].departure = UpstreamDeparture{latin1, UpstreamStart{5}};
    const auto frames = decodeBatch(encodeBatch({run, answer, gossip}));
    BOOST_REQUIRE(frames);
    BOOST_REQUIRE(frames.value().size() == 3);
    const Work &work = std::get<RunRequest>(frames.value()[0]).work;
    BOOST_TEST((work.headers == run.work.headers));
    BOOST_TEST(work.target == latin1);
    BOOST_TEST((std::get<Answer>(frames.value()[1]).headers == answer.headers));
    const Gossip &read = std::get<Gossip>(frames.value()[2]);
    BOOST_TEST((read.members[0].departure == gossip.members[0].departure));
}

/// Changes one byte of a batch and cuts off up to two. A request with a wrong body must not reach
/// an upstream: the run decodes with the body that was sent, with an empty one, or not at all.
BOOST_AUTO_TEST_CASE(damagedBytesNeverDecodeToAnotherBody)
{
    BOOST_TEST(rc::check("a run decodes with the body that was sent, or not at all", [] {
        std::string bytes = encodeBatch({makeRun()});
        const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[position] = static_cast<char>(*rc::gen::inRange(0, 256));
        bytes.resize(bytes.size() - *rc::gen::inRange<std::size_t>(0, 3));
        const auto frames = decodeBatch(bytes);
        if (!frames)
            return;
        for (const Frame &frame : frames.value()) {
            if (const auto *run = std::get_if<RunRequest>(&frame))
                RC_ASSERT(run->work.body == makeRun().work.body || run->work.body.empty());
        }
    }));
}

/// A receiver that knows nothing of bodies at the end sees a batch like any other.
BOOST_AUTO_TEST_CASE(batchWithItsBodyAtTheEndDecodesAsABatch)
{
    const RunRequest run = makeRun();
    const std::string bytes = encodeBatchUpToBody(run) + std::string(run.work.body.view());
    const auto frames = decodeBatch(bytes);
    BOOST_REQUIRE(frames);
    BOOST_REQUIRE(frames.value().size() == 1);
    BOOST_TEST(encodeBatch(frames.value()) == encodeBatch({run}));
}

BOOST_AUTO_TEST_CASE(runWithItsBodyAtTheEndSharesTheBytesRead)
{
    const RunRequest run = makeRun();
    const auto buffer = std::make_shared<const std::string>("before" + encodeBatchUpToBody(run)
                                                            + std::string(run.work.body.view()));
    const std::optional<Frame> frame = decodeRunWithBodyAtEnd(buffer, 6);
    BOOST_REQUIRE(frame.has_value());
    const Work &work = std::get<RunRequest>(*frame).work;
    BOOST_TEST((work.body == run.work.body));
    BOOST_TEST((work.body.data() + work.body.size() == buffer->data() + buffer->size()));
    BOOST_TEST(encodeBatch({*frame}) == encodeBatch({run}));
}

BOOST_AUTO_TEST_CASE(headOfARunIsReadAsSoonAsItsBodyBegins)
{
    const RunRequest run = makeRun();
    const std::string head = encodeBatchUpToBody(run);
    const std::size_t size = head.size() + run.work.body.size();
    for (std::size_t arrived = 0; arrived < head.size(); ++arrived)
        BOOST_TEST(!decodeRunHead(head.substr(0, arrived), size));
    for (const std::string &bytes : {head, head + std::string(run.work.body.view().substr(0, 1))}) {
        const std::optional<RunRequest> read = decodeRunHead(bytes, size);
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST((read->request == run.request));
        BOOST_TEST((read->retryBudget == run.retryBudget));
    }
}

/// Other batches are left to decodeBatch().
BOOST_AUTO_TEST_CASE(batchWithoutABodyAtItsEndIsNotTakenForOne)
{
    const RunRequest run = makeRun();
    for (const std::string &bytes :
         {std::string(), encodeBatch({Ping{}}), encodeBatch({run, run}), encodeBatchUpToBody(run),
          encodeBatchUpToBody(run) + std::string(run.work.body.view()) + "x"}) {
        BOOST_TEST(!decodeRunWithBodyAtEnd(std::make_shared<const std::string>(bytes), 0));
    }
}

BOOST_AUTO_TEST_CASE(damagedBatchWithItsBodyAtTheEndNeverDecodesToAnotherBody)
{
    BOOST_TEST(rc::check("a run decodes with the body that was sent, or not at all", [] {
        const RunRequest sent = makeRun();
        std::string bytes = encodeBatchUpToBody(sent) + std::string(sent.work.body.view());
        const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[position] = static_cast<char>(*rc::gen::inRange(0, 256));
        bytes.resize(bytes.size() - *rc::gen::inRange<std::size_t>(0, 3));
        const auto frame = decodeRunWithBodyAtEnd(std::make_shared<const std::string>(bytes), 0);
        if (frame)
            RC_ASSERT(std::get<RunRequest>(*frame).work.body == sent.work.body);
    }));
}
