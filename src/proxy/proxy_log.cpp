#include "proxy/proxy_task.h"

namespace buckthornford {

/// Returns how the caller names request \a id; empty if it isn't open.
std::string_view ProxyTask::callerId(RequestId id) const
{
    const auto found = m_callerIds.find(id);
    return found == m_callerIds.end() ? std::string_view() : found->second;
}

/// One line for each attempt that did not bring the answer, with what the entry decides by.
void ProxyTask::logAttempt(const InstanceId &target, const Answer &answer, TimePoint now)
{
    if (answer.outcome == Outcome::Completed
        || !m_callbacks.log->tryAcquire(LogCategory::Problem, now))
        return;
    m_callbacks.log->write(LogCategory::Problem, "attempt-failed",
                           {{"request", callerId(answer.request)},
                            {"attempt", std::int64_t{answer.attempt.value()}},
                            {"target", target.value()},
                            {"outcome", outcomeName(answer.outcome)},
                            {"reason", errorRow(answer.reason).name},
                            {"status", std::int64_t{answer.status}},
                            {"offered", answer.reachedUpstream},
                            {"repeatable", answer.retryable},
                            {"target_in_flight", std::int64_t{answer.load.inFlight}},
                            {"target_limit", std::int64_t{answer.load.limit}},
                            {"target_queued", std::int64_t{answer.load.queued}},
                            {"queue_ms", toMilliseconds(answer.queueWait)},
                            {"service_ms", toMilliseconds(answer.serviceTime)}},
                           now);
}

/// One line for each change of what this node believes of its upstream.
void ProxyTask::logUpstream(std::string_view event, TimePoint now)
{
    if (!m_upstream)
        return;
    m_callbacks.log->write(LogCategory::Process, event,
                           {{"upstream", m_upstream->id},
                            {"start", static_cast<std::int64_t>(m_upstream->start.value_or(0))},
                            {"sequence", static_cast<std::int64_t>(m_upstream->sequence)},
                            {"service", m_upstream->service.value()},
                            {"slots", std::int64_t{m_upstream->slots.value()}},
                            {"in_flight", std::int64_t{m_gate.inFlight()}},
                            {"queued", static_cast<std::int64_t>(m_gate.queued())}},
                           now);
}

void ProxyTask::logEnd(const FinishCall &action, TimePoint now)
{
    const CallResult &result = action.result;
    const bool isWell = result.answer.outcome == Outcome::Completed && result.attempts.value() <= 1;
    const LogCategory kind = isWell ? LogCategory::Routine : LogCategory::Problem;
    if (!m_callbacks.log->tryAcquire(kind, now))
        return;
    const Span &span = result.span;
    m_callbacks.log->write(kind, "request-ended",
                           {{"request", callerId(action.request)},
                            {"service", span.service.value()},
                            {"route", span.operation.value()},
                            {"class", span.className.value()},
                            {"outcome", outcomeName(result.answer.outcome)},
                            {"reason", errorRow(result.answer.reason).name},
                            {"status", std::int64_t{result.answer.status}},
                            {"attempts", std::int64_t{result.attempts.value()}},
                            {"revision", static_cast<std::int64_t>(span.revision.value())},
                            {"last_target", result.lastTarget.value()},
                            {"queue_ms", toMilliseconds(span.queueWait)},
                            {"took_ms", toMilliseconds(result.duration)}},
                           now);
}

std::string ProxyTask::metricsText() const
{
    return m_entryMetrics.exposition("buckthornford_entry")
           + m_gateMetrics.exposition("buckthornford_gate")
           + counterText("buckthornford_retries_total", m_entry.retryCount());
}

} // namespace buckthornford
