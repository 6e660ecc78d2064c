#include "dispatch/dispatch.h"

#include <algorithm>

namespace buckthornford {

namespace {

constexpr Duration minHedgeDelay = std::chrono::milliseconds(2);
constexpr double hedgeBurst = 10.0;

bool isSampled(double share)
{
    constexpr double range = 1e6;
    return static_cast<double>(randomNumber() % static_cast<std::uint64_t>(range)) < share * range;
}

} // namespace

CallDispatcher::CallDispatcher(DispatchSettings settings)
    : m_settings(std::move(settings))
    , m_router(createLoadBalancer(m_settings.policy.router, m_settings.location, m_settings.seed))
    , m_ratio(m_settings.ratio)
    , m_random(m_settings.seed)
{}

void CallDispatcher::setView(const std::vector<Target> &targets,
                             std::vector<DirectoryEntry> directory, TimePoint now)
{
    m_router->setTargets(targets, now);
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

const DirectoryEntry *CallDispatcher::lookUp(const InstanceId &instance) const
{
    const auto found = m_directory.find(instance);
    return found == m_directory.end() ? nullptr : &found->second;
}

std::optional<Error> CallDispatcher::fillFromParent(Call *call, const CallRequest &request,
                                                    const Configuration &configuration)
{
    const auto found = m_chains.find(*request.parent);
    if (found == m_chains.end())
        return Error::ExecutionEnded;
    Chain &chain = found->second;
    const RunRequest &run = chain.run;
    call->depth = Depth{run.depth.value() + 1};
    if (call->depth > m_settings.maxDepth)
        return Error::DepthExceeded;
    call->work.className = run.work.className;
    call->work.caller = run.work.caller;
    call->deadline = chain.deadline;
    if (request.timeout)
        call->deadline = std::min(chain.deadline, call->entered + *request.timeout);
    call->entered -= run.age;
    call->revision = run.revision;
    call->budget = RetryBudget(chain.budget.lend());
    call->parentSpan = run.trace.span;
    call->trace = run.trace.child();
    const Preset &preset = configuration.document.activePreset();
    const ClassRule *rule = preset.findClass(call->work.className);
    call->rank = rule == nullptr ? preset.lowestPriorityClass().rank : rule->rank;
    chain.calls.push_back(call->id);
    return std::nullopt;
}

std::optional<Error> CallDispatcher::joinChain(Call *call, ExecutionId parent)
{
    const auto found = m_chains.find(parent);
    if (found == m_chains.end())
        return Error::ExecutionEnded;
    Chain &chain = found->second;
    call->parent = parent;
    call->depth = Depth{chain.run.depth.value() + 1};
    if (call->depth > m_settings.maxDepth)
        return Error::DepthExceeded;
    call->deadline = std::min(call->deadline, chain.deadline);
    call->entered -= chain.run.age;
    call->rank = chain.rank;
    call->isRepeat = chain.run.isRepeat;
    if (call->isRepeat)
        m_ratio.charge(ratioScope(*call));
    chain.calls.push_back(call->id);
    return std::nullopt;
}

std::optional<Error> CallDispatcher::fillFromPreset(Call *call, const CallRequest &request,
                                                    const Configuration &configuration,
                                                    TimePoint now)
{
    const Preset &preset = configuration.document.activePreset();
    const ClassRule *rule = preset.findClass(call->work.className);
    // An upstream that drops the context gets the lowest class and no retries, so that the
    // chain's bound holds all the same.
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
            = request.trace.value_or(TraceContext::create(isSampled(m_settings.sampledShare)));
    call->parentSpan = trace.span;
    call->trace = trace.child();
    m_ratio.recordRequest(ratioScope(*call));
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
    call.entered = now;
    call.deadline = now;
    call.enteredWall = wall;
    const bool hasContext = m_settings.policy.propagatesContext && request.parent;
    if (hasContext)
        call.parent = request.parent;
    const Configuration *configuration = history.activeAt(wall);
    if (hasContext && m_chains.contains(*request.parent))
        configuration = history.findOrActive(m_chains.at(*request.parent).run.revision, wall);
    if (configuration == nullptr) {
        finishRefused(&call, Error::NoTarget, Outcome::NotRun, &actions, now, wall);
        return actions;
    }
    const Preset &preset = configuration->document.activePreset();
    call.spillShare = preset.spillShare;
    call.hedgeShare = preset.hedgeShare;
    auto error = hasContext ? fillFromParent(&call, request, *configuration)
                            : fillFromPreset(&call, request, *configuration, now);
    if (!error && !hasContext && request.parent)
        error = joinChain(&call, *request.parent);
    if (!error && !m_router->knowsService(call.work.service))
        error = Error::UnknownService;
    if (!error && isPoisonous(call.work))
        error = Error::Poisonous;
    if (error) {
        finishRefused(&call, *error, Outcome::NotRun, &actions, now, wall);
        return actions;
    }
    startTimers(call, now);
    sendFirst(&call, &actions, now, wall);
    return actions;
}

void CallDispatcher::startTimers(const Call &call, TimePoint now)
{
    m_timers.emplace(call.deadline, Timer{call.id, true});
    if (!m_settings.policy.hedges || !call.work.idempotent)
        return;
    m_hedgeCredit = std::min(hedgeBurst, m_hedgeCredit + call.hedgeShare);
    const Duration slow = m_router->p95Latency(call.work.service, call.work.operation);
    const Duration soonest = std::max(
            minHedgeDelay, scaled(call.deadline - now, m_settings.policy.minHedgeDelayShare));
    if (slow > Duration{0})
        m_timers.emplace(now + std::max(slow, soonest), Timer{call.id, false});
}

DispatchActions CallDispatcher::cancel(RequestId id, TimePoint now, WallTime wall)
{
    DispatchActions actions;
    const auto found = m_calls.find(id);
    if (found != m_calls.end())
        finishRefused(&found->second, Error::Cancelled, Outcome::Unknown, &actions, now, wall);
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
            finishRefused(&found->second, Error::AnswerLost, Outcome::Unknown, &actions, now, wall);
        else
            hedge(&found->second, &actions, now);
    }
    return actions;
}

TimePoint CallDispatcher::nextWake(TimePoint otherwise) const
{
    return m_timers.empty() ? otherwise : std::min(otherwise, m_timers.begin()->first);
}

void CallDispatcher::finishRefused(Call *call, Error reason, Outcome outcome,
                                   DispatchActions *actions, TimePoint now, WallTime wall)
{
    Answer answer = makeRefusal(call->id, reason, false);
    answer.outcome = outcome;
    finish(call, std::move(answer), actions, now, wall);
}

/// When a caller that was turned away should come again: soon enough to be served in time, and
/// spread, so that those turned away together don't come back together.
Duration CallDispatcher::returnDelay(const Call &call, TimePoint now)
{
    const Duration left = call.deadline - now;
    const Duration longest = std::min(m_settings.policy.maxRetryAfter, left / 3);
    std::uniform_real_distribution<double> spread(0.3, 1.0);
    return longest > Duration{0} ? scaled(longest, spread(m_random)) : Duration{0};
}

const std::string &CallDispatcher::ratioScope(const Call &call) const
{
    return m_settings.policy.retryRatioPerService ? call.work.service.value()
                                                  : call.work.caller.value();
}

void CallDispatcher::finish(Call *call, Answer answer, DispatchActions *actions, TimePoint now,
                            WallTime wall)
{
    for (const Attempt &open : call->open) {
        actions->emplace_back(SendCancel{open.peer, call->id, open.number});
        const bool isLate = call->deadline <= now && answer.outcome != Outcome::Completed;
        m_router->onAttemptEnded(
                open.peer.instance,
                {call->work.operation, open.sent, now - open.sent, Duration{0},
                 isLate ? AttemptResult::End::DeadlineExceeded : AttemptResult::End::Cancelled},
                now);
    }
    if (call->failure && answer.outcome != Outcome::Completed
        && answer.outcome != Outcome::Failed) {
        // The upstream's own failure tells the caller more than that no more could be done.
        answer = *std::move(call->failure);
    }
    if (answer.outcome == Outcome::NotRun && (call->mayHaveRun || !call->open.empty()))
        answer.outcome = Outcome::Unknown;
    if (answer.outcome == Outcome::NotRun)
        answer.retryAfter = returnDelay(*call, now);
    const auto chain = call->parent ? m_chains.find(*call->parent) : m_chains.end();
    if (chain != m_chains.end()) {
        chain->second.budget.giveBack(call->budget.tokens());
        std::erase(chain->second.calls, call->id);
        // The hop next to the failure has done what may be done about it.
        if (answer.outcome != Outcome::Completed)
            chain->second.failedForGood = true;
    }
    Span span;
    span.context = call->trace;
    span.parent = call->parentSpan;
    span.name = "entry";
    span.start = call->enteredWall;
    span.end = wall;
    span.service = call->work.service;
    span.operation = call->work.operation;
    span.className = call->work.className;
    span.instance = m_settings.location.instance;
    span.revision = call->revision;
    span.attempts = AttemptNumber{call->attempts};
    span.retryBudgetLeft = call->budget.tokens();
    span.queueWait = call->queueWait;
    span.outcome = answer.outcome;
    span.reason = answer.reason;
    answer.retryable = false;
    actions->emplace_back(FinishCall{call->id,
                                     {std::move(answer), AttemptNumber{call->attempts},
                                      std::move(span), now - call->entered,
                                      call->tried.empty() ? InstanceId{} : call->tried.back()}});
    m_calls.erase(call->id);
}

void CallDispatcher::onExecutionStarted(ExecutionId id, const RunRequest &run, Rank rank,
                                        TimePoint deadline)
{
    Chain chain;
    chain.run = run;
    chain.run.work.body.clear();
    chain.deadline = deadline;
    chain.rank = rank;
    chain.budget = RetryBudget(run.retryBudget);
    m_chains.insert_or_assign(id, std::move(chain));
}

void CallDispatcher::cancelCallsOf(ExecutionId id, TimePoint now, WallTime wall,
                                   DispatchActions *actions)
{
    const auto found = m_chains.find(id);
    if (found == m_chains.end())
        return;
    const std::vector<RequestId> open = found->second.calls;
    for (const RequestId call : open) {
        DispatchActions cancelled = cancel(call, now, wall);
        std::move(cancelled.begin(), cancelled.end(), std::back_inserter(*actions));
    }
}

ChainResult CallDispatcher::onExecutionEnded(ExecutionId id, TimePoint now, WallTime wall,
                                             DispatchActions *actions)
{
    cancelCallsOf(id, now, wall, actions);
    const auto found = m_chains.find(id);
    if (found == m_chains.end())
        return {};
    const ChainResult result{found->second.budget.tokens(), found->second.failedForGood};
    m_chains.erase(found);
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
        const Result<Pick> pick = m_router->pick(request, now);
        if (!pick)
            return pick.error();
        const PeerRef &peer = pick.value().peer;
        keys.push_back(makeKey(peer.instance, peer.incarnation, wall, m_settings.keyLife).toText());
    }
    return keys;
}

} // namespace buckthornford
