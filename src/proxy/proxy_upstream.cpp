#include "proxy/proxy_task.h"

#include <utility>

/// The part of ProxyTask for the upstream beside the node: executions, announcements and drain.

namespace buckthornford {

void ProxyTask::on(ExecutionEnded &&message, TimePoint now)
{
    if (message.result.load)
        m_admission.setReportedLoad(message.result.load->running + message.result.load->waiting,
                                    now);
    if (message.result.refused.fault != MessageFault::None)
        logRefusedAnswer(message.result, now);
    if (message.result.end != UpstreamResult::End::ConnectionLost) {
        finishExecution(std::move(message.result), now);
        return;
    }
    // A probe first tells whether the upstream has crashed or only the connection has broken; the
    // answer waits for that.
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
    const auto running = m_runningWork.find(result.execution);
    if (running != m_runningWork.end()) {
        const Work &work = running->second;
        if (result.hasUpstreamCrashed)
            recordCrash(work, result.upstreamStartId, now);
        else if (result.end == UpstreamResult::End::Answered)
            recordCompletion(work, now);
        const bool isAnswered = result.end == UpstreamResult::End::Answered;
        m_admissionMetrics.record(work.className,
                                  isAnswered ? Outcome::Completed : Outcome::Unknown, Error::None,
                                  result.latency);
        const auto name = m_runningByCallerRequestId.find(
                std::string(m_adapter.callers->callerRequestId(work.headers)));
        if (name != m_runningByCallerRequestId.end() && name->second == result.execution)
            m_runningByCallerRequestId.erase(name);
        m_runningWork.erase(running);
    }
    DispatchActions cancelled;
    const ChainResult chain
            = m_dispatcher.onExecutionEnded(result.execution, now, unusedWallTime, &cancelled);
    carryOut(std::move(cancelled), now);
    const bool isAbsent = result.end == UpstreamResult::End::NotSent || result.hasUpstreamCrashed;
    carryOut(m_admission.onExecutionEnded(std::move(result), chain, now), now);
    if (isAbsent && m_admission.hasUpstream()) {
        // The upstream is attached again with its next announcement.
        logUpstreamEvent("upstream-lost", now);
        carryOut(m_admission.detachUpstream(now), now);
        publishStatus();
    }
}

/// Returns whether \a announcement is newer than the last one used. Announcements can arrive late:
/// those of an earlier start, earlier ones of the same start, and those of an upstream that has
/// left meanwhile are outdated.
bool ProxyTask::isNewer(const UpstreamAnnouncement &announcement, TimePoint now) const
{
    const UpstreamStart start{announcement.start.value_or(0)};
    const bool isLeaving = announcement.state != UpstreamAnnouncement::State::Serving;
    const bool tellsStart = announcement.start || !isLeaving;
    if (tellsStart && m_departure && m_departure->covers(announcement.id, start))
        return isLeaving && m_departure->start == start;
    if (!isLeaving && m_unknownStartDeparture
        && m_unknownStartDeparture->upstream == announcement.id
        && now < m_unknownStartDeparture->until)
        return false;
    if (!m_upstream)
        return true;
    if (announcement.start && m_upstream->start && *announcement.start != *m_upstream->start)
        return *announcement.start > *m_upstream->start;
    if (announcement.id != m_upstream->id)
        return true;
    // A sequence may be another writer's: it decides only between reports that change little.
    if (isLeaving || !m_admission.hasUpstream())
        return true;
    return !contradictsUpstream(announcement) && announcement.sequence > m_upstream->sequence;
}

/// Returns whether \a announcement, of the same start of the upstream, is another writer's: within
/// one start neither the service nor the address changes. If the upstream in use isn't of the
/// service that the settings name, the report may be right.
bool ProxyTask::contradictsUpstream(const UpstreamAnnouncement &announcement) const
{
    if (announcement.service != m_upstream->service)
        return announcement.service != m_settings.callerService;
    return announcement.address != m_upstream->address;
}

void ProxyTask::on(AnnouncementArrived &&message, TimePoint now)
{
    const UpstreamAnnouncement &announcement = message.announcement;
    if (!isNewer(announcement, now)) {
        logOutdated(announcement, now);
        m_callbacks.acknowledge(message.request);
        return;
    }
    if (announcement.state == UpstreamAnnouncement::State::Serving) {
        m_callbacks.acknowledge(message.request);
        if (m_departureReadDeadline)
            m_heldAnnouncements.push_back(announcement);
        else
            useUpstream(announcement, now);
        return;
    }
    const bool isKnown = m_upstream && m_upstream->id == announcement.id
                         && m_upstream->start == announcement.start;
    if (announcement.state == UpstreamAnnouncement::State::Draining && !isKnown)
        m_upstream = announcement;
    const std::optional<UpstreamStart> start = startThatLeaves(announcement);
    if (!start) {
        m_unknownStartDeparture = {announcement.id, now + m_settings.lateAnnouncementLimit};
        logDeparture({announcement.id, UpstreamStart{}}, "unknown-start", now);
        m_callbacks.acknowledge(message.request);
        return;
    }
    recordDeparture({announcement.id, *start}, now);
    startUpstreamDrain(now);
    acknowledgeDeparture(message.request);
}

/// Returns which start of its upstream \a announcement takes out of service; nothing if it doesn't
/// tell and this node has not heard of that upstream.
std::optional<UpstreamStart>
ProxyTask::startThatLeaves(const UpstreamAnnouncement &announcement) const
{
    if (announcement.start)
        return UpstreamStart{*announcement.start};
    if (m_upstream && m_upstream->id == announcement.id)
        return UpstreamStart{m_upstream->start.value_or(0)};
    std::optional<UpstreamStart> newest;
    for (const UpstreamAnnouncement &held : m_heldAnnouncements) {
        const UpstreamStart start{held.start.value_or(0)};
        if (held.id == announcement.id && (!newest || *newest < start))
            newest = start;
    }
    return newest;
}

void ProxyTask::useUpstream(const UpstreamAnnouncement &announcement, TimePoint now)
{
    const bool isSame = m_upstream && m_upstream->id == announcement.id
                        && m_upstream->start == announcement.start;
    m_upstream = announcement;
    m_upstreamDrainStart.reset();
    if (!m_stop)
        m_admission.stopDraining();
    m_callbacks.upstream(UpstreamChanged{
            {announcement.id,
             checksum(announcement.id + '/' + std::to_string(announcement.start.value_or(0))),
             announcement.address}});
    const bool wasDetached = !m_admission.hasUpstream();
    m_admission.attachUpstream(announcement.slots, !isSame, now);
    if (!isSame || wasDetached)
        logUpstreamEvent("upstream-serving", now);
    publishStatus();
}

void ProxyTask::startUpstreamDrain(TimePoint now)
{
    if (!m_upstreamDrainStart) {
        m_upstreamDrainStart = now;
        logUpstreamEvent("upstream-leaving", now);
    }
    wakeBy(now + m_settings.drainPropagationDelay);
    publishStatus();
}

/// Does the due steps of a drain, which starts when the upstream leaves or the process stops:
/// refuses new runs once other nodes know of the drain, and queued ones after the queue's drain
/// timeout.
void ProxyTask::advanceDrain(TimePoint now)
{
    if (!m_upstreamDrainStart && !m_stop)
        return;
    const TimePoint drainStart
            = m_upstreamDrainStart.value_or(m_stop ? m_stop->signalTime() : TimePoint::max());
    if (now - drainStart >= m_settings.drainPropagationDelay)
        m_admission.startDraining();
    if (now - drainStart >= m_settings.queueDrainTimeout && m_admission.queued() > 0)
        carryOut(m_admission.refuseQueued(Error::TargetLeaving), now);
}

void ProxyTask::carryOut(StartExecution &&action, TimePoint)
{
    m_dispatcher.onExecutionStarted(action.execution, action.run, action.rank, action.deadline);
    m_runningByCallerRequestId.insert_or_assign(
            std::string(m_adapter.callers->callerRequestId(action.run.work.headers)),
            action.execution);
    m_runningWork.insert_or_assign(action.execution, action.run.work);
    m_callbacks.upstream(StartJob{action.execution, std::move(action.run), action.deadline});
}

void ProxyTask::carryOut(CancelExecution &&action, TimePoint)
{
    m_callbacks.upstream(CancelJob{action.execution});
}

void ProxyTask::runLocally(const RunRequest &run, ReplyTo from, TimePoint now)
{
    const Configuration *configuration = m_history.findOrActive(run.revision, unusedWallTime);
    if (configuration == nullptr) {
        carryOut(Reply{from, makeRefusal(run, Error::NoConfiguration, true)}, now);
        return;
    }
    if (!m_upstream || m_upstream->service != run.work.service) {
        carryOut(Reply{from, makeRefusal(run, Error::UpstreamAbsent, true)}, now);
        return;
    }
    // Another target may give the run its whole time, and a refusal costs the dispatcher nothing.
    if (m_stop && !m_stop->hasTimeFor(Duration{0}, run.timeLeft, now)) {
        carryOut(Reply{from, makeRefusal(run, Error::TargetLeaving, true)}, now);
        return;
    }
    carryOut(m_admission.submit(run, from, configuration->document.activePreset(), now,
                                unusedWallTime),
             now);
}

MemberState ProxyTask::state() const
{
    if (m_upstreamDrainStart || m_stop)
        return MemberState::Leaving;
    return m_admission.hasUpstream() ? MemberState::Serving : MemberState::Joining;
}

void ProxyTask::publishStatus()
{
    NodeStatus status{state(), {}, {}, m_departure};
    if (m_upstream) {
        status.slots = m_upstream->slots;
        status.service = m_upstream->service;
    }
    if (m_publishedStatus == status)
        return;
    m_publishedStatus = status;
    m_callbacks.status(status);
}

} // namespace buckthornford
