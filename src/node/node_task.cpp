#include "node/node_task_p.h"

#include <array>
#include <utility>

namespace buckthornford {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(20);
constexpr Duration announcementLife = std::chrono::seconds(3);
constexpr std::size_t maxSpans = 4096;
constexpr std::uint64_t localChannel = 0;

DispatchSettings entrySettings(const NodeSettings &settings, const Policy &policy,
                               const PoisonDetector *poison)
{
    DispatchSettings entry;
    entry.location = {settings.instance, settings.zone, settings.region};
    entry.policy = policy.dispatch;
    entry.keyLife = settings.keyLife;
    entry.seed = settings.seed;
    entry.sampledShare = settings.sampledShare;
    entry.poison = policy.dispatch.usesIdempotencyKeys ? poison : nullptr;
    return entry;
}

AdmissionSettings gateSettings(const NodeSettings &settings, const Policy &policy,
                               const PeerRef &self, const PoisonDetector *poison)
{
    AdmissionSettings gate;
    gate.self = self.instance;
    gate.incarnation = self.incarnation;
    gate.policy = policy.admission;
    gate.idempotency.keyLife = settings.keyLife;
    gate.poison = policy.admission.deduplicatesKeys ? poison : nullptr;
    return gate;
}

LinkClient::Settings linkSettings(const NodeSettings &settings)
{
    LinkClient::Settings link;
    link.dialOverrides = settings.dialOverrides;
    return link;
}

} // namespace

NodeTask::NodeTask(const NodeSettings &settings, const Policy &policy, const PeerRef &self,
                   Callbacks listeners)
    : m_settings(settings)
    , m_self(self)
    , m_poison(PoisonDetector::Settings{})
    , m_entry(entrySettings(settings, policy, &m_poison))
    , m_gate(gateSettings(settings, policy, self, &m_poison))
    , m_link(self, this, linkSettings(settings))
    , m_pool([this](UpstreamWorker *worker, UpstreamResult result) {
        post(UpstreamJobEnded{worker, std::move(result)});
    })
    , m_listeners(std::move(listeners))
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

void NodeTask::onEnded(const InstanceId &peer, StreamId channel, bool wasOpen)
{
    post(PeerStreamClosed{peer, channel, wasOpen});
}

void NodeTask::handle(NodeMessage &&message, TimePoint now)
{
    std::visit([this, now](auto &&kind) { on(std::forward<decltype(kind)>(kind), now); },
               std::move(message));
}

TimePoint NodeTask::tick(TimePoint now)
{
    const WallTime wall = steadyWallNow();
    carryOut(m_entry.tick(now, wall), now);
    carryOut(m_gate.tick(now, wall), now);
    m_link.tick(now);
    m_poison.expire(now);
    if (m_upstream && now - m_upstream->lastHeard > announcementLife) {
        m_upstream.reset();
        carryOut(m_gate.detachUpstream(now), now);
    }
    drain(now);
    publishStatus();
    return m_entry.nextWake(now + tickInterval);
}

void NodeTask::on(CallReceived &&message, TimePoint now)
{
    m_replies[message.id] = std::move(message.reply);
    carryOut(m_entry.startCall(message.id, std::move(message.request), m_history, now,
                               steadyWallNow()),
             now);
}

void NodeTask::on(CallAbandoned &&message, TimePoint now)
{
    carryOut(m_entry.cancel(message.id, now, steadyWallNow()), now);
}

void NodeTask::on(KeysRequest &&message, TimePoint now)
{
    message.reply->post(m_entry.makeKeys(message.service, message.count, now, steadyWallNow()));
}

void NodeTask::on(IncomingStreamOpened &&message, TimePoint)
{
    m_channels[message.stream] = std::move(message.sink);
}

void NodeTask::on(IncomingFrame &&message, TimePoint now)
{
    if (const auto *run = std::get_if<RunRequest>(&message.frame)) {
        runLocally(*run, {message.stream.value(), run->request, run->attempt}, now);
        return;
    }
    if (const auto *cancel = std::get_if<Cancel>(&message.frame))
        carryOut(m_gate.cancel({message.stream.value(), cancel->request, cancel->attempt}, now),
                 now);
}

void NodeTask::on(IncomingStreamClosed &&message, TimePoint)
{
    m_channels.erase(message.stream);
}

void NodeTask::on(PeerFrame &&message, TimePoint now)
{
    auto *answer = std::get_if<Answer>(&message.frame);
    if (answer == nullptr)
        return;
    // The strike must be known before the entry decides on a retry.
    if (answer->crashId != 0) {
        if (const Work *work = m_entry.findWork(answer->request))
            recordCrash(*work, answer->crashId, now);
    }
    carryOut(m_entry.onAnswer(message.peer, std::move(*answer), now, steadyWallNow()), now);
}

void NodeTask::on(PeerStreamClosed &&message, TimePoint now)
{
    if (!m_link.removeStream(message.peer, message.stream))
        return;
    const WallTime wall = steadyWallNow();
    carryOut(message.wasOpen ? m_entry.onPeerLost(message.peer, now, wall)
                             : m_entry.onPeerUnreachable(message.peer, now, wall),
             now);
}

void NodeTask::on(UpstreamJobEnded &&message, TimePoint now)
{
    m_pool.release(message.worker);
    const ExecutionId id = message.result.execution;
    DispatchActions cancelled;
    const ChainResult chain = m_entry.onExecutionEnded(id, now, steadyWallNow(), &cancelled);
    carryOut(std::move(cancelled), now);
    const auto running = m_running.find(id);
    if (running != m_running.end()) {
        if (message.result.end == UpstreamResult::End::ConnectionLost)
            recordCrash(running->second.run.work, message.result.upstreamStartId, now);
        else if (message.result.end == UpstreamResult::End::Answered)
            recordCompletion(running->second.run.work, now);
        recordGateSpan(running->second, message.result);
        m_running.erase(running);
    }
    const bool isAbsent = message.result.end == UpstreamResult::End::NotSent;
    carryOut(m_gate.onExecutionEnded(std::move(message.result), chain, now), now);
    if (isAbsent && m_upstream) {
        m_upstream.reset();
        carryOut(m_gate.detachUpstream(now), now);
        publishStatus();
    }
}

void NodeTask::on(UpstreamAnnounced &&message, TimePoint now)
{
    const Announcement &news = message.announcement;
    const bool isNew = !m_upstream || m_upstream->announcement.startId != news.startId;
    if (news.isLeaving && !m_drainStart) {
        m_upstreamLeaves = true;
        on(DrainRequest{true}, now);
    } else if (!news.isLeaving && std::exchange(m_upstreamLeaves, false)) {
        on(DrainRequest{false}, now);
    }
    m_upstream = Upstream{news, now};
    m_gate.attachUpstream(news.slots, isNew, now);
    if (news.load)
        m_gate.setReportedLoad(*news.load, now);
    message.drained->post(isDrained(now));
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
    m_memberCount = directory.size();
    m_entry.setView(targets, std::move(directory), now);
}

void NodeTask::on(ConfigurationArrived &&message, TimePoint)
{
    m_history.accept(std::move(message.configuration));
}

void NodeTask::on(PoisonEventsReceived &&message, TimePoint now)
{
    std::vector<PoisonEvent> news;
    for (const PoisonEvent &strike : message.events) {
        if (m_poison.record(strike, now))
            news.push_back(strike);
    }
    if (!news.empty())
        m_listeners.strikes({std::move(news), message.from});
}

/// A crash of an upstream is a strike against everything that it was running.
void NodeTask::recordCrash(const Work &work, std::uint64_t crash, TimePoint now)
{
    on(PoisonEventsReceived{{{contentHash(work), crash, false}}, std::nullopt}, now);
}

/// What completes does not crash upstreams.
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
    if (message.on && !m_drainStart)
        m_drainStart = now;
    if (!message.on) {
        m_drainStart.reset();
        m_gate.stopDraining();
    }
    publishStatus();
}

void NodeTask::on(OperatorQuery &&message, TimePoint)
{
    using TextFunction = std::string (NodeTask::*)() const;
    static constexpr std::array<TextFunction, 5> texts{
            &NodeTask::statusText, &NodeTask::metricsText, &NodeTask::spansText,
            &NodeTask::configurationText, &NodeTask::poisonText};
    message.reply->post((this->*texts[static_cast<std::size_t>(message.topic)])());
}

void NodeTask::carryOut(DispatchActions &&actions, TimePoint now)
{
    for (DispatchAction &action : actions)
        std::visit([this, now](auto &&kind) { carryOut(std::forward<decltype(kind)>(kind), now); },
                   std::move(action));
}

void NodeTask::carryOut(SendRun &&action, TimePoint now)
{
    if (action.to.instance == m_self.instance)
        runLocally(action.run, {localChannel, action.run.request, action.run.attempt}, now);
    else
        m_link.send(action.to, std::move(action.run), now);
}

void NodeTask::carryOut(SendCancel &&action, TimePoint now)
{
    if (action.to.instance == m_self.instance)
        carryOut(m_gate.cancel({localChannel, action.request, action.attempt}, now), now);
    else
        m_link.sendIfOpen(action.to.instance, Cancel{action.request, action.attempt}, now);
}

void NodeTask::carryOut(FinishCall &&action, TimePoint)
{
    const Span &span = action.result.span;
    const Duration latency{span.end.value() - span.start.value()};
    m_entryMetrics.record(span.className, span.outcome, span.reason, latency);
    m_spans.add(span);
    const auto reply = m_replies.find(action.request);
    if (reply == m_replies.end())
        return;
    reply->second->post(std::move(action.result));
    m_replies.erase(reply);
}

void NodeTask::carryOut(AdmissionActions &&actions, TimePoint now)
{
    for (AdmissionAction &action : actions)
        std::visit([this, now](auto &&kind) { carryOut(std::forward<decltype(kind)>(kind), now); },
                   std::move(action));
}

void NodeTask::carryOut(StartExecution &&action, TimePoint now)
{
    const std::uint64_t parentSpan = action.run.trace.span;
    action.run.trace = action.run.trace.child();
    m_entry.onExecutionStarted(action.execution, action.run, action.rank, action.deadline);
    m_running.insert_or_assign(action.execution, Running{action.run, parentSpan, steadyWallNow()});
    (void)now;
    m_pool.start({m_upstream->announcement.address, checksum(m_upstream->announcement.startId),
                  action.execution, std::move(action.run), action.deadline});
}

void NodeTask::carryOut(CancelExecution &&action, TimePoint now)
{
    DispatchActions cancelled;
    // Calls further down stop at once; the upstream's own end follows.
    m_entry.cancelCallsOf(action.execution, now, steadyWallNow(), &cancelled);
    carryOut(std::move(cancelled), now);
    if (m_upstream)
        m_canceller.post({m_upstream->announcement.address, action.execution});
}

void NodeTask::carryOut(Reply &&action, TimePoint now)
{
    if (action.to.stream == localChannel) {
        carryOut(m_entry.onAnswer(m_self.instance, std::move(action.answer), now, steadyWallNow()),
                 now);
        return;
    }
    const auto channel = m_channels.find(StreamId{action.to.stream});
    if (channel != m_channels.end())
        channel->second->post(std::move(action.answer));
}

void NodeTask::runLocally(const RunRequest &run, ReplyTo from, TimePoint now)
{
    const WallTime wall = steadyWallNow();
    const Configuration *configuration = m_history.findOrActive(run.revision, wall);
    if (configuration == nullptr) {
        carryOut(Reply{from, makeRefusal(run, Error::NoTarget, true)}, now);
        return;
    }
    carryOut(m_gate.submit(run, from, configuration->document.activePreset(), now, wall), now);
}

void NodeTask::recordGateSpan(const Running &running, const UpstreamResult &result)
{
    const RunRequest &run = running.run;
    Span span;
    span.context = run.trace;
    span.parent = running.parentSpan;
    span.name = "gate";
    span.start = running.started;
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
    m_gateMetrics.record(span.className, span.outcome, span.reason, result.latency);
    m_spans.add(std::move(span));
}

MemberState NodeTask::state() const
{
    if (m_drainStart)
        return MemberState::Leaving;
    return m_upstream ? MemberState::Serving : MemberState::Joining;
}

void NodeTask::publishStatus()
{
    SelfChanged news;
    news.state = state();
    if (m_upstream) {
        news.slots = m_upstream->announcement.slots;
        news.service = m_upstream->announcement.service;
    } else if (m_told) {
        news.service = m_told->service;
    }
    const bool isSame = m_told && m_told->state == news.state && m_told->slots == news.slots
                        && m_told->service == news.service;
    if (isSame)
        return;
    m_told = news;
    m_listeners.self(news);
}

/// Once the news has spread, new work is refused; until then it is served as usual.
void NodeTask::drain(TimePoint now)
{
    if (m_drainStart && now - *m_drainStart >= m_settings.propagationDelay)
        m_gate.startDraining();
}

bool NodeTask::isDrained(TimePoint now) const
{
    return m_drainStart && now - *m_drainStart >= m_settings.propagationDelay && m_gate.isDraining()
           && m_gate.isIdle() && m_entry.openCalls() == 0;
}

} // namespace buckthornford
