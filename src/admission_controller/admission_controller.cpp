#include "admission_controller/admission_controller.h"

#include <algorithm>
#include <array>

namespace buckthornford {

namespace {

constexpr Duration reportLife = std::chrono::seconds(2);
constexpr int firstClientError = 400;
/// Of the expected cost: with less time left, work hardly ever ends.
constexpr double chanceShare = 0.4;
constexpr int firstServerError = 500;

/// What one end at the upstream means for the caller.
struct EndRow
{
    Outcome outcome;
    Error reason;
    bool retryable;
};

/// In the order of UpstreamResult::End; Answered depends on the status too.
constexpr std::array<EndRow, 7> endRows{EndRow{Outcome::Completed, Error::None, false},
                                        EndRow{Outcome::NotRun, Error::Shed, true},
                                        EndRow{Outcome::NotRun, Error::UpstreamAbsent, true},
                                        EndRow{Outcome::Unknown, Error::UpstreamLost, true},
                                        EndRow{Outcome::Unknown, Error::AnswerCut, true},
                                        EndRow{Outcome::Unknown, Error::AnswerLost, false},
                                        EndRow{Outcome::Unknown, Error::Cancelled, false}};

std::uint64_t requestHash(const RunRequest &run)
{
    return run.trace.traceLow ^ run.request.value();
}

} // namespace

AdmissionController::AdmissionController(AdmissionSettings settings)
    : m_settings(std::move(settings))
    , m_limiter(createLimiter(m_settings.policy.limiter))
    , m_queue(m_settings.policy.order, m_settings.queueCapacity)
    , m_record(m_settings.self, m_settings.incarnation, m_settings.record)
    , m_nextExecution(randomNumber())
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
    m_reportTime = now;
}

AdmissionActions AdmissionController::detachUpstream(TimePoint)
{
    AdmissionActions actions;
    m_hasUpstream = false;
    for (const QueuedRequest &claim : m_queue.removeIf([](const QueuedRequest &) { return true; }))
        refuse(claim.execution, Error::UpstreamAbsent, true, &actions);
    return actions;
}

AdmissionActions AdmissionController::refuseQueued(Error reason)
{
    AdmissionActions actions;
    for (const QueuedRequest &claim : m_queue.removeIf([](const QueuedRequest &) { return true; }))
        refuse(claim.execution, reason, true, &actions);
    return actions;
}

AdmissionActions AdmissionController::cancelStream(std::uint64_t channel, TimePoint now)
{
    AdmissionActions actions;
    std::vector<ReplyTo> open;
    for (auto it = m_byReply.lower_bound({channel, {}, {}});
         it != m_byReply.end() && it->first.stream == channel; ++it) {
        const Execution &execution = m_executions.at(it->second);
        if (execution.run.work.idempotent || !execution.isRunning)
            open.push_back(it->first);
    }
    for (const ReplyTo &from : open) {
        AdmissionActions cancelled = cancel(from, now);
        std::move(cancelled.begin(), cancelled.end(), std::back_inserter(actions));
    }
    return actions;
}

bool AdmissionController::usesRecord(const RunRequest &run) const
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

QueuedRequest AdmissionController::claimOf(ExecutionId id, const Execution &execution) const
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

AdmissionActions AdmissionController::submit(const RunRequest &run, ReplyTo from,
                                             const Preset &preset, TimePoint now, WallTime wall)
{
    AdmissionActions actions;
    if (usesRecord(run)) {
        auto verdict = m_record.admit(run, from, wall);
        if (std::holds_alternative<IdempotencyTable::AttachedToRun>(verdict))
            return actions;
        if (auto *settled = std::get_if<IdempotencyTable::Answered>(&verdict)) {
            settled->answer.load = load();
            actions.emplace_back(Reply{from, std::move(settled->answer)});
            return actions;
        }
    }
    const ClassRule *rule = preset.findClass(run.work.className);
    const ExecutionId id{m_nextExecution++};
    const Rank ownRank = rule == nullptr ? preset.lowestPriorityClass().rank : rule->rank;
    Execution execution{run, from, run.chainRank.value_or(ownRank), now, {}, now + run.timeLeft};
    execution.isLong
            = m_settings.policy.reservesSlotsForShortWork && m_costs.isLong(run.work.operation);
    execution.shortShare = preset.shortShare;
    execution.patience = TimePoint::max();
    if (rule != nullptr && rule->objective > Duration{0}
        && m_settings.policy.maxQueueWaitShare > 0.0)
        execution.patience = now + scaled(rule->objective, m_settings.policy.maxQueueWaitShare);
    const auto reason = refusalReason(execution, now);
    m_byReply[from] = id;
    const auto &stored = m_executions.emplace(id, std::move(execution)).first->second;
    if (reason) {
        const bool isFinal = *reason == Error::DeadlineExpired || *reason == Error::Poisonous;
        refuse(id, *reason, !isFinal, &actions);
        return actions;
    }
    if (!stored.isLong)
        m_reserve.onShortArrival(stored.rank, now);
    if (run.revision > m_tieBreakerRevision) {
        m_tieBreakerRevision = run.revision;
        m_queue.setTieBreaker(preset.tieBreaker);
    }
    const auto evicted = m_queue.push(claimOf(id, stored));
    startWaiting(&actions, now);
    if (evicted)
        refuse(*evicted, Error::QueueFull, true, &actions);
    return actions;
}

bool AdmissionController::isHopeless(const QueuedRequest &claim, TimePoint now) const
{
    // While others wait, a slot goes to work that will probably end in time; else a fair chance
    // is better than none.
    const bool isContended
            = m_queue.size() > 0 || !m_settings.policy.relaxesDeadlineCheckWhenQueueEmpty;
    const Duration needed = isContended ? m_costs.conservative(claim.operation)
                                        : scaled(m_costs.expected(claim.operation), chanceShare);
    return now + needed >= claim.deadline;
}

bool AdmissionController::mayStart(const QueuedRequest &claim, TimePoint now) const
{
    if (!claim.isLong)
        return true;
    const double shortShare = m_executions.at(claim.execution).shortShare;
    return m_reserve.mayStartLong(claim.rank, m_limiter->limit(), shortShare, now);
}

void AdmissionController::startWaiting(AdmissionActions *actions, TimePoint now)
{
    while (m_hasUpstream && m_inFlight < m_limiter->limit().value()) {
        const auto claim = m_queue.pop(
                [this, now](const QueuedRequest &candidate) { return mayStart(candidate, now); });
        if (!claim)
            return;
        if (m_settings.policy.refusesUnmeetableDeadlines && isHopeless(*claim, now)) {
            refuse(claim->execution, Error::DeadlineExpired, false, actions);
            continue;
        }
        Execution &execution = m_executions.at(claim->execution);
        execution.isRunning = true;
        execution.started = now;
        ++m_inFlight;
        m_reserve.onStart(execution.isLong);
        m_limiter->onStart(m_inFlight, now);
        actions->emplace_back(StartExecution{claim->execution, execution.run, execution.rank,
                                             execution.deadline});
    }
}

void AdmissionController::refuse(ExecutionId id, Error reason, bool retryable,
                                 AdmissionActions *actions, bool wasOffered)
{
    auto node = m_executions.extract(id);
    const Execution &execution = node.mapped();
    const RunRequest &run = execution.run;
    Answer answer = makeRefusal(run, reason, retryable);
    answer.reachedUpstream = wasOffered;
    if (retryable && run.alternate && usesRecord(run)) {
        const Result<IdempotencyKey> key = IdempotencyKey::parse(run.work.key);
        const PeerRef &next = *run.alternate;
        answer.reason = Error::KeyMoved;
        answer.movedKey = IdempotencyKey{next.instance, next.incarnation, key.value().expires,
                                         randomNumber()}
                                  .toText();
    }
    settle(execution, std::move(answer), actions);
}

void AdmissionController::settle(const Execution &execution, Answer answer,
                                 AdmissionActions *actions)
{
    m_byReply.erase(execution.from);
    answer.load = load();
    std::vector<ReplyTo> waiters{execution.from};
    if (usesRecord(execution.run))
        waiters = m_record.complete(execution.run.work.key, answer);
    for (const ReplyTo &waiter : waiters) {
        Answer copy = answer;
        copy.request = waiter.request;
        copy.attempt = waiter.attempt;
        if (waiter != execution.from)
            copy.retryBudgetLeft = Tokens{0};
        actions->emplace_back(Reply{waiter, std::move(copy)});
    }
}

AdmissionActions AdmissionController::cancel(ReplyTo from, TimePoint)
{
    AdmissionActions actions;
    const auto found = m_byReply.find(from);
    if (found == m_byReply.end())
        return actions;
    const ExecutionId id = found->second;
    const Execution &execution = m_executions.at(id);
    if (usesRecord(execution.run) && m_record.removeWaiter(execution.run.work.key, from))
        return actions;
    if (m_queue.remove(id))
        refuse(id, Error::Cancelled, false, &actions);
    else
        actions.emplace_back(CancelExecution{id});
    return actions;
}

void AdmissionController::endSlot(const Execution &execution, const UpstreamResult &result,
                                  TimePoint now)
{
    using End = UpstreamResult::End;
    --m_inFlight;
    m_reserve.onEnd(execution.isLong);
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

Answer AdmissionController::answerOf(const Execution &execution, UpstreamResult result,
                                     ChainResult chain) const
{
    const EndRow &row = endRows[static_cast<std::size_t>(result.end)];
    const RunRequest &run = execution.run;
    Answer answer = makeRefusal(run, row.reason, row.retryable && !chain.failedPermanently);
    answer.outcome = row.outcome;
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
    auto node = m_executions.extract(result.execution);
    if (node.empty())
        return actions;
    const Execution &execution = node.mapped();
    endSlot(execution, result, now);
    const bool wasNotRun
            = result.end == UpstreamResult::End::Shed || result.end == UpstreamResult::End::NotSent;
    if (wasNotRun) {
        const Error reason = endRows[static_cast<std::size_t>(result.end)].reason;
        const ExecutionId id = result.execution;
        m_executions.insert(std::move(node));
        refuse(id, reason, true, &actions, result.end == UpstreamResult::End::Shed);
    } else {
        settle(execution, answerOf(execution, std::move(result), chain), &actions);
    }
    startWaiting(&actions, now);
    return actions;
}

AdmissionActions AdmissionController::tick(TimePoint now, WallTime wall)
{
    AdmissionActions actions;
    if (now - m_reportTime > reportLife)
        m_reportedLoad = 0;
    m_limiter->tick(m_inFlight, now);
    m_record.expire(wall);
    const auto impatient = m_queue.removeIf([this, now](const QueuedRequest &claim) {
        return m_executions.at(claim.execution).patience <= now;
    });
    for (const QueuedRequest &claim : impatient)
        refuse(claim.execution, Error::QueueFull, true, &actions);
    if (m_settings.policy.refusesUnmeetableDeadlines) {
        const auto hopeless = m_queue.removeIf(
                [this, now](const QueuedRequest &claim) { return isHopeless(claim, now); });
        for (const QueuedRequest &claim : hopeless)
            refuse(claim.execution, Error::DeadlineExpired, false, &actions);
    }
    startWaiting(&actions, now);
    return actions;
}

LoadReport AdmissionController::load() const
{
    return {std::max(m_inFlight, m_reportedLoad), m_limiter->limit().value(),
            static_cast<std::uint32_t>(m_queue.size())};
}

} // namespace buckthornford
