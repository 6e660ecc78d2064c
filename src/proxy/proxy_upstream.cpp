#include "proxy/proxy_task.h"

#include <utility>

/// The part of ProxyTask that deals with the upstream beside the node: what it runs, how that ends,
/// and what it says of itself.

namespace buckthornford {

void ProxyTask::on(ExecutionEnded &&message, TimePoint now)
{
    if (message.result.load)
        m_gate.reportLoad(message.result.load->running + message.result.load->waiting, now);
    if (message.result.end != UpstreamResult::End::Lost) {
        finishExecution(std::move(message.result), now);
        return;
    }
    // Whether the upstream crashed or only the connection broke is found out before the answer.
    m_lost.push_back(std::move(message.result));
    if (m_lost.size() == 1)
        m_outputs.probeUpstream();
}

void ProxyTask::on(UpstreamProbed &&message, TimePoint now)
{
    for (UpstreamResult &result : std::exchange(m_lost, {})) {
        result.hasCrashed = !message.isReachable;
        finishExecution(std::move(result), now);
    }
}

void ProxyTask::finishExecution(UpstreamResult result, TimePoint now)
{
    const auto running = m_running.find(result.execution);
    if (running != m_running.end()) {
        const Work &work = running->second;
        if (result.hasCrashed)
            noteStrikes(work, result.upstreamStart, now);
        else if (result.end == UpstreamResult::End::Answered)
            noteCompletion(work, now);
        const bool isAnswered = result.end == UpstreamResult::End::Answered;
        m_gateMetrics.record(work.className, isAnswered ? Outcome::Completed : Outcome::Unknown,
                             Error::None, result.latency);
        const auto name = m_runningNames.find(std::string(m_adapter.callers->nameOf(work.headers)));
        if (name != m_runningNames.end() && name->second == result.execution)
            m_runningNames.erase(name);
        m_running.erase(running);
    }
    EntryActions cancelled;
    const ChainResult chain = m_entry.endExecution(result.execution, now, noWallTime, &cancelled);
    carryOut(std::move(cancelled), now);
    const bool isAbsent = result.end == UpstreamResult::End::NotSent || result.hasCrashed;
    carryOut(m_gate.finish(std::move(result), chain, now), now);
    if (isAbsent && m_gate.hasUpstream()) {
        // Its next report brings it back.
        logUpstream("upstream-lost", now);
        carryOut(m_gate.withdraw(now), now);
        tellCondition();
    }
}

/// Reports can arrive late: those of an earlier start, or earlier ones of the present start, say
/// nothing any more.
bool ProxyTask::isNews(const UpstreamNews &news) const
{
    if (!m_upstream)
        return true;
    if (news.start && m_upstream->start && *news.start != *m_upstream->start)
        return *news.start > *m_upstream->start;
    if (news.id != m_upstream->id)
        return true;
    return news.state == UpstreamNews::State::Gone || news.sequence > m_upstream->sequence;
}

void ProxyTask::on(UpstreamReported &&message, TimePoint now)
{
    const UpstreamNews &news = message.news;
    if (!isNews(news))
        return;
    const bool isSame = m_upstream && m_upstream->id == news.id && m_upstream->start == news.start;
    if (news.state == UpstreamNews::State::Gone) {
        if (m_upstream && m_upstream->id == news.id)
            leave(now);
        return;
    }
    m_upstream = news;
    if (news.state == UpstreamNews::State::Leaving) {
        leave(now);
        return;
    }
    if (isSame && m_leaveTime)
        return; // A start that has said that it leaves doesn't come back.
    m_leaveTime.reset();
    if (!m_stopTime)
        m_gate.stopDraining();
    m_outputs.upstream(UpstreamChanged{
            {news.id, checksum(news.id + '/' + std::to_string(news.start.value_or(0))),
             news.address}});
    const bool isBack = !m_gate.hasUpstream();
    m_gate.announce(news.slots, !isSame, now);
    if (!isSame || isBack)
        logUpstream("upstream-serving", now);
    tellCondition();
}

void ProxyTask::leave(TimePoint now)
{
    if (!m_leaveTime) {
        m_leaveTime = now;
        logUpstream("upstream-leaving", now);
    }
    wakeBy(now + m_settings.drainSpread);
    tellCondition();
}

/// Once the news has spread, new work is refused; what still waits a little later, too.
void ProxyTask::drain(TimePoint now)
{
    const std::optional<TimePoint> since = m_leaveTime ? m_leaveTime : m_stopTime;
    if (!since)
        return;
    if (now - *since >= m_settings.drainSpread)
        m_gate.startDraining();
    if (now - *since >= m_settings.drainLimit && m_gate.queued() > 0)
        carryOut(m_gate.refuseWaiting(Error::TargetLeaving), now);
}

void ProxyTask::carryOut(StartExecution &&action, TimePoint)
{
    m_entry.beginExecution(action.execution, action.run, action.rank, action.deadline);
    m_runningNames.insert_or_assign(std::string(m_adapter.callers->nameOf(action.run.work.headers)),
                                    action.execution);
    m_running.insert_or_assign(action.execution, action.run.work);
    m_outputs.upstream(StartJob{action.execution, std::move(action.run), action.deadline});
}

void ProxyTask::carryOut(CancelExecution &&action, TimePoint)
{
    m_outputs.upstream(CancelJob{action.execution});
}

void ProxyTask::runHere(const Run &run, ReplyTo from, TimePoint now)
{
    const Configuration *configuration = m_history.at(run.revision, noWallTime);
    if (configuration == nullptr) {
        carryOut(Reply{from, refusal(run, Error::NoConfiguration, true)}, now);
        return;
    }
    if (!m_upstream || m_upstream->service != run.work.service) {
        carryOut(Reply{from, refusal(run, Error::UpstreamAbsent, true)}, now);
        return;
    }
    carryOut(m_gate.run(run, from, configuration->document.presetInForce(), now, noWallTime), now);
}

MemberState ProxyTask::state() const
{
    if (m_leaveTime || m_stopTime)
        return MemberState::Leaving;
    return m_gate.hasUpstream() ? MemberState::Serving : MemberState::Joining;
}

void ProxyTask::tellCondition()
{
    NodeCondition condition{state(), {}, {}};
    if (m_upstream) {
        condition.slots = m_upstream->slots;
        condition.service = m_upstream->service;
    }
    if (m_told == condition)
        return;
    m_told = condition;
    m_outputs.condition(condition);
}

} // namespace buckthornford
