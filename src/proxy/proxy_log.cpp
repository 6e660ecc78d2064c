#include "proxy/proxy_task.h"

namespace buckthornford {

/// Returns the id that the caller gave request \a id; empty if the request isn't open.
std::string_view ProxyTask::callerRequestIdOf(RequestId id) const
{
    const auto found = m_callerRequestIds.find(id);
    return found == m_callerRequestIds.end() ? std::string_view() : found->second;
}

/// Logs an attempt that did not complete, with the values on which the dispatcher bases a retry.
void ProxyTask::logAttempt(const InstanceId &target, const Answer &answer, TimePoint now)
{
    if (answer.outcome == Outcome::Completed
        || !m_callbacks.log->tryAcquire(LogCategory::Problem, now))
        return;
    m_callbacks.log->write(LogCategory::Problem, "attempt-failed",
                           {{"request", callerRequestIdOf(answer.request)},
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

/// Logs that something came from the upstream that was not taken for an answer, and why.
void ProxyTask::logRefusedAnswer(const UpstreamResult &result, TimePoint now)
{
    const auto running = m_runningWork.find(result.execution);
    if (running == m_runningWork.end() || !m_callbacks.log->tryAcquire(LogCategory::Problem, now))
        return;
    const Work &work = running->second;
    const RefusedResponse &refused = result.refused;
    const MessageFaultRow &row = faultRow(refused.fault);
    m_callbacks.log->write(
            LogCategory::Problem, "answer-refused",
            {{"request", m_adapter.callers->callerRequestId(work.headers)},
             {"upstream", m_upstream ? std::string_view(m_upstream->id) : std::string_view()},
             {"fault", row.name},
             {"why", row.message},
             {"status", std::int64_t{refused.status}},
             {"received_bytes", static_cast<std::int64_t>(refused.received.value())},
             {"idempotent", work.idempotent},
             {"service_ms", toMilliseconds(result.latency)}},
            now);
}

/// Logs a change of what this node knows about its upstream.
void ProxyTask::logUpstreamEvent(std::string_view event, TimePoint now)
{
    if (!m_upstream)
        return;
    m_callbacks.log->write(LogCategory::Process, event,
                           {{"upstream", m_upstream->id},
                            {"start", static_cast<std::int64_t>(m_upstream->start.value_or(0))},
                            {"sequence", static_cast<std::int64_t>(m_upstream->sequence)},
                            {"service", m_upstream->service.value()},
                            {"slots", std::int64_t{m_upstream->slots.value()}},
                            {"in_flight", std::int64_t{m_admission.inFlight()}},
                            {"queued", static_cast<std::int64_t>(m_admission.queued())}},
                           now);
}

/// Logs an announcement that arrived late, with what this node knows of the upstream.
void ProxyTask::logOutdated(const UpstreamAnnouncement &announcement, TimePoint now)
{
    if (!m_callbacks.log->tryAcquire(LogCategory::Problem, now))
        return;
    m_callbacks.log->write(
            LogCategory::Problem, "announcement-outdated",
            {{"upstream", announcement.id},
             {"start", static_cast<std::int64_t>(announcement.start.value_or(0))},
             {"sequence", static_cast<std::int64_t>(announcement.sequence)},
             {"known_upstream", m_upstream ? m_upstream->id : std::string()},
             {"known_sequence", static_cast<std::int64_t>(m_upstream ? m_upstream->sequence : 0)}},
            now);
}

/// Logs a departure that this node did not hear from the upstream itself in this start, that it
/// acknowledges without the store, or of which it knows no start.
void ProxyTask::logDeparture(const UpstreamDeparture &departure, std::string_view source,
                             TimePoint now)
{
    m_callbacks.log->write(LogCategory::Process, "upstream-departure",
                           {{"upstream", departure.upstream},
                            {"start", static_cast<std::int64_t>(departure.start.value())},
                            {"source", source}},
                           now);
}

/// Logs a call that this node takes although the process has been told to stop.
void ProxyTask::logCallTakenWhileStopping(const IncomingCall &call, Duration timeout, TimePoint now)
{
    if (!m_callbacks.log->tryAcquire(LogCategory::Problem, now))
        return;
    m_callbacks.log->write(LogCategory::Problem, "request-taken-while-stopping",
                           {{"request", call.callerRequestId},
                            {"since_stop_ms", toMilliseconds(sinceStop(now))},
                            {"limit_ms", toMilliseconds(timeout)}},
                           now);
}

void ProxyTask::logUnansweredCalls(TimePoint now) const
{
    for (const auto &[id, callerRequestId] : m_callerRequestIds) {
        if (!m_callbacks.log->tryAcquire(LogCategory::Problem, now))
            return;
        const Work *work = m_dispatcher.findWork(id);
        m_callbacks.log->write(
                LogCategory::Problem, "request-unanswered",
                {{"request", callerRequestId},
                 {"service", work == nullptr ? std::string_view() : work->service.value()},
                 {"since_stop_ms", toMilliseconds(sinceStop(now))}},
                now);
    }
}

void ProxyTask::logCallEnd(const FinishCall &action, TimePoint now)
{
    const CallResult &result = action.result;
    const bool isRoutine
            = result.answer.outcome == Outcome::Completed && result.attempts.value() <= 1;
    const LogCategory category = isRoutine ? LogCategory::Routine : LogCategory::Problem;
    if (!m_callbacks.log->tryAcquire(category, now))
        return;
    const Span &span = result.span;
    m_callbacks.log->write(category, "request-ended",
                           {{"request", callerRequestIdOf(action.request)},
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
    return m_dispatchMetrics.exposition("buckthornford_entry")
           + m_admissionMetrics.exposition("buckthornford_gate")
           + counterText("buckthornford_retries_total", m_dispatcher.retryCount());
}

} // namespace buckthornford
