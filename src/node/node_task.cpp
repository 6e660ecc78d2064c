#include "node/node_task_p.h"

#include <array>
#include <utility>

namespace buckthornford {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(20);
/// An upstream that has not announced itself for this long counts as gone.
constexpr Duration announcementTimeout = std::chrono::seconds(3);
constexpr std::size_t maxSpans = 4096;
/// ReplyTo::stream of requests from this node's own dispatcher.
constexpr std::uint64_t localStream = 0;

DispatchSettings dispatchSettings(const NodeSettings &settings, const Policy &policy,
                                  const PoisonDetector *poison)
{
    DispatchSettings result;
    result.location = {settings.instance, settings.zone, settings.region};
    result.policy = policy.dispatch;
    result.keyLife = settings.keyLife;
    result.seed = settings.seed;
    result.sampledShare = settings.sampledShare;
    result.poison = policy.dispatch.usesIdempotencyKeys ? poison : nullptr;
    return result;
}

AdmissionSettings admissionSettings(const NodeSettings &settings, const Policy &policy,
                                    const PeerRef &self, const PoisonDetector *poison)
{
    AdmissionSettings result;
    result.self = self.instance;
    result.incarnation = self.incarnation;
    result.policy = policy.admission;
    result.idempotency.keyLife = settings.keyLife;
    result.poison = policy.admission.deduplicatesKeys ? poison : nullptr;
    return result;
}

LinkClient::Settings linkSettings(const NodeSettings &settings)
{
    LinkClient::Settings result;
    result.dialOverrides = settings.dialOverrides;
    return result;
}

} // namespace

NodeTask::NodeTask(const NodeSettings &settings, const Policy &policy, const PeerRef &self,
                   Callbacks callbacks)
    : m_settings(settings)
    , m_self(self)
    , m_poison(PoisonDetector::Settings{})
    , m_dispatcher(dispatchSettings(settings, policy, &m_poison))
    , m_admission(admissionSettings(settings, policy, self, &m_poison))
    , m_link(self, this, linkSettings(settings))
    , m_pool([this](UpstreamWorker *worker, UpstreamResult result) {
        post(UpstreamJobEnded{worker, std::move(result)});
    })
    , m_callbacks(std::move(callbacks))
    , m_spans(maxSpans)
{
    m_canceller.start();
}

NodeTask::~NodeTask()
{
    stop();
}

void NodeTask::onFrame(const InstanceId &peer, Frame frame)
{
    post(PeerFrame{peer, std::move(frame)});
}

void NodeTask::onEnded(const InstanceId &peer, StreamId stream, bool wasOpen)
{
    post(PeerStreamClosed{peer, stream, wasOpen});
}

void NodeTask::handle(NodeMessage &&message, TimePoint now)
{
    std::visit(
            [this, now](auto &&alternative) {
                on(std::forward<decltype(alternative)>(alternative), now);
            },
            std::move(message));
}

TimePoint NodeTask::tick(TimePoint now)
{
    const WallTime wall = steadyWallNow();
    carryOut(m_dispatcher.tick(now, wall), now);
    carryOut(m_admission.tick(now, wall), now);
    m_link.tick(now);
    m_poison.expire(now);
    if (m_upstream && now - m_upstream->lastAnnounced > announcementTimeout) {
        m_upstream.reset();
        carryOut(m_admission.detachUpstream(now), now);
    }
    startDrainingWhenDue(now);
    publishStatus();
    return m_dispatcher.nextWake(now + tickInterval);
}

void NodeTask::on(CallReceived &&message, TimePoint now)
{
    m_callReplies[message.id] = std::move(message.reply);
    carryOut(m_dispatcher.startCall(message.id, std::move(message.request), m_history, now,
                                    steadyWallNow()),
             now);
}

void NodeTask::on(CallAbandoned &&message, TimePoint now)
{
    carryOut(m_dispatcher.cancel(message.id, now, steadyWallNow()), now);
}

void NodeTask::on(KeysRequest &&message, TimePoint now)
{
    message.reply->post(
            m_dispatcher.makeKeys(message.service, message.count, now, steadyWallNow()));
}

void NodeTask::on(IncomingStreamOpened &&message, TimePoint)
{
    m_incomingStreams[message.stream] = std::move(message.sink);
}

void NodeTask::on(IncomingFrame &&message, TimePoint now)
{
    if (const auto *run = std::get_if<RunRequest>(&message.frame)) {
        runLocally(*run, {message.stream.value(), run->request, run->attempt}, now);
        return;
    }
    if (const auto *cancel = std::get_if<Cancel>(&message.frame))
        carryOut(
                m_admission.cancel({message.stream.value(), cancel->request, cancel->attempt}, now),
                now);
}

void NodeTask::on(IncomingStreamClosed &&message, TimePoint)
{
    m_incomingStreams.erase(message.stream);
}

void NodeTask::on(PeerFrame &&message, TimePoint now)
{
    auto *answer = std::get_if<Answer>(&message.frame);
    if (answer == nullptr)
        return;
    // The crash is recorded first, because the dispatcher's decision on a retry depends on it.
    if (answer->crashId != 0) {
        if (const Work *work = m_dispatcher.findWork(answer->request))
            recordCrash(*work, answer->crashId, now);
    }
    carryOut(m_dispatcher.onAnswer(message.peer, std::move(*answer), now, steadyWallNow()), now);
}

void NodeTask::on(PeerStreamClosed &&message, TimePoint now)
{
    if (!m_link.removeStream(message.peer, message.stream))
        return;
    const WallTime wall = steadyWallNow();
    carryOut(message.wasOpen ? m_dispatcher.onPeerLost(message.peer, now, wall)
                             : m_dispatcher.onPeerUnreachable(message.peer, now, wall),
             now);
}

void NodeTask::on(UpstreamJobEnded &&message, TimePoint now)
{
    m_pool.release(message.worker);
    const ExecutionId id = message.result.execution;
    DispatchActions cancellations;
    const ChainResult chainResult
            = m_dispatcher.onExecutionEnded(id, now, steadyWallNow(), &cancellations);
    carryOut(std::move(cancellations), now);
    const auto running = m_runningExecutions.find(id);
    if (running != m_runningExecutions.end()) {
        if (message.result.end == UpstreamResult::End::ConnectionLost)
            recordCrash(running->second.run.work, message.result.upstreamStartId, now);
        else if (message.result.end == UpstreamResult::End::Answered)
            recordCompletion(running->second.run.work, now);
        recordAdmissionSpan(running->second, message.result);
        m_runningExecutions.erase(running);
    }
    const bool isUnreachable = message.result.end == UpstreamResult::End::NotSent;
    carryOut(m_admission.onExecutionEnded(std::move(message.result), chainResult, now), now);
    if (isUnreachable && m_upstream) {
        m_upstream.reset();
        carryOut(m_admission.detachUpstream(now), now);
        publishStatus();
    }
}

void NodeTask::on(UpstreamAnnounced &&message, TimePoint now)
{
    const Announcement &announcement = message.announcement;
    const bool isNewStart = !m_upstream || m_upstream->announcement.startId != announcement.startId;
    if (announcement.isLeaving && !m_drainStartTime) {
        m_isDrainRequestedByUpstream = true;
        on(DrainRequest{true}, now);
    } else if (!announcement.isLeaving && std::exchange(m_isDrainRequestedByUpstream, false)) {
        on(DrainRequest{false}, now);
    }
    m_upstream = Upstream{announcement, now};
    m_admission.attachUpstream(announcement.slots, isNewStart, now);
    if (announcement.load)
        m_admission.setReportedLoad(*announcement.load, now);
    message.reply->post(isDrained(now));
    publishStatus();
}

void NodeTask::on(ViewChanged &&message, TimePoint now)
{
    std::vector<Target> targets;
    std::vector<DirectoryEntry> directory;
    for (const Member &member : message.members) {
        if (member.isLive())
            directory.push_back({member.peer, member.service});
        if (member.isServing())
            targets.push_back({member.peer, member.service, member.zone, member.region,
                               member.slots, member.suspected});
    }
    m_liveNodeCount = directory.size();
    m_dispatcher.setView(targets, std::move(directory), now);
}

void NodeTask::on(ConfigurationArrived &&message, TimePoint)
{
    m_history.accept(std::move(message.configuration));
}

void NodeTask::on(PoisonEventsReceived &&message, TimePoint now)
{
    std::vector<PoisonEvent> newEvents;
    for (const PoisonEvent &event : message.events) {
        if (m_poison.record(event, now))
            newEvents.push_back(event);
    }
    if (!newEvents.empty())
        m_callbacks.poisonEvents({std::move(newEvents), message.from});
}

/// Records that \a work was running when its upstream crashed. A crash counts against all requests
/// that the upstream was running.
void NodeTask::recordCrash(const Work &work, std::uint64_t crashId, TimePoint now)
{
    on(PoisonEventsReceived{{{contentHash(work), crashId, false}}, std::nullopt}, now);
}

/// Releases the content of \a work if crashes are recorded for it: the upstream has now completed
/// it without a crash.
void NodeTask::recordCompletion(const Work &work, TimePoint now)
{
    if (m_poison.rows().empty())
        return;
    const ContentHash content = contentHash(work);
    if (m_poison.hasCrashes(content))
        on(PoisonEventsReceived{{{content, randomNumber(), true}}, std::nullopt}, now);
}

void NodeTask::on(DrainRequest &&message, TimePoint now)
{
    if (message.enable && !m_drainStartTime)
        m_drainStartTime = now;
    if (!message.enable) {
        m_drainStartTime.reset();
        m_admission.stopDraining();
    }
    publishStatus();
}

void NodeTask::on(OperatorQuery &&message, TimePoint)
{
    using TextFunction = std::string (NodeTask::*)() const;
    // In the order of OperatorQuery::Topic.
    static constexpr std::array<TextFunction, 5> texts{
            &NodeTask::statusText, &NodeTask::metricsText, &NodeTask::spansText,
            &NodeTask::configurationText, &NodeTask::poisonText};
    message.reply->post((this->*texts[static_cast<std::size_t>(message.topic)])());
}

void NodeTask::carryOut(DispatchActions &&actions, TimePoint now)
{
    for (DispatchAction &action : actions)
        std::visit(
                [this, now](auto &&alternative) {
                    carryOut(std::forward<decltype(alternative)>(alternative), now);
                },
                std::move(action));
}

void NodeTask::carryOut(SendRun &&action, TimePoint now)
{
    if (action.to.instance == m_self.instance)
        runLocally(action.run, {localStream, action.run.request, action.run.attempt}, now);
    else
        m_link.send(action.to, std::move(action.run), now);
}

void NodeTask::carryOut(SendCancel &&action, TimePoint now)
{
    if (action.to.instance == m_self.instance)
        carryOut(m_admission.cancel({localStream, action.request, action.attempt}, now), now);
    else
        m_link.sendIfOpen(action.to.instance, Cancel{action.request, action.attempt}, now);
}

void NodeTask::carryOut(FinishCall &&action, TimePoint)
{
    const Span &span = action.result.span;
    const Duration latency{span.end.value() - span.start.value()};
    m_dispatchMetrics.record(span.className, span.outcome, span.reason, latency);
    m_spans.add(span);
    const auto reply = m_callReplies.find(action.request);
    if (reply == m_callReplies.end())
        return;
    reply->second->post(std::move(action.result));
    m_callReplies.erase(reply);
}

void NodeTask::carryOut(AdmissionActions &&actions, TimePoint now)
{
    for (AdmissionAction &action : actions)
        std::visit(
                [this, now](auto &&alternative) {
                    carryOut(std::forward<decltype(alternative)>(alternative), now);
                },
                std::move(action));
}

void NodeTask::carryOut(StartExecution &&action, TimePoint now)
{
    const std::uint64_t parentSpan = action.run.trace.span;
    action.run.trace = action.run.trace.child();
    m_dispatcher.onExecutionStarted(action.execution, action.run, action.rank, action.deadline);
    m_runningExecutions.insert_or_assign(action.execution,
                                         RunningExecution{action.run, parentSpan, steadyWallNow()});
    (void)now;
    m_pool.start({m_upstream->announcement.address, checksum(m_upstream->announcement.startId),
                  action.execution, std::move(action.run), action.deadline});
}

void NodeTask::carryOut(CancelExecution &&action, TimePoint now)
{
    DispatchActions cancellations;
    // The calls that the execution has made are cancelled at once, without waiting for the upstream
    // to end the execution.
    m_dispatcher.cancelCallsOf(action.execution, now, steadyWallNow(), &cancellations);
    carryOut(std::move(cancellations), now);
    if (m_upstream)
        m_canceller.post({m_upstream->announcement.address, action.execution});
}

void NodeTask::carryOut(Reply &&action, TimePoint now)
{
    if (action.to.stream == localStream) {
        carryOut(m_dispatcher.onAnswer(m_self.instance, std::move(action.answer), now,
                                       steadyWallNow()),
                 now);
        return;
    }
    const auto stream = m_incomingStreams.find(StreamId{action.to.stream});
    if (stream != m_incomingStreams.end())
        stream->second->post(std::move(action.answer));
}

void NodeTask::runLocally(const RunRequest &run, ReplyTo replyTo, TimePoint now)
{
    const WallTime wall = steadyWallNow();
    const Configuration *configuration = m_history.findOrActive(run.revision, wall);
    if (configuration == nullptr) {
        carryOut(Reply{replyTo, makeRefusal(run, Error::NoTarget, true)}, now);
        return;
    }
    carryOut(m_admission.submit(run, replyTo, configuration->document.activePreset(), now, wall),
             now);
}

void NodeTask::recordAdmissionSpan(const RunningExecution &running, const UpstreamResult &result)
{
    const RunRequest &run = running.run;
    Span span;
    span.context = run.trace;
    span.parent = running.parentSpan;
    span.name = "gate";
    span.start = running.startTime;
    span.end = steadyWallNow();
    span.service = run.work.service;
    span.operation = run.work.operation;
    span.className = run.work.className;
    span.instance = m_settings.instance;
    span.revision = run.revision;
    span.attempts = run.attempt;
    span.retryBudgetLeft = run.retryBudget;
    const bool isAnswered = result.end == UpstreamResult::End::Answered;
    span.outcome = isAnswered ? Outcome::Completed : Outcome::Unknown;
    m_admissionMetrics.record(span.className, span.outcome, span.reason, result.latency);
    m_spans.add(std::move(span));
}

MemberState NodeTask::memberState() const
{
    if (m_drainStartTime)
        return MemberState::Leaving;
    return m_upstream ? MemberState::Serving : MemberState::Joining;
}

void NodeTask::publishStatus()
{
    SelfChanged status;
    status.state = memberState();
    if (m_upstream) {
        status.slots = m_upstream->announcement.slots;
        status.service = m_upstream->announcement.service;
    } else if (m_publishedStatus) {
        status.service = m_publishedStatus->service;
    }
    const bool isSame = m_publishedStatus && m_publishedStatus->state == status.state
                        && m_publishedStatus->slots == status.slots
                        && m_publishedStatus->service == status.service;
    if (isSame)
        return;
    m_publishedStatus = status;
    m_callbacks.ownState(status);
}

/// New work is refused only when all nodes have had time to learn of the drain; until then it is
/// served as usual.
void NodeTask::startDrainingWhenDue(TimePoint now)
{
    if (m_drainStartTime && now - *m_drainStartTime >= m_settings.propagationDelay)
        m_admission.startDraining();
}

bool NodeTask::isDrained(TimePoint now) const
{
    return m_drainStartTime && now - *m_drainStartTime >= m_settings.propagationDelay
           && m_admission.isDraining() && m_admission.isIdle() && m_dispatcher.openCalls() == 0;
}

} // namespace buckthornford
