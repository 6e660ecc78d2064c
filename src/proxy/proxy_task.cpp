#include "proxy/proxy_task.h"

#include <algorithm>
#include <utility>

namespace buckthornford {

namespace {

/// Runs that this node's own entry sends to its own gate.
constexpr std::uint64_t localChannel = 0;
/// Grain of deadlines and of what is done at intervals.
constexpr Duration tickInterval = std::chrono::milliseconds(20);
/// A node that has just started reads the configuration within this time.
constexpr Duration configurationWait = std::chrono::milliseconds(150);
constexpr Duration idleTickInterval = std::chrono::milliseconds(200);

DispatchSettings entrySettings(const ProxySettings &settings, const PoisonDetector *poison)
{
    DispatchSettings entry;
    entry.location = settings.location;
    entry.policy = settings.dispatch;
    entry.ratio = {settings.retryRatio, 1.0};
    entry.seed = settings.seed;
    entry.poison = poison;
    return entry;
}

AdmissionSettings gateSettings(const ProxySettings &settings, const PoisonDetector *poison)
{
    AdmissionSettings gate;
    gate.self = settings.self.instance;
    gate.incarnation = settings.self.incarnation;
    gate.policy = settings.admission;
    gate.poison = poison;
    return gate;
}

} // namespace

ProxyTask::ProxyTask(EventLoop *loop, const ProxySettings &settings, const Adapter &adapter,
                     ProxyCallbacks outputs)
    : LoopTask(loop)
    , m_settings(settings)
    , m_adapter(adapter)
    , m_callbacks(std::move(outputs))
    , m_poison({})
    , m_entry(entrySettings(settings, &m_poison))
    , m_gate(gateSettings(settings, &m_poison))
    , m_chooser(settings.seed)
{}

void ProxyTask::handle(ProxyMessage &&message, TimePoint now)
{
    std::visit([this, now](auto &&kind) { on(std::forward<decltype(kind)>(kind), now); },
               std::move(message));
}

TimePoint ProxyTask::tick(TimePoint now)
{
    carryOut(m_entry.tick(now, noWallTime), now);
    carryOut(m_gate.tick(now, noWallTime), now);
    m_poison.expire(now);
    drain(now);
    publishStatus();
    const bool isBusy = m_entry.openCalls() > 0 || m_gate.queued() > 0;
    return now + (isBusy ? tickInterval : idleTickInterval);
}

void ProxyTask::on(CallArrived &&message, TimePoint now)
{
    wakeBy(now + tickInterval);
    const RequestId id = message.request.id;
    IncomingCall call;
    if (auto malformed = m_adapter.callers->read(std::move(message.request), &call)) {
        m_callbacks.answer(std::move(*malformed));
        return;
    }
    const Configuration *configuration = m_history.newest();
    if (configuration == nullptr) {
        refuseCall(id, call, Error::NoConfiguration, now);
        return;
    }
    if (m_stopTime && now - *m_stopTime > m_settings.stopRefusalDelay) {
        refuseCall(id, call, Error::TargetLeaving, now);
        return;
    }
    const Route *route = configuration->document.routes.find(call.host, call.path);
    if (route == nullptr) {
        refuseCall(id, call, Error::NoRoute, now);
        return;
    }
    Work &work = call.request.work;
    work.service = m_chooser.choose(*route);
    work.operation = route->name;
    work.className = route->className;
    work.idempotent = route->isIdempotent;
    work.caller = CallerName{m_settings.callerService.value()};
    m_callerIds.emplace(id, call.callerRequestId);
    if (const auto parent = m_runningByCallerId.find(call.parentRequestId);
        parent != m_runningByCallerId.end())
        call.request.parent = parent->second;
    const Duration timeout = route->timeout;
    call.request.timeout = std::min(call.request.timeout.value_or(timeout), timeout);
    carryOut(m_entry.startCall(id, std::move(call.request), m_history, now, noWallTime), now);
}

void ProxyTask::refuseCall(RequestId id, const IncomingCall &call, Error reason, TimePoint now)
{
    if (m_callbacks.log->tryAcquire(LogCategory::Problem, now))
        m_callbacks.log->write(
                LogCategory::Problem, "request-refused",
                {{"request", call.callerRequestId},
                 {"host", call.host},
                 {"path", call.path},
                 {"reason", errorRow(reason).name},
                 {"revision",
                  static_cast<std::int64_t>(m_history.newest() == nullptr
                                                    ? 0
                                                    : m_history.newest()->revision.value())}},
                now);
    Answer answer = makeRefusal(id, reason, false);
    if (reason == Error::NoConfiguration)
        answer.retryAfter = configurationWait;
    m_callbacks.answer(m_adapter.callers->makeResponse(id, std::move(answer)));
}

void ProxyTask::on(CallerDisconnected &&message, TimePoint now)
{
    carryOut(m_entry.cancel(message.id, now, noWallTime), now);
}

void ProxyTask::on(PeerFrameArrived &&message, TimePoint now)
{
    auto *answer = std::get_if<Answer>(&message.frame);
    if (answer == nullptr)
        return;
    // The strike must be known before the entry decides on a retry.
    if (answer->crashId != 0) {
        if (const Work *work = m_entry.findWork(answer->request))
            recordCrash(*work, answer->crashId, now);
    }
    logAttempt(message.peer, *answer, now);
    carryOut(m_entry.onAnswer(message.peer, std::move(*answer), now, noWallTime), now);
}

void ProxyTask::on(PeerStreamEnded &&message, TimePoint now)
{
    carryOut(m_entry.onStreamEnded(message.peer, message.wasOpen, message.unanswered, now,
                                   noWallTime),
             now);
}

void ProxyTask::on(IncomingFrameArrived &&message, TimePoint now)
{
    wakeBy(now + tickInterval);
    if (const auto *run = std::get_if<RunRequest>(&message.frame))
        runLocally(*run, {message.stream.value(), run->request, run->attempt}, now);
    else if (const auto *cancel = std::get_if<Cancel>(&message.frame))
        carryOut(m_gate.cancel({message.stream.value(), cancel->request, cancel->attempt}, now),
                 now);
}

void ProxyTask::on(IncomingStreamEnded &&message, TimePoint now)
{
    carryOut(m_gate.cancelStream(message.stream.value(), now), now);
}

void ProxyTask::on(MembersChanged &&message, TimePoint now)
{
    std::vector<Target> targets;
    std::vector<DirectoryEntry> directory;
    std::size_t live = 0;
    for (const Member &member : message.members) {
        if (!member.isLive())
            continue;
        ++live;
        directory.push_back({member.peer, member.service});
        if (member.isServing())
            targets.push_back({member.peer, member.service, member.zone, member.region,
                               member.slots, member.suspected});
    }
    if (m_callbacks.log->tryAcquire(LogCategory::Problem, now))
        m_callbacks.log->write(LogCategory::Problem, "members-changed",
                               {{"live", static_cast<std::int64_t>(live)},
                                {"serving", static_cast<std::int64_t>(targets.size())}},
                               now);
    // Each node's part of the fleet's slack; small while few nodes are known would be too much.
    m_entry.setRetryRatio(
            {m_settings.retryRatio,
             std::max(1.0, m_settings.retrySlack
                                   / static_cast<double>(std::max<std::size_t>(live, 1)))});
    m_entry.setView(targets, std::move(directory), now);
}

void ProxyTask::on(ConfigurationChanged &&message, TimePoint)
{
    m_history.accept(std::move(message.configuration));
}

void ProxyTask::on(PoisonEventsArrived &&message, TimePoint now)
{
    std::vector<PoisonEvent> news;
    for (const PoisonEvent &strike : message.events) {
        if (m_poison.record(strike, now))
            news.push_back(strike);
    }
    if (news.empty())
        return;
    const PoisonEvent &first = news.front();
    if (m_callbacks.log->tryAcquire(LogCategory::Problem, now))
        m_callbacks.log->write(LogCategory::Problem,
                               first.isRelease ? "content-cleared" : "content-struck",
                               {{"content", toHex(first.content.value())},
                                {"more", static_cast<std::int64_t>(news.size()) - 1},
                                {"barred", m_poison.isPoisonous(first.content)},
                                {"from", message.from ? message.from->value() : std::string()}},
                               now);
    m_callbacks.poisonEvents({std::move(news), message.from});
}

void ProxyTask::on(SettingsChanged &&message, TimePoint)
{
    m_settings.callerService = message.callerService;
}

void ProxyTask::on(StopRequest &&, TimePoint now)
{
    if (!m_stopTime)
        m_stopTime = now;
    publishStatus();
}

/// A crash of an upstream is a strike against everything that it was running.
void ProxyTask::recordCrash(const Work &work, std::uint64_t crash, TimePoint now)
{
    on(PoisonEventsArrived{{{contentHash(work), crash, false}}, std::nullopt}, now);
}

/// What completes does not crash upstreams.
void ProxyTask::recordCompletion(const Work &work, TimePoint now)
{
    if (m_poison.isEmpty())
        return;
    const ContentHash content = contentHash(work);
    if (m_poison.hasCrashes(content))
        on(PoisonEventsArrived{{{content, randomNumber(), true}}, std::nullopt}, now);
}

void ProxyTask::carryOut(DispatchActions &&actions, TimePoint now)
{
    for (DispatchAction &action : actions)
        std::visit([this, now](auto &&kind) { carryOut(std::forward<decltype(kind)>(kind), now); },
                   std::move(action));
}

void ProxyTask::carryOut(SendRun &&action, TimePoint now)
{
    if (action.to.instance == m_settings.self.instance)
        runLocally(action.run, {localChannel, action.run.request, action.run.attempt}, now);
    else
        m_callbacks.mesh(SendToPeer{std::move(action.to), std::move(action.run)});
}

void ProxyTask::carryOut(SendCancel &&action, TimePoint now)
{
    if (action.to.instance == m_settings.self.instance)
        carryOut(m_gate.cancel({localChannel, action.request, action.attempt}, now), now);
    else
        m_callbacks.mesh(SendToPeer{std::move(action.to), Cancel{action.request, action.attempt}});
}

void ProxyTask::carryOut(FinishCall &&action, TimePoint now)
{
    const Span &span = action.result.span;
    logEnd(action, now);
    m_callerIds.erase(action.request);
    m_entryMetrics.record(span.className, span.outcome, span.reason, action.result.duration);
    m_callbacks.answer(
            m_adapter.callers->makeResponse(action.request, std::move(action.result.answer)));
}

void ProxyTask::carryOut(AdmissionActions &&actions, TimePoint now)
{
    for (AdmissionAction &action : actions)
        std::visit([this, now](auto &&kind) { carryOut(std::forward<decltype(kind)>(kind), now); },
                   std::move(action));
}

void ProxyTask::carryOut(Reply &&action, TimePoint now)
{
    if (action.to.stream == localChannel) {
        logAttempt(m_settings.self.instance, action.answer, now);
        carryOut(m_entry.onAnswer(m_settings.self.instance, std::move(action.answer), now,
                                  noWallTime),
                 now);
        return;
    }
    m_callbacks.mesh(SendOnIncomingStream{StreamId{action.to.stream}, std::move(action.answer)});
}

} // namespace buckthornford
