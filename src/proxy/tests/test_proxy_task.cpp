#define BOOST_TEST_MODULE proxy_task
#include "proxy/proxy_task.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace buckthornford;
using namespace std::chrono_literals;

namespace {

constexpr Duration gracePeriod = 6s;
constexpr Duration objective = 1s;
constexpr Duration routeTimeout = 3s;
constexpr std::uint32_t slots = 8;
const ServiceName service{"affirmer"};

constexpr std::string_view runRequestId = "request"; ///< that callers give each request
constexpr std::string_view callTarget = "/call";     ///< of calls that the upstream makes for it

class FakeCallerCodec : public CallerCodec
{
public:
    std::optional<ServerResponse> read(ServerRequest request, IncomingCall *call) const override
    {
        if (request.target == callTarget)
            call->parentRequestId = runRequestId;
        call->host = "swap";
        call->path = "/affirm/";
        return std::nullopt;
    }
    ServerResponse makeResponse(RequestId id, Answer answer) const override
    {
        ServerResponse response;
        response.id = id;
        if (answer.outcome == Outcome::NotRun)
            response.headers = {{"Retry-After", std::to_string(answer.retryAfter.count())}};
        return response;
    }
    std::string_view callerRequestId(const HttpHeaders &) const override { return runRequestId; }
};

Configuration makeConfiguration()
{
    Preset preset;
    preset.name = PresetName{"only"};
    preset.classes = {{ClassName{"class"}, Rank{0}, Tokens{0}, std::chrono::seconds(5), objective}};
    Configuration configuration;
    configuration.revision = Revision{1};
    Route route;
    route.name = OperationName{"affirm"};
    route.host = "swap";
    route.prefix = "/affirm/";
    route.services = {{service, 1.0}};
    route.className = ClassName{"class"};
    route.timeout = routeTimeout;
    configuration.document.routes = RouteTable::create({route}).value();
    configuration.document.activePresetName = preset.name;
    configuration.document.presets.emplace(preset.name, preset);
    return configuration;
}

/// A proxy task with an upstream that serves, as peers' dispatchers see it: runs come in on a
/// stream and answers leave on it.
struct UpstreamNode
{
    explicit UpstreamNode(ProxySettings settings = {})
    {
        settings.self = {InstanceId{"node"}, Incarnation{1}, ""};
        settings.drainPropagationDelay = gracePeriod;
        settings.admission.limiter = LimiterKind::Fixed;
        settings.dispatch.maxRetryAfter = 400ms;
        settings.dispatch.usesIdempotencyKeys = false;
        settings.dispatch.cancelsCallsOfEndedExecutions = false;
        Adapter adapter;
        adapter.callers = std::make_shared<FakeCallerCodec>();
        ProxyCallbacks callbacks;
        callbacks.respond
                = [this](ServerResponse response) { responses.push_back(std::move(response)); };
        callbacks.mesh = [this](MeshMessage message) {
            if (auto *sent = std::get_if<SendOnIncomingStream>(&message))
                answers.push_back(std::get<Answer>(sent->frame));
        };
        callbacks.upstream = [this](UpstreamMessage message) {
            if (auto *job = std::get_if<StartJob>(&message))
                jobs.push_back(*job);
            if (auto *change = std::get_if<UpstreamChanged>(&message))
                identities.push_back(change->identity);
        };
        callbacks.probeUpstream = [] {};
        callbacks.status = [this](const NodeStatus &status) { lastStatus = status; };
        callbacks.poisonEvents = [](const PoisonEventsArrived &) {};
        callbacks.acknowledge = [this](RequestId request) { acknowledged.push_back(request); };
        callbacks.storeDeparture = [this](const UpstreamDeparture &departure) {
            departuresToStore.push_back(departure);
        };
        callbacks.log = &log;
        task = std::make_unique<ProxyTask>(&loop, settings, adapter, callbacks);
        task->post(ConfigurationChanged{makeConfiguration()});
        if (settings.readsDeparture)
            return;
        UpstreamAnnouncement announcement;
        announcement.id = "i-1";
        announcement.service = service;
        announcement.slots = Slots{slots};
        task->post(AnnouncementArrived{RequestId{1}, announcement});
    }

    void receiveRun(Duration timeLeft, RequestId id = RequestId{1})
    {
        RunRequest run;
        run.request = id;
        run.work.service = service;
        run.work.className = ClassName{"class"};
        run.timeLeft = timeLeft;
        run.revision = Revision{1};
        task->post(IncomingFrameArrived{StreamId{1}, run});
        loop.run_for(50ms);
    }

    EventLoop loop{1};
    EventLog log{EventLog::Settings{}};
    std::unique_ptr<ProxyTask> task;
    std::vector<Answer> answers;
    std::vector<StartJob> jobs;
    std::vector<UpstreamIdentity> identities; ///< that the upstream task was told
    std::vector<ServerResponse> responses;    ///< to the callers beside the node
    std::vector<RequestId> acknowledged;      ///< announcements
    std::vector<UpstreamDeparture> departuresToStore;
    NodeStatus lastStatus;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aRunOnAStoppingNodeEndsBeforeTheNodeDoes, UpstreamNode)
{
    const StopSchedule schedule = StopSchedule::startingAt(monotonicNow(), gracePeriod);
    task->post(StopRequest{schedule});
    receiveRun(3s);
    BOOST_REQUIRE(jobs.size() == 1);
    BOOST_TEST((jobs.front().deadline <= schedule.executionsDueBy()));
}

BOOST_DATA_TEST_CASE_F(UpstreamNode, aRunThatMayOutlastAStopIsRefusedAndMayGoElsewhere,
                       boost::unit_test::data::make({0, 3, 5}), secondsSinceSignal)
{
    const TimePoint signalTime = monotonicNow() - std::chrono::seconds(secondsSinceSignal);
    task->post(StopRequest{StopSchedule::startingAt(signalTime, gracePeriod)});
    receiveRun(gracePeriod - std::chrono::seconds(secondsSinceSignal));
    BOOST_TEST(jobs.empty());
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((answers.front().outcome == Outcome::NotRun));
    BOOST_TEST((answers.front().reason == Error::TargetLeaving));
    BOOST_TEST(answers.front().retryable);
}

BOOST_FIXTURE_TEST_CASE(aRunThatWaitsWhenTheNodeStopsEndsBeforeTheNodeDoes, UpstreamNode)
{
    for (std::uint64_t id = 1; id <= slots + 1; ++id)
        receiveRun(20s, RequestId{id});
    BOOST_REQUIRE(jobs.size() == slots);
    const StopSchedule schedule = StopSchedule::startingAt(monotonicNow(), gracePeriod);
    task->post(StopRequest{schedule});
    UpstreamResult result;
    result.execution = jobs.front().execution;
    result.status = 200;
    task->post(ExecutionEnded{result});
    loop.run_for(50ms);
    BOOST_REQUIRE(jobs.size() == slots + 1);
    BOOST_TEST((jobs.back().deadline <= schedule.executionsDueBy()));
}

BOOST_FIXTURE_TEST_CASE(aRunOnAServingNodeKeepsItsTimeLimit, UpstreamNode)
{
    const TimePoint before = monotonicNow();
    receiveRun(20s);
    BOOST_REQUIRE(jobs.size() == 1);
    BOOST_TEST((jobs.front().deadline >= before + 20s));
}

/// Callers that were refused by a node late in its stop sent again at once, many times a second.
BOOST_FIXTURE_TEST_CASE(aCallRefusedByAStoppingNodeIsToldWhenToComeBack, UpstreamNode)
{
    task->post(StopRequest{StopSchedule::startingAt(monotonicNow() - 5s, gracePeriod)});
    task->post(CallArrived{ServerRequest{}});
    loop.run_for(50ms);
    BOOST_REQUIRE(responses.size() == 1);
    BOOST_REQUIRE(responses.front().headers.size() == 1);
    const Duration retryAfter{std::stoll(responses.front().headers.front().second)};
    BOOST_TEST((retryAfter >= 100ms));
    BOOST_TEST((retryAfter <= routeTimeout / 3));
}

/// Guards against: the calls of a run that was cancelled, as the slower of two hedged ones is, were
/// answered with an error of the node's own while their targets were at work. The upstream may not
/// have noticed that its run was cancelled; if it has, it leaves its calls.
BOOST_FIXTURE_TEST_CASE(aCallOfARunThatWasCancelledIsNotBrokenOff, UpstreamNode)
{
    Member self;
    self.peer = {InstanceId{"node"}, Incarnation{1}, ""};
    self.state = MemberState::Serving;
    self.service = service;
    self.slots = Slots{slots};
    task->post(MembersChanged{{self}});
    receiveRun(3s);
    BOOST_REQUIRE(jobs.size() == 1);
    ServerRequest call;
    call.id = RequestId{7};
    call.target = std::string(callTarget);
    task->post(CallArrived{call});
    loop.run_for(50ms);
    BOOST_REQUIRE(jobs.size() == 2);
    UpstreamResult cancelled;
    cancelled.execution = jobs.front().execution;
    cancelled.end = UpstreamResult::End::Cancelled;
    task->post(ExecutionEnded{cancelled});
    loop.run_for(50ms);
    BOOST_TEST(responses.empty());
    UpstreamResult answered;
    answered.execution = jobs.back().execution;
    answered.status = 200;
    task->post(ExecutionEnded{answered});
    loop.run_for(50ms);
    BOOST_TEST(responses.size() == 1U);
}

/// Guards against: a heartbeat that arrived late was the first one after a restart of the node and
/// brought a target back that had left.
BOOST_FIXTURE_TEST_CASE(aDepartureThatAPeerRemembersTakesTheUpstreamOut, UpstreamNode)
{
    UpstreamAnnouncement announcement;
    announcement.id = "i-2";
    announcement.start = 500;
    announcement.service = service;
    announcement.slots = Slots{slots};
    task->post(AnnouncementArrived{RequestId{2}, announcement});
    task->post(DepartureReported{{"i-2", UpstreamStart{500}}});
    loop.run_for(50ms);
    BOOST_TEST((lastStatus.state == MemberState::Leaving));
    BOOST_TEST(departuresToStore.size() == 1U);
    announcement.sequence = 9;
    task->post(AnnouncementArrived{RequestId{3}, announcement});
    loop.run_for(50ms);
    BOOST_TEST((lastStatus.state == MemberState::Leaving));
    announcement.start = 501;
    task->post(AnnouncementArrived{RequestId{4}, announcement});
    loop.run_for(50ms);
    BOOST_TEST((lastStatus.state == MemberState::Serving));
}

BOOST_FIXTURE_TEST_CASE(aDepartureIsAcknowledgedOnceItIsStored, UpstreamNode)
{
    UpstreamAnnouncement announcement;
    announcement.id = "i-1";
    announcement.start = 500;
    announcement.state = UpstreamAnnouncement::State::Deregistered;
    task->start();
    loop.run_for(50ms);
    acknowledged.clear();
    task->post(AnnouncementArrived{RequestId{2}, announcement});
    loop.run_for(50ms);
    BOOST_TEST(acknowledged.empty());
    BOOST_TEST(departuresToStore.size() == 1U);
    task->post(DepartureStored{});
    loop.run_for(50ms);
    BOOST_TEST(acknowledged.size() == 1U);
}

/// The upstream waits a second for the acknowledgement; the store may be away for longer.
BOOST_FIXTURE_TEST_CASE(aDepartureIsAcknowledgedInTimeWithoutTheStore, UpstreamNode)
{
    UpstreamAnnouncement announcement;
    announcement.id = "i-1";
    announcement.start = 500;
    announcement.state = UpstreamAnnouncement::State::Deregistered;
    task->start();
    loop.run_for(50ms);
    acknowledged.clear();
    task->post(AnnouncementArrived{RequestId{2}, announcement});
    loop.run_for(900ms);
    BOOST_TEST(acknowledged.size() == 1U);
}

namespace {

UpstreamAnnouncement heartbeat(std::string id, std::uint64_t start, std::uint64_t sequence)
{
    UpstreamAnnouncement announcement;
    announcement.id = std::move(id);
    announcement.start = start;
    announcement.sequence = sequence;
    announcement.service = service;
    announcement.slots = Slots{slots};
    return announcement;
}

/// Some upstreams send a deregistration without a body: it doesn't tell their start.
UpstreamAnnouncement deregistrationWithoutStart(std::string id)
{
    UpstreamAnnouncement announcement;
    announcement.id = std::move(id);
    announcement.state = UpstreamAnnouncement::State::Deregistered;
    return announcement;
}

/// A node that starts again, waits for the departure that its earlier start has stored and then for
/// late announcements.
struct RestartedNode : UpstreamNode
{
    static ProxySettings settings()
    {
        ProxySettings settings;
        settings.readsDeparture = true;
        settings.departureReadTimeout = 200ms;
        settings.lateAnnouncementLimit = 300ms;
        return settings;
    }

    RestartedNode()
        : UpstreamNode(settings())
    {
        task->start();
        loop.run_for(20ms);
    }

    void receive(UpstreamAnnouncement announcement)
    {
        task->post(AnnouncementArrived{RequestId{++requests}, std::move(announcement)});
        loop.run_for(20ms);
    }

    std::uint64_t requests = 1;
};

} // namespace

/// Guards against: once an upstream beside the node had left, its successors' deregistrations
/// without a start counted as outdated and had no effect.
BOOST_FIXTURE_TEST_CASE(aSuccessorThatLeavesWithoutTellingItsStartServesNoMore, UpstreamNode)
{
    task->post(DepartureReported{{"i-1", UpstreamStart{500}}});
    task->post(AnnouncementArrived{RequestId{2}, heartbeat("i-2", 900, 1)});
    loop.run_for(50ms);
    BOOST_TEST((lastStatus.state == MemberState::Serving));
    task->post(AnnouncementArrived{RequestId{3}, deregistrationWithoutStart("i-2")});
    loop.run_for(50ms);
    BOOST_TEST((lastStatus.state == MemberState::Leaving));
    BOOST_REQUIRE(lastStatus.departure.has_value());
    BOOST_TEST((lastStatus.departure->start == UpstreamStart{900}));
}

/// Guards against: a deregistration that arrived while the node waited for the store was
/// acknowledged and forgotten; the heartbeat before it, which waited, was taken after it.
BOOST_FIXTURE_TEST_CASE(anUpstreamThatLeavesWhileItsHeartbeatWaitsIsNotUsed, RestartedNode)
{
    receive(heartbeat("i-2", 500, 7));
    receive(deregistrationWithoutStart("i-2"));
    loop.run_for(300ms);
    receive(heartbeat("i-2", 500, 6));
    BOOST_TEST((lastStatus.state != MemberState::Serving));
    BOOST_REQUIRE(departuresToStore.size() == 1U);
    BOOST_TEST((departuresToStore.front() == UpstreamDeparture{"i-2", UpstreamStart{500}}));
}

/// Guards against: a deregistration that was the first thing a restarted node heard of its upstream
/// was acknowledged and forgotten; a late heartbeat brought the upstream back.
BOOST_FIXTURE_TEST_CASE(anUpstreamThatLeavesUnknownIsNotBroughtBackByLateHeartbeats, RestartedNode)
{
    receive(deregistrationWithoutStart("i-2"));
    receive(heartbeat("i-2", 500, 7));
    loop.run_for(230ms);
    receive(heartbeat("i-2", 500, 6));
    BOOST_TEST((lastStatus.state != MemberState::Serving));
    BOOST_TEST(acknowledged.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(anUpstreamThatLeftUnknownIsUsedOnceItIsBack, RestartedNode)
{
    receive(deregistrationWithoutStart("i-2"));
    loop.run_for(350ms);
    receive(heartbeat("i-2", 500, 1));
    BOOST_TEST((lastStatus.state == MemberState::Serving));
}

BOOST_FIXTURE_TEST_CASE(anotherUpstreamIsUsedBesideOneThatLeftUnknown, RestartedNode)
{
    receive(deregistrationWithoutStart("i-2"));
    receive(heartbeat("i-3", 500, 1));
    loop.run_for(200ms);
    BOOST_TEST((lastStatus.state == MemberState::Serving));
}

namespace {

/// A node whose upstream has reported once; another writer's report of the same start follows.
struct NodeWithOddReports : UpstreamNode
{
    NodeWithOddReports()
    {
        task->start();
        receive(heartbeat("i-2", 500, 7));
    }

    void receive(UpstreamAnnouncement announcement)
    {
        task->post(AnnouncementArrived{RequestId{++requests}, std::move(announcement)});
        loop.run_for(20ms);
    }

    std::uint64_t requests = 1;
};

} // namespace

/// Guards against: after a report with the sequence of another writer the upstream's own reports
/// counted as outdated; its acknowledged draining had no effect.
BOOST_FIXTURE_TEST_CASE(drainingTakesEffectWhateverTheSequencesBeforeIt, NodeWithOddReports)
{
    receive(heartbeat("i-2", 500, 900'000));
    UpstreamAnnouncement draining = heartbeat("i-2", 500, 8);
    draining.state = UpstreamAnnouncement::State::Draining;
    receive(draining);
    BOOST_TEST((lastStatus.state == MemberState::Leaving));
    BOOST_REQUIRE(lastStatus.departure.has_value());
    BOOST_TEST((lastStatus.departure->start == UpstreamStart{500}));
}

/// Guards against: requests of the service that another writer's report named ran at the upstream.
BOOST_FIXTURE_TEST_CASE(aReportThatNamesAnotherServiceOfTheSameStartChangesNothing,
                        NodeWithOddReports)
{
    const NodeStatus before = lastStatus;
    UpstreamAnnouncement odd = heartbeat("i-2", 500, 900'000);
    odd.service = ServiceName{"foreign"};
    odd.slots = Slots{1000};
    receive(odd);
    BOOST_TEST((lastStatus == before));
    receiveRun(3s);
    BOOST_TEST(jobs.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(aReportThatNamesAnotherAddressOfTheSameStartChangesNothing,
                        NodeWithOddReports)
{
    const std::size_t before = identities.size();
    UpstreamAnnouncement odd = heartbeat("i-2", 500, 8);
    odd.address = {"127.0.0.1", 9};
    receive(odd);
    BOOST_TEST(identities.size() == before);
}

/// Guards against: a report with the sequence of another writer kept an upstream that was lost once
/// out of use for as long as it ran.
BOOST_FIXTURE_TEST_CASE(aLostUpstreamIsUsedAgainWhateverTheSequencesBefore, NodeWithOddReports)
{
    receive(heartbeat("i-2", 500, 900'000));
    receiveRun(3s);
    BOOST_REQUIRE(jobs.size() == 1U);
    UpstreamResult result;
    result.execution = jobs.front().execution;
    result.end = UpstreamResult::End::NotSent;
    task->post(ExecutionEnded{result});
    loop.run_for(20ms);
    BOOST_TEST((lastStatus.state == MemberState::Joining));
    receive(heartbeat("i-2", 500, 8));
    BOOST_TEST((lastStatus.state == MemberState::Serving));
}
