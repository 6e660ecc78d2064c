#include "proxy/proxy_task.h"

#include <utility>

/// The part of ProxyTask that deals with the upstream beside the node: what it runs, how that ends,
/// and what it says of itself.

namespace buckthornford {

void ProxyTask::on(ExecutionEnded &&message, TimePoint now)
{
    if (message.result.load)
        m_gate.setReportedLoad(message.result.load->running + message.result.load->waiting, now);
    if (message.result.end != UpstreamResult::End::ConnectionLost) {
        finishExecution(std::move(message.result), now);
        return;
    }
    // Whether the upstream crashed or only the connection broke is found out before the answer.
    m_awaitingProbe.push_back(std::move(message.result));
    if (m_awaitingProbe.size() == 1)
        m_callbacks.probeUpstream();
}

void ProxyTask::on(UpstreamProbed &&message, TimePoint now)
{
    for (UpstreamResult &result : std::exchange(m_awaitingProbe, {})) {
        result.hasUpstreamCrashed = !message.isReachable;
        finishExecution(std::move(result), now);
    }
}

void ProxyTask::finishExecution(UpstreamResult result, TimePoint now)
{
    const auto running = m_running.find(result.execution);
    if (running != m_running.end()) {
        const Work &work = running->second;
        if (result.hasUpstreamCrashed)
            recordCrash(work, result.upstreamStartId, now);
        else if (result.end == UpstreamResult::End::Answered)
            recordCompletion(work, now);
        const bool isAnswered = result.end == UpstreamResult::End::Answered;
        m_gateMetrics.record(work.className, isAnswered ? Outcome::Completed : Outcome::Unknown,
                             Error::None, result.latency);
        const auto name = m_runningByCallerId.find(
                std::string(m_adapter.callers->callerRequestId(work.headers)));
        if (name != m_runningByCallerId.end() && name->second == result.execution)
            m_runningByCallerId.erase(name);
        m_running.erase(running);
    }
    DispatchActions cancelled;
    const ChainResult chain
            = m_entry.onExecutionEnded(result.execution, now, noWallTime, &cancelled);
    carryOut(std::move(cancelled), now);
    const bool isAbsent = result.end == UpstreamResult::End::NotSent || result.hasUpstreamCrashed;
    carryOut(m_gate.onExecutionEnded(std::move(result), chain, now), now);
    if (isAbsent && m_gate.hasUpstream()) {
        // Its next report brings it back.
        logUpstream("upstream-lost", now);
        carryOut(m_gate.detachUpstream(now), now);
        publishStatus();
    }
}

/// Reports can arrive late: those of an earlier start, or earlier ones of the present start, say
/// nothing any more.
bool ProxyTask::isNewer(const UpstreamAnnouncement &news) const
{
    if (!m_upstream)
        return true;
    if (news.start && m_upstream->start && *news.start != *m_upstream->start)
        return *news.start > *m_upstream->start;
    if (news.id != m_upstream->id)
        return true;
    return news.state == UpstreamAnnouncement::State::Deregistered
           || news.sequence > m_upstream->sequence;
}

void ProxyTask::on(AnnouncementArrived &&message, TimePoint now)
{
    const UpstreamAnnouncement &news = message.announcement;
    if (!isNewer(news))
        return;
    const bool isSame = m_upstream && m_upstream->id == news.id && m_upstream->start == news.start;
    if (news.state == UpstreamAnnouncement::State::Deregistered) {
        if (m_upstream && m_upstream->id == news.id)
            startUpstreamDrain(now);
        return;
    }
    m_upstream = news;
    if (news.state == UpstreamAnnouncement::State::Draining) {
        startUpstreamDrain(now);
        return;
    }
    if (isSame && m_upstreamDrainStart)
        return; // A start that has said that it leaves doesn't come back.
    m_upstreamDrainStart.reset();
    if (!m_stopTime)
        m_gate.stopDraining();
    m_callbacks.upstream(UpstreamChanged{
            {news.id, checksum(news.id + '/' + std::to_string(news.start.value_or(0))),
             news.address}});
    const bool isBack = !m_gate.hasUpstream();
    m_gate.attachUpstream(news.slots, !isSame, now);
    if (!isSame || isBack)
        logUpstream("upstream-serving", now);
    publishStatus();
}

void ProxyTask::startUpstreamDrain(TimePoint now)
{
    if (!m_upstreamDrainStart) {
        m_upstreamDrainStart = now;
        logUpstream("upstream-leaving", now);
    }
    wakeBy(now + m_settings.drainPropagationDelay);
    publishStatus();
}

/// Once the news has spread, new work is refused; what still waits a little later, too.
void ProxyTask::drain(TimePoint now)
{
    const std::optional<TimePoint> since = m_upstreamDrainStart ? m_upstreamDrainStart : m_stopTime;
    if (!since)
        return;
    if (now - *since >= m_settings.drainPropagationDelay)
        m_gate.startDraining();
    if (now - *since >= m_settings.queueDrainTimeout && m_gate.queued() > 0)
        carryOut(m_gate.refuseQueued(Error::TargetLeaving), now);
}

void ProxyTask::carryOut(StartExecution &&action, TimePoint)
{
    m_entry.onExecutionStarted(action.execution, action.run, action.rank, action.deadline);
    m_runningByCallerId.insert_or_assign(
            std::string(m_adapter.callers->callerRequestId(action.run.work.headers)),
            action.execution);
    m_running.insert_or_assign(action.execution, action.run.work);
    m_callbacks.upstream(StartJob{action.execution, std::move(action.run), action.deadline});
}

void ProxyTask::carryOut(CancelExecution &&action, TimePoint)
{
    m_callbacks.upstream(CancelJob{action.execution});
}

void ProxyTask::runLocally(const RunRequest &run, ReplyTo from, TimePoint now)
{
    const Configuration *configuration = m_history.findOrActive(run.revision, noWallTime);
    if (configuration == nullptr) {
        carryOut(Reply{from, makeRefusal(run, Error::NoConfiguration, true)}, now);
        return;
    }
    if (!m_upstream || m_upstream->service != run.work.service) {
        carryOut(Reply{from, makeRefusal(run, Error::UpstreamAbsent, true)}, now);
        return;
    }
    carryOut(m_gate.submit(run, from, configuration->document.activePreset(), now, noWallTime),
             now);
}

MemberState ProxyTask::state() const
{
    if (m_upstreamDrainStart || m_stopTime)
        return MemberState::Leaving;
    return m_gate.hasUpstream() ? MemberState::Serving : MemberState::Joining;
}

void ProxyTask::publishStatus()
{
    NodeStatus condition{state(), {}, {}};
    if (m_upstream) {
        condition.slots = m_upstream->slots;
        condition.service = m_upstream->service;
    }
    if (m_publishedStatus == condition)
        return;
    m_publishedStatus = condition;
    m_callbacks.status(condition);
}

} // namespace buckthornford
