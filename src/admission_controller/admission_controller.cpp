#include "admission_controller/admission_controller.h"

#include <algorithm>
#include <array>

namespace buckthornford {

namespace {

/// An upstream's report of its load is ignored after this time.
constexpr Duration loadReportLifetime = std::chrono::seconds(2);
constexpr int firstClientError = 400;
/// Share of an operation's expected latency; with less time left, work rarely ends in time.
constexpr double minTimeLeftShare = 0.4;
constexpr int firstServerError = 500;

/// What the caller is told when an execution ends in one way (see UpstreamResult::End).
struct EndMeaning
{
    Outcome outcome;
    Error reason;
    bool retryable;
};

/// In the order of UpstreamResult::End. For Answered, makeAnswer() checks the HTTP status too.
constexpr std::array<EndMeaning, 7> endMeanings{
        EndMeaning{Outcome::Completed, Error::None, false},
        EndMeaning{Outcome::NotRun, Error::Shed, true},
        EndMeaning{Outcome::NotRun, Error::UpstreamAbsent, true},
        EndMeaning{Outcome::Unknown, Error::UpstreamLost, true},
        EndMeaning{Outcome::Unknown, Error::AnswerCut, true},
        EndMeaning{Outcome::Unknown, Error::AnswerLost, false},
        EndMeaning{Outcome::Unknown, Error::Cancelled, false}};

std::uint64_t requestHash(const RunRequest &run)
{
    return run.trace.traceLow ^ run.request.value();
}

} // namespace

AdmissionController::AdmissionController(AdmissionSettings settings)
    : m_settings(std::move(settings))
    , m_limiter(createLimiter(m_settings.policy.limiter))
    , m_queue(m_settings.policy.order, m_settings.queueCapacity)
    , m_idempotency(m_settings.self, m_settings.incarnation, m_settings.idempotency)
    , m_nextExecutionId(randomNumber())
{}

void AdmissionController::attachUpstream(Slots slots, bool isNew, TimePoint now)
{
    m_limiter->setCeiling(slots, now);
    if (isNew)
        m_limiter->resetEstimates(now);
    m_hasUpstream = true;
}

void AdmissionController::setReportedLoad(std::uint32_t executions, TimePoint now)
{
    m_reportedLoad = executions;
    m_loadReportTime = now;
}

AdmissionActions AdmissionController::detachUpstream(TimePoint)
{
    AdmissionActions actions;
    m_hasUpstream = false;
    for (const QueuedRequest &request :
         m_queue.removeIf([](const QueuedRequest &) { return true; }))
        refuse(request.execution, Error::UpstreamAbsent, true, &actions);
    return actions;
}

AdmissionActions AdmissionController::refuseQueued(Error reason)
{
    AdmissionActions actions;
    for (const QueuedRequest &request :
         m_queue.removeIf([](const QueuedRequest &) { return true; }))
        refuse(request.execution, reason, true, &actions);
    return actions;
}

void AdmissionController::endQueuedBy(TimePoint deadline)
{
    for (auto &[id, execution] : m_executions) {
        if (!execution.isRunning)
            execution.deadline = std::min(execution.deadline, deadline);
    }
}

AdmissionActions AdmissionController::cancelStream(std::uint64_t stream, TimePoint now)
{
    AdmissionActions actions;
    std::vector<ReplyTo> cancellable;
    for (auto it = m_executionsByReply.lower_bound({stream, {}, {}});
         it != m_executionsByReply.end() && it->first.stream == stream; ++it) {
        const Execution &execution = m_executions.at(it->second);
        if (execution.run.work.idempotent || !execution.isRunning)
            cancellable.push_back(it->first);
    }
    for (const ReplyTo &replyTo : cancellable) {
        AdmissionActions cancelled = cancel(replyTo, now);
        std::move(cancelled.begin(), cancelled.end(), std::back_inserter(actions));
    }
    return actions;
}

bool AdmissionController::usesIdempotencyTable(const RunRequest &run) const
{
    return m_settings.policy.deduplicatesKeys && !run.work.key.empty();
}

std::optional<Error> AdmissionController::refusalReason(const Execution &execution,
                                                        TimePoint now) const
{
    if (m_draining)
        return Error::TargetLeaving;
    if (!m_hasUpstream)
        return Error::UpstreamAbsent;
    if (execution.deadline <= now)
        return Error::DeadlineExpired;
    if (m_settings.poison != nullptr
        && m_settings.poison->isPoisonous(contentHash(execution.run.work)))
        return Error::Poisonous;
    return std::nullopt;
}

QueuedRequest AdmissionController::makeQueuedRequest(ExecutionId id,
                                                     const Execution &execution) const
{
    const RunRequest &run = execution.run;
    return {id,
            execution.rank,
            run.work.caller,
            run.work.operation,
            execution.arrived - run.age,
            execution.deadline,
            requestHash(run),
            execution.isLong};
}

AdmissionActions AdmissionController::submit(const RunRequest &run, ReplyTo replyTo,
                                             const Preset &preset, TimePoint now, WallTime wall)
{
    AdmissionActions actions;
    if (usesIdempotencyTable(run)) {
        auto admitResult = m_idempotency.admit(run, replyTo, wall);
        if (std::holds_alternative<IdempotencyTable::AttachedToRun>(admitResult))
            return actions;
        if (auto *answered = std::get_if<IdempotencyTable::Answered>(&admitResult)) {
            answered->answer.load = load();
            actions.emplace_back(Reply{replyTo, std::move(answered->answer), run.work.operation});
            return actions;
        }
    }
    const ClassRule *rule = preset.findClass(run.work.className);
    const ExecutionId id{m_nextExecutionId++};
    const Rank classRank = rule == nullptr ? preset.lowestPriorityClass().rank : rule->rank;
    Execution execution{run, replyTo, run.chainRank.value_or(classRank),
                        now, {},      now + run.timeLeft};
    execution.isLong
            = m_settings.policy.reservesSlotsForShortWork && m_costs.isLong(run.work.operation);
    execution.shortShare = preset.shortShare;
    execution.latestStart = TimePoint::max();
    // A call in a chain may wait as long as its time limit allows: the chain has cost work already.
    if (rule != nullptr && rule->objective > Duration{0}
        && m_settings.policy.maxQueueWaitShare > 0.0 && !run.chainRank)
        execution.latestStart = now + scaled(rule->objective, m_settings.policy.maxQueueWaitShare);
    // A further attempt is work that another target has counted already.
    if (run.attempt <= AttemptNumber{1})
        m_demand.record(m_costs.expected(run.work.operation), now);
    const auto reason = refusalReason(execution, now);
    m_executionsByReply[replyTo] = id;
    const auto &stored = m_executions.emplace(id, std::move(execution)).first->second;
    if (reason) {
        const bool isFinal = *reason == Error::DeadlineExpired || *reason == Error::Poisonous;
        refuse(id, *reason, !isFinal, &actions);
        return actions;
    }
    if (!stored.isLong)
        m_shortWorkReserve.onShortArrival(stored.rank, now);
    if (run.revision > m_tieBreakerRevision) {
        m_tieBreakerRevision = run.revision;
        m_queue.setTieBreaker(preset.tieBreaker);
    }
    const auto evicted = m_queue.push(makeQueuedRequest(id, stored));
    startQueued(&actions, now);
    if (evicted)
        refuse(*evicted, Error::QueueFull, true, &actions);
    return actions;
}

bool AdmissionController::cannotMeetDeadline(const QueuedRequest &request, TimePoint now) const
{
    // While other requests wait, only work that will probably end in time gets a slot. With an
    // empty queue the slot would stay unused, so the relaxed policy asks for less time.
    const bool isContended
            = m_queue.size() > 0 || !m_settings.policy.relaxesDeadlineCheckWhenQueueEmpty;
    const Duration needed = isContended
                                    ? m_costs.conservative(request.operation)
                                    : scaled(m_costs.expected(request.operation), minTimeLeftShare);
    return now + needed >= request.deadline;
}

bool AdmissionController::mayStart(const QueuedRequest &request, TimePoint now) const
{
    if (!request.isLong)
        return true;
    const double shortShare = m_executions.at(request.execution).shortShare;
    return m_shortWorkReserve.mayStartLong(request.rank, m_limiter->limit(), shortShare, now);
}

void AdmissionController::startQueued(AdmissionActions *actions, TimePoint now)
{
    while (m_hasUpstream && m_inFlight < m_limiter->limit().value()) {
        const auto request = m_queue.pop(
                [this, now](const QueuedRequest &candidate) { return mayStart(candidate, now); });
        if (!request)
            return;
        if (m_settings.policy.refusesUnmeetableDeadlines && cannotMeetDeadline(*request, now)) {
            refuse(request->execution, Error::DeadlineExpired, false, actions);
            continue;
        }
        Execution &execution = m_executions.at(request->execution);
        execution.isRunning = true;
        execution.started = now;
        ++m_inFlight;
        m_shortWorkReserve.onStart(execution.isLong);
        m_limiter->onStart(m_inFlight, now);
        actions->emplace_back(StartExecution{request->execution, execution.run, execution.rank,
                                             execution.deadline});
    }
}

void AdmissionController::refuse(ExecutionId id, Error reason, bool retryable,
                                 AdmissionActions *actions, bool reachedUpstream)
{
    auto extracted = m_executions.extract(id);
    const Execution &execution = extracted.mapped();
    const RunRequest &run = execution.run;
    Answer answer = makeRefusal(run, reason, retryable);
    answer.reachedUpstream = reachedUpstream;
    if (retryable && run.alternate && usesIdempotencyTable(run)) {
        const Result<IdempotencyKey> key = IdempotencyKey::parse(run.work.key);
        const PeerRef &next = *run.alternate;
        answer.reason = Error::KeyMoved;
        answer.movedKey = IdempotencyKey{next.instance, next.incarnation, key.value().expires,
                                         randomNumber()}
                                  .toText();
    }
    replyToWaiters(execution, std::move(answer), actions);
}

void AdmissionController::replyToWaiters(const Execution &execution, Answer answer,
                                         AdmissionActions *actions)
{
    m_executionsByReply.erase(execution.replyTo);
    answer.load = load();
    std::vector<ReplyTo> waiters{execution.replyTo};
    if (usesIdempotencyTable(execution.run))
        waiters = m_idempotency.complete(execution.run.work.key, answer);
    for (const ReplyTo &waiter : waiters) {
        Answer copy = answer;
        copy.request = waiter.request;
        copy.attempt = waiter.attempt;
        if (waiter != execution.replyTo)
            copy.retryBudgetLeft = Tokens{0};
        actions->emplace_back(Reply{waiter, std::move(copy), execution.run.work.operation});
    }
}

AdmissionActions AdmissionController::cancel(ReplyTo replyTo, TimePoint)
{
    AdmissionActions actions;
    const auto found = m_executionsByReply.find(replyTo);
    if (found == m_executionsByReply.end())
        return actions;
    const ExecutionId id = found->second;
    const Execution &execution = m_executions.at(id);
    if (usesIdempotencyTable(execution.run)
        && m_idempotency.removeWaiter(execution.run.work.key, replyTo))
        return actions;
    if (m_queue.remove(id))
        refuse(id, Error::Cancelled, false, &actions);
    else
        actions.emplace_back(CancelExecution{id});
    return actions;
}

void AdmissionController::releaseSlot(const Execution &execution, const UpstreamResult &result,
                                      TimePoint now)
{
    using End = UpstreamResult::End;
    --m_inFlight;
    m_shortWorkReserve.onEnd(execution.isLong);
    const OperationName &operation = execution.run.work.operation;
    ExecutionSample sample{operation, result.latency, ExecutionSample::End::Answered};
    if (result.end == End::Shed)
        sample.end = ExecutionSample::End::Shed;
    else if (result.end != End::Answered)
        sample.end = ExecutionSample::End::Lost;
    else if (result.status >= firstClientError)
        sample.end = ExecutionSample::End::Failed;
    else
        m_costs.record(operation, result.latency);
    m_limiter->onEnd(sample, m_inFlight, now);
}

Answer AdmissionController::makeAnswer(const Execution &execution, UpstreamResult result,
                                       ChainResult chain) const
{
    const EndMeaning &meaning = endMeanings[static_cast<std::size_t>(result.end)];
    const RunRequest &run = execution.run;
    Answer answer = makeRefusal(run, meaning.reason, meaning.retryable && !chain.failedPermanently);
    answer.outcome = meaning.outcome;
    if (result.end == UpstreamResult::End::Answered && result.status >= firstServerError) {
        answer.outcome = Outcome::Failed;
        answer.reason = Error::UpstreamFailed;
        answer.retryable = run.work.idempotent && !chain.failedPermanently;
    }
    answer.status = result.status;
    if (result.hasUpstreamCrashed)
        answer.crashId = result.upstreamStartId;
    answer.reachedUpstream = result.end != UpstreamResult::End::NotSent;
    answer.headers = std::move(result.headers);
    answer.contentType = std::move(result.contentType);
    answer.body = std::move(result.body);
    answer.bodyChecksum = checksum(answer.body);
    answer.retryBudgetLeft = chain.retryBudgetLeft;
    answer.serviceTime = result.latency;
    answer.queueWait = execution.started - execution.arrived;
    return answer;
}

AdmissionActions AdmissionController::onExecutionEnded(UpstreamResult result, ChainResult chain,
                                                       TimePoint now)
{
    AdmissionActions actions;
    auto extracted = m_executions.extract(result.execution);
    if (extracted.empty())
        return actions;
    const Execution &execution = extracted.mapped();
    releaseSlot(execution, result, now);
    const bool wasNotRun
            = result.end == UpstreamResult::End::Shed || result.end == UpstreamResult::End::NotSent;
    if (wasNotRun) {
        const Error reason = endMeanings[static_cast<std::size_t>(result.end)].reason;
        const ExecutionId id = result.execution;
        m_executions.insert(std::move(extracted));
        refuse(id, reason, true, &actions, result.end == UpstreamResult::End::Shed);
    } else {
        replyToWaiters(execution, makeAnswer(execution, std::move(result), chain), &actions);
    }
    startQueued(&actions, now);
    return actions;
}

AdmissionActions AdmissionController::tick(TimePoint now, WallTime wall)
{
    AdmissionActions actions;
    if (now - m_loadReportTime > loadReportLifetime)
        m_reportedLoad = 0;
    m_limiter->tick(m_inFlight, now);
    m_idempotency.expire(wall);
    const auto overdue = m_queue.removeIf([this, now](const QueuedRequest &request) {
        return m_executions.at(request.execution).latestStart <= now;
    });
    for (const QueuedRequest &request : overdue)
        refuse(request.execution, Error::QueueFull, true, &actions);
    if (m_settings.policy.refusesUnmeetableDeadlines) {
        const auto unmeetable = m_queue.removeIf([this, now](const QueuedRequest &request) {
            return cannotMeetDeadline(request, now);
        });
        for (const QueuedRequest &request : unmeetable)
            refuse(request.execution, Error::DeadlineExpired, false, &actions);
    }
    startQueued(&actions, now);
    return actions;
}

LoadReport AdmissionController::load() const
{
    return {std::max(m_inFlight, m_reportedLoad),
            m_limiter->limit().value(),
            static_cast<std::uint32_t>(m_queue.size()),
            {}};
}

Utilization AdmissionController::demand(TimePoint now) const
{
    const Slots slots = m_limiter->limit();
    const Utilization offered = m_demand.demand(slots, now);
    if (m_queue.size() == 0)
        return offered;
    // With work in the queue all slots are in use, whatever the estimates of its cost say.
    const double held = static_cast<double>(m_inFlight) + static_cast<double>(m_queue.size());
    return std::max(offered, Utilization{held / std::max<double>(1.0, slots.value())});
}

} // namespace buckthornford
