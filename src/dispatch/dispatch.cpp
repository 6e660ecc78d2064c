#include "dispatch/dispatch.h"

#include <algorithm>

namespace buckthornford {

namespace {

constexpr Duration minHedgeDelay = std::chrono::milliseconds(2);
constexpr double maxHedgeCredit = 10.0; // hedges

/// Draws whether a new trace is sampled.
bool shouldSample(double share)
{
    constexpr double range = 1e6;
    return static_cast<double>(randomNumber() % static_cast<std::uint64_t>(range)) < share * range;
}

} // namespace

CallDispatcher::CallDispatcher(DispatchSettings settings)
    : m_settings(std::move(settings))
    , m_balancer(createLoadBalancer(m_settings.policy.loadBalancer, m_settings.location,
                                    m_settings.seed))
    , m_retryRatio(m_settings.ratio)
    , m_random(m_settings.seed)
{}

void CallDispatcher::setView(const std::vector<Target> &targets,
                             std::vector<DirectoryEntry> directory, TimePoint now)
{
    m_balancer->setTargets(targets, now);
    m_directory.clear();
    for (DirectoryEntry &entry : directory) {
        const InstanceId instance = entry.peer.instance;
        m_directory.insert_or_assign(instance, std::move(entry));
    }
}

const Work *CallDispatcher::findWork(RequestId id) const
{
    const auto found = m_calls.find(id);
    return found == m_calls.end() ? nullptr : &found->second.work;
}

const DirectoryEntry *CallDispatcher::findNode(const InstanceId &instance) const
{
    const auto found = m_directory.find(instance);
    return found == m_directory.end() ? nullptr : &found->second;
}

std::optional<Error> CallDispatcher::inheritContext(Call *call, const CallRequest &request,
                                                    const Configuration &configuration)
{
    const auto found = m_executions.find(*request.parent);
    if (found == m_executions.end())
        return Error::ExecutionEnded;
    LocalExecution &execution = found->second;
    const RunRequest &run = execution.run;
    call->depth = Depth{run.depth.value() + 1};
    if (call->depth > m_settings.maxDepth)
        return Error::DepthExceeded;
    call->work.className = run.work.className;
    call->work.caller = run.work.caller;
    call->deadline = execution.deadline;
    if (request.timeout)
        call->deadline = std::min(execution.deadline, call->chainStart + *request.timeout);
    call->chainStart -= run.age;
    call->revision = run.revision;
    call->budget = RetryBudget(execution.budget.lend());
    call->parentSpan = run.trace.span;
    call->trace = run.trace.child();
    const Preset &preset = configuration.document.activePreset();
    const ClassRule *rule = preset.findClass(call->work.className);
    call->rank = rule == nullptr ? preset.lowestPriorityClass().rank : rule->rank;
    execution.calls.push_back(call->id);
    m_downstreamLoad.recordCall(execution.run.work.operation, call->work.operation);
    return std::nullopt;
}

std::optional<Error> CallDispatcher::inheritRankAndDeadline(Call *call, ExecutionId parent)
{
    const auto found = m_executions.find(parent);
    if (found == m_executions.end())
        return Error::ExecutionEnded;
    LocalExecution &execution = found->second;
    call->parent = parent;
    call->depth = Depth{execution.run.depth.value() + 1};
    if (call->depth > m_settings.maxDepth)
        return Error::DepthExceeded;
    call->deadline = std::min(call->deadline, execution.deadline);
    call->chainStart -= execution.run.age;
    call->rank = execution.rank;
    call->isRepeat = execution.run.isRepeat;
    if (call->isRepeat)
        m_retryRatio.charge(retryRatioScope(*call));
    execution.calls.push_back(call->id);
    m_downstreamLoad.recordCall(execution.run.work.operation, call->work.operation);
    return std::nullopt;
}

std::optional<Error> CallDispatcher::applyClassRule(Call *call, const CallRequest &request,
                                                    const Configuration &configuration,
                                                    TimePoint now)
{
    const Preset &preset = configuration.document.activePreset();
    const ClassRule *rule = preset.findClass(call->work.className);
    // A call from an upstream that did not propagate the context gets no retries, so that the retry
    // budget of its chain still bounds all retries. If it names no known class, it gets the lowest.
    if (request.isFromUpstream && rule == nullptr)
        rule = &preset.lowestPriorityClass();
    if (rule == nullptr)
        return Error::UnknownClass;
    call->work.className = rule->name;
    call->rank = rule->rank;
    call->deadline = now + request.timeout.value_or(rule->timeout);
    call->revision = configuration.revision;
    if (!request.isFromUpstream)
        call->budget = RetryBudget(rule->retries);
    const TraceContext trace
            = request.trace.value_or(TraceContext::create(shouldSample(m_settings.sampledShare)));
    call->parentSpan = trace.span;
    call->trace = trace.child();
    m_retryRatio.recordRequest(retryRatioScope(*call));
    return std::nullopt;
}

DispatchActions CallDispatcher::startCall(RequestId id, CallRequest request,
                                          const ConfigurationHistory &history, TimePoint now,
                                          WallTime wall)
{
    DispatchActions actions;
    Call &call = m_calls[id];
    call.id = id;
    call.work = std::move(request.work);
    call.chainStart = now;
    call.deadline = now;
    call.executionsDueBy = request.executionsDueBy;
    call.startWallTime = wall;
    const bool hasContext = m_settings.policy.propagatesContext && request.parent;
    if (hasContext)
        call.parent = request.parent;
    const Configuration *configuration = history.activeAt(wall);
    if (hasContext && m_executions.contains(*request.parent))
        configuration = history.findOrActive(m_executions.at(*request.parent).run.revision, wall);
    if (configuration == nullptr) {
        finishWithError(&call, Error::NoTarget, Outcome::NotRun, &actions, now, wall);
        return actions;
    }
    const Preset &preset = configuration->document.activePreset();
    call.spillShare = preset.spillShare;
    call.hedgeShare = preset.hedgeShare;
    auto error = hasContext ? inheritContext(&call, request, *configuration)
                            : applyClassRule(&call, request, *configuration, now);
    if (!error && !hasContext && request.parent)
        error = inheritRankAndDeadline(&call, *request.parent);
    if (!error && !m_balancer->knowsService(call.work.service))
        error = Error::UnknownService;
    if (!error && isPoisonous(call.work))
        error = Error::Poisonous;
    const bool startsChain = !request.parent && !request.isFromUpstream;
    if (!error && startsChain && !mayStartChain(call, now))
        error = Error::ChainOverloaded;
    if (error) {
        finishWithError(&call, *error, Outcome::NotRun, &actions, now, wall);
        return actions;
    }
    startTimers(call, now);
    sendByKey(&call, &actions, now, wall);
    return actions;
}

bool CallDispatcher::mayStartChain(const Call &call, TimePoint now)
{
    if (!m_settings.policy.limitsChainStarts)
        return true;
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    return m_chainStartLimiter.admits(call.work.operation,
                                      m_downstreamLoad.of(call.work.operation, now), call.rank,
                                      draw(m_random), now);
}

void CallDispatcher::startTimers(const Call &call, TimePoint now)
{
    m_timers.emplace(call.deadline, Timer{call.id, true});
    if (!m_settings.policy.hedges || !call.work.idempotent)
        return;
    m_hedgeCredit = std::min(maxHedgeCredit, m_hedgeCredit + call.hedgeShare);
    const Duration p95 = m_balancer->p95Latency(call.work.service, call.work.operation);
    const Duration minDelay = std::max(
            minHedgeDelay, scaled(call.deadline - now, m_settings.policy.minHedgeDelayShare));
    if (p95 > Duration{0})
        m_timers.emplace(now + std::max(p95, minDelay), Timer{call.id, false});
}

DispatchActions CallDispatcher::cancel(RequestId id, TimePoint now, WallTime wall)
{
    DispatchActions actions;
    const auto found = m_calls.find(id);
    if (found != m_calls.end())
        finishWithError(&found->second, Error::Cancelled, Outcome::Unknown, &actions, now, wall);
    return actions;
}

DispatchActions CallDispatcher::tick(TimePoint now, WallTime wall)
{
    DispatchActions actions;
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const Timer timer = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        const auto found = m_calls.find(timer.id);
        if (found == m_calls.end())
            continue;
        if (timer.isDeadline)
            finishWithError(&found->second, Error::AnswerLost, Outcome::Unknown, &actions, now,
                            wall);
        else
            hedge(&found->second, &actions, now);
    }
    return actions;
}

void CallDispatcher::endCallsBy(TimePoint callsDueBy, TimePoint executionsDueBy)
{
    for (auto &[id, call] : m_calls) {
        call.executionsDueBy = std::min(call.executionsDueBy, executionsDueBy);
        if (call.deadline <= callsDueBy)
            continue;
        call.deadline = callsDueBy;
        m_timers.emplace(callsDueBy, Timer{id, true});
    }
}

TimePoint CallDispatcher::nextWake(TimePoint otherwise) const
{
    return m_timers.empty() ? otherwise : std::min(otherwise, m_timers.begin()->first);
}

void CallDispatcher::finishWithError(Call *call, Error reason, Outcome outcome,
                                     DispatchActions *actions, TimePoint now, WallTime wall)
{
    Answer answer = makeRefusal(call->id, reason, false);
    answer.outcome = outcome;
    finishCall(call, std::move(answer), actions, now, wall);
}

Duration CallDispatcher::chooseRetryAfter(Duration timeLeft)
{
    const Duration maxDelay = std::min(m_settings.policy.maxRetryAfter, timeLeft / 3);
    std::uniform_real_distribution<double> delayShare(0.3, 1.0);
    return maxDelay > Duration{0} ? scaled(maxDelay, delayShare(m_random)) : Duration{0};
}

const std::string &CallDispatcher::retryRatioScope(const Call &call) const
{
    return m_settings.policy.retryRatioPerService ? call.work.service.value()
                                                  : call.work.caller.value();
}

void CallDispatcher::finishCall(Call *call, Answer answer, DispatchActions *actions, TimePoint now,
                                WallTime wall)
{
    for (const Attempt &attempt : call->openAttempts) {
        actions->emplace_back(SendCancel{attempt.peer, call->id, attempt.number});
        const bool isDeadlineExceeded
                = call->deadline <= now && answer.outcome != Outcome::Completed;
        m_balancer->onAttemptEnded(attempt.peer.instance,
                                   {call->work.operation, attempt.sentAt, now - attempt.sentAt,
                                    Duration{0},
                                    isDeadlineExceeded ? AttemptResult::End::DeadlineExceeded
                                                       : AttemptResult::End::Cancelled},
                                   now);
    }
    if (call->upstreamFailure && answer.outcome != Outcome::Completed
        && answer.outcome != Outcome::Failed) {
        // The upstream's own error tells the caller more than why no further attempt was made.
        answer = *std::move(call->upstreamFailure);
    }
    if (answer.outcome == Outcome::NotRun && (call->mayHaveRun || !call->openAttempts.empty()))
        answer.outcome = Outcome::Unknown;
    if (answer.outcome == Outcome::NotRun)
        answer.retryAfter = chooseRetryAfter(call->deadline - now);
    const auto execution = call->parent ? m_executions.find(*call->parent) : m_executions.end();
    if (execution != m_executions.end()) {
        execution->second.budget.giveBack(call->budget.tokens());
        std::erase(execution->second.calls, call->id);
        // This hop, the one next to the failure, has already made the retries that are allowed, so
        // the hops above must not retry.
        if (answer.outcome != Outcome::Completed)
            execution->second.failedPermanently = true;
    }
    Span span;
    span.context = call->trace;
    span.parent = call->parentSpan;
    span.name = "entry";
    span.start = call->startWallTime;
    span.end = wall;
    span.service = call->work.service;
    span.operation = call->work.operation;
    span.className = call->work.className;
    span.instance = m_settings.location.instance;
    span.revision = call->revision;
    span.attempts = AttemptNumber{call->attemptCount};
    span.retryBudgetLeft = call->budget.tokens();
    span.queueWait = call->queueWait;
    span.outcome = answer.outcome;
    span.reason = answer.reason;
    answer.retryable = false;
    actions->emplace_back(
            FinishCall{call->id,
                       {std::move(answer), AttemptNumber{call->attemptCount}, std::move(span),
                        now - call->chainStart,
                        call->triedTargets.empty() ? InstanceId{} : call->triedTargets.back()}});
    m_calls.erase(call->id);
}

void CallDispatcher::onExecutionStarted(ExecutionId id, const RunRequest &run, Rank rank,
                                        TimePoint deadline)
{
    LocalExecution execution;
    execution.run = run;
    execution.run.work.body = {};
    execution.deadline = deadline;
    execution.rank = rank;
    execution.budget = RetryBudget(run.retryBudget);
    m_executions.insert_or_assign(id, std::move(execution));
}

void CallDispatcher::cancelCallsOf(ExecutionId id, TimePoint now, WallTime wall,
                                   DispatchActions *actions)
{
    const auto found = m_executions.find(id);
    if (found == m_executions.end())
        return;
    const std::vector<RequestId> openCallIds = found->second.calls;
    for (const RequestId callId : openCallIds) {
        DispatchActions cancelled = cancel(callId, now, wall);
        std::move(cancelled.begin(), cancelled.end(), std::back_inserter(*actions));
    }
}

ChainResult CallDispatcher::onExecutionEnded(ExecutionId id, TimePoint now, WallTime wall,
                                             DispatchActions *actions)
{
    if (m_settings.policy.cancelsCallsOfEndedExecutions)
        cancelCallsOf(id, now, wall, actions);
    const auto found = m_executions.find(id);
    if (found == m_executions.end())
        return {};
    const ChainResult result{found->second.budget.tokens(), found->second.failedPermanently};
    m_executions.erase(found);
    return result;
}

Result<std::vector<std::string>> CallDispatcher::makeKeys(const ServiceName &service,
                                                          std::size_t count, TimePoint now,
                                                          WallTime wall)
{
    std::vector<std::string> keys;
    PickRequest request;
    request.service = service;
    for (std::size_t i = 0; i < count; ++i) {
        const Result<Pick> pick = m_balancer->pick(request, now);
        if (!pick)
            return pick.error();
        const PeerRef &peer = pick.value().peer;
        keys.push_back(makeKey(peer.instance, peer.incarnation, wall, m_settings.keyLife).toText());
    }
    return keys;
}

} // namespace buckthornford
