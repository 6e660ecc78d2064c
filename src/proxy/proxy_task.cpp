#include "proxy/proxy_task.h"

#include <algorithm>
#include <utility>

namespace buckthornford {

namespace {

/// Stands in ReplyTo for the runs that this node's dispatcher sends to its own admission
/// controller.
constexpr std::uint64_t localStream = 0;
/// Resolution of deadlines and timed work while calls are open or queued.
constexpr Duration tickInterval = std::chrono::milliseconds(20);
/// Retry-After of refusals for lack of a configuration; a node that has just started reads one
/// within this time.
constexpr Duration noConfigurationRetryAfter = std::chrono::milliseconds(150);
constexpr Duration idleTickInterval = std::chrono::milliseconds(200);

DispatchSettings makeDispatchSettings(const ProxySettings &settings, const PoisonDetector *poison)
{
    DispatchSettings result;
    result.location = settings.location;
    result.policy = settings.dispatch;
    result.ratio = {settings.retryRatio, 1.0};
    result.seed = settings.seed;
    result.poison = poison;
    return result;
}

AdmissionSettings makeAdmissionSettings(const ProxySettings &settings, const PoisonDetector *poison)
{
    AdmissionSettings result;
    result.self = settings.self.instance;
    result.incarnation = settings.self.incarnation;
    result.policy = settings.admission;
    result.poison = poison;
    return result;
}

} // namespace

ProxyTask::ProxyTask(EventLoop *loop, const ProxySettings &settings, const Adapter &adapter,
                     ProxyCallbacks callbacks)
    : LoopTask(loop)
    , m_settings(settings)
    , m_adapter(adapter)
    , m_callbacks(std::move(callbacks))
    , m_poison({})
    , m_dispatcher(makeDispatchSettings(settings, &m_poison))
    , m_admission(makeAdmissionSettings(settings, &m_poison))
    , m_chooser(settings.seed)
{
    if (settings.readsDeparture)
        m_departureReadDeadline = monotonicNow() + settings.departureReadTimeout;
}

void ProxyTask::handle(ProxyMessage &&message, TimePoint now)
{
    std::visit(
            [this, now](auto &&alternative) {
                on(std::forward<decltype(alternative)>(alternative), now);
            },
            std::move(message));
}

TimePoint ProxyTask::tick(TimePoint now)
{
    carryOut(m_dispatcher.tick(now, unusedWallTime), now);
    carryOut(m_admission.tick(now, unusedWallTime), now);
    m_poison.expire(now);
    doDepartureWork(now);
    advanceDrain(now);
    publishStatus();
    const bool isBusy = m_dispatcher.openCalls() > 0 || m_admission.queued() > 0;
    return now + (isBusy ? tickInterval : idleTickInterval);
}

void ProxyTask::on(CallArrived &&message, TimePoint now)
{
    wakeBy(now + tickInterval);
    const RequestId id = message.request.id;
    IncomingCall call;
    if (auto malformed = m_adapter.callers->read(std::move(message.request), &call)) {
        m_callbacks.respond(std::move(*malformed));
        return;
    }
    const Configuration *configuration = m_history.newest();
    if (configuration == nullptr) {
        refuseCall(id, call, Error::NoConfiguration, now);
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
    if (const auto parent = m_runningByCallerRequestId.find(call.parentRequestId);
        parent != m_runningByCallerRequestId.end())
        call.request.parent = parent->second;
    const Duration timeout
            = std::min(call.request.timeout.value_or(route->timeout), route->timeout);
    call.request.timeout = timeout;
    if (m_stop) {
        if (!fitIntoStop(&call.request, *route, configuration->document.activePreset(), now)) {
            call.request.timeout = timeout;
            refuseCall(id, call, Error::TargetLeaving, now);
            return;
        }
        logCallTakenWhileStopping(call, *call.request.timeout, now);
    }
    m_callerRequestIds.emplace(id, call.callerRequestId);
    carryOut(m_dispatcher.startCall(id, std::move(call.request), m_history, now, unusedWallTime),
             now);
}

/// Limits \a request to the time that the stop leaves. Returns false if that is too little: the
/// call is then to be refused, so that it may run elsewhere.
bool ProxyTask::fitIntoStop(CallRequest *request, const Route &route, const Preset &preset,
                            TimePoint now) const
{
    // A call of a running execution can only be made here, and the execution's deadline limits it.
    const bool isTaken = request->parent
                         || m_stop->hasTimeFor(preset.objectiveOf(route.className),
                                               request->timeout.value(), now);
    request->timeout = std::min(request->timeout.value(), m_stop->answersDueBy() - now);
    request->executionsDueBy = m_stop->executionsDueBy();
    return isTaken && request->timeout > Duration{0};
}

Duration ProxyTask::sinceStop(TimePoint now) const
{
    return m_stop ? now - m_stop->signalTime() : Duration{0};
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
        answer.retryAfter = noConfigurationRetryAfter;
    else if (reason == Error::TargetLeaving)
        answer.retryAfter = m_dispatcher.chooseRetryAfter(call.request.timeout.value());
    m_callbacks.respond(m_adapter.callers->makeResponse(id, std::move(answer)));
}

void ProxyTask::on(CallerDisconnected &&message, TimePoint now)
{
    carryOut(m_dispatcher.cancel(message.id, now, unusedWallTime), now);
}

void ProxyTask::on(PeerFrameArrived &&message, TimePoint now)
{
    auto *answer = std::get_if<Answer>(&message.frame);
    if (answer == nullptr)
        return;
    // The crash must be recorded before the dispatcher decides on a retry.
    if (answer->crashId != 0) {
        if (const Work *work = m_dispatcher.findWork(answer->request))
            recordCrash(*work, answer->crashId, now);
    }
    logAttempt(message.peer, *answer, now);
    carryOut(m_dispatcher.onAnswer(message.peer, std::move(*answer), now, unusedWallTime), now);
}

void ProxyTask::on(PeerStreamEnded &&message, TimePoint now)
{
    carryOut(m_dispatcher.onStreamEnded(message.peer, message.wasOpen, message.unanswered, now,
                                        unusedWallTime),
             now);
}

void ProxyTask::on(IncomingFrameArrived &&message, TimePoint now)
{
    wakeBy(now + tickInterval);
    if (const auto *run = std::get_if<RunRequest>(&message.frame))
        runLocally(*run, {message.stream.value(), run->request, run->attempt}, now);
    else if (const auto *cancel = std::get_if<Cancel>(&message.frame))
        carryOut(
                m_admission.cancel({message.stream.value(), cancel->request, cancel->attempt}, now),
                now);
}

void ProxyTask::on(IncomingStreamEnded &&message, TimePoint now)
{
    carryOut(m_admission.cancelStream(message.stream.value(), now), now);
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
    // Each node gets its part of retrySlack, which is for the whole fleet, and at least one retry.
    // While a node knows only few others, that part is larger than it should be.
    m_dispatcher.setRetryRatio(
            {m_settings.retryRatio,
             std::max(1.0, m_settings.retrySlack
                                   / static_cast<double>(std::max<std::size_t>(live, 1)))});
    m_dispatcher.setView(targets, std::move(directory), now);
}

void ProxyTask::on(ConfigurationChanged &&message, TimePoint)
{
    m_history.replaceOrAccept(std::move(message.configuration));
}

void ProxyTask::on(PoisonEventsArrived &&message, TimePoint now)
{
    std::vector<PoisonEvent> newEvents;
    for (const PoisonEvent &event : message.events) {
        if (m_poison.record(event, now))
            newEvents.push_back(event);
    }
    if (newEvents.empty())
        return;
    const PoisonEvent &first = newEvents.front();
    if (m_callbacks.log->tryAcquire(LogCategory::Problem, now))
        m_callbacks.log->write(LogCategory::Problem,
                               first.isRelease ? "content-cleared" : "content-struck",
                               {{"content", toHex(first.content.value())},
                                {"more", static_cast<std::int64_t>(newEvents.size()) - 1},
                                {"barred", m_poison.isPoisonous(first.content)},
                                {"from", message.from ? message.from->value() : std::string()}},
                               now);
    m_callbacks.poisonEvents({std::move(newEvents), message.from});
}

void ProxyTask::on(SettingsChanged &&message, TimePoint)
{
    m_settings.callerService = message.callerService;
}

void ProxyTask::on(StopRequest &&message, TimePoint)
{
    m_stop = message.schedule;
    m_dispatcher.endCallsBy(m_stop->answersDueBy(), m_stop->executionsDueBy());
    m_admission.endQueuedBy(m_stop->executionsDueBy());
    publishStatus();
}

/// Records a crash of an upstream against the content of \a work, which it was running. Called for
/// everything that it was running.
void ProxyTask::recordCrash(const Work &work, std::uint64_t crash, TimePoint now)
{
    on(PoisonEventsArrived{{{contentHash(work), crash, false}}, std::nullopt}, now);
}

/// Releases the content of \a work if crashes are recorded for it: a request that completes does
/// not crash upstreams.
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
        std::visit(
                [this, now](auto &&alternative) {
                    carryOut(std::forward<decltype(alternative)>(alternative), now);
                },
                std::move(action));
}

void ProxyTask::carryOut(SendRun &&action, TimePoint now)
{
    if (action.to.instance != m_settings.self.instance) {
        m_callbacks.mesh(SendToPeer{std::move(action.to), std::move(action.run)});
        return;
    }
    runLocally(action.run, {localStream, action.run.request, action.run.attempt}, now);
}

void ProxyTask::carryOut(SendCancel &&action, TimePoint now)
{
    if (action.to.instance == m_settings.self.instance)
        carryOut(m_admission.cancel({localStream, action.request, action.attempt}, now), now);
    else
        m_callbacks.mesh(SendToPeer{std::move(action.to), Cancel{action.request, action.attempt}});
}

void ProxyTask::carryOut(FinishCall &&action, TimePoint now)
{
    const Span &span = action.result.span;
    logCallEnd(action, now);
    m_callerRequestIds.erase(action.request);
    m_dispatchMetrics.record(span.className, span.outcome, span.reason, action.result.duration);
    m_callbacks.respond(
            m_adapter.callers->makeResponse(action.request, std::move(action.result.answer)));
}

void ProxyTask::carryOut(AdmissionActions &&actions, TimePoint now)
{
    for (AdmissionAction &action : actions)
        std::visit(
                [this, now](auto &&alternative) {
                    carryOut(std::forward<decltype(alternative)>(alternative), now);
                },
                std::move(action));
}

void ProxyTask::carryOut(Reply &&action, TimePoint now)
{
    action.answer.load.chainUtilization
            = std::max(m_admission.demand(now), m_dispatcher.loadBelow(action.operation, now));
    if (action.to.stream == localStream) {
        logAttempt(m_settings.self.instance, action.answer, now);
        carryOut(m_dispatcher.onAnswer(m_settings.self.instance, std::move(action.answer), now,
                                       unusedWallTime),
                 now);
        return;
    }
    m_callbacks.mesh(SendOnIncomingStream{StreamId{action.to.stream}, std::move(action.answer)});
}

} // namespace buckthornford
