#include "upstream_stand_in/executor.h"

#include <algorithm>
#include <cmath>

namespace buckthornford {

Executor::Executor(Behaviour behaviour, std::uint64_t seed)
    : m_behaviour(behaviour)
    , m_random(seed)
    , m_startedAt(monotonicNow())
{}

void Executor::handle(ExecutorMessage &&message, TimePoint now)
{
    std::visit([this, now](auto &&kind) { on(std::forward<decltype(kind)>(kind), now); },
               std::move(message));
}

TimePoint Executor::tick(TimePoint now)
{
    constexpr Duration idleInterval = std::chrono::seconds(1);
    while (now >= m_stallEndsAt && !m_running.empty() && m_running.begin()->first <= now) {
        Running running = std::move(m_running.begin()->second);
        m_running.erase(m_running.begin());
        const ExecutionResult result
                = running.willFail ? ExecutionResult::Failed : ExecutionResult::Completed;
        finish(running, result);
    }
    startWaiting(now);
    if (m_running.empty())
        return now + idleInterval;
    return std::max(m_stallEndsAt, m_running.begin()->first);
}

Duration Executor::serviceTime(double costFactor, TimePoint now)
{
    constexpr double microsecondsPerMillisecond = 1000.0;
    constexpr double microsecondsPerSecond = 1e6;
    std::normal_distribution<double> noise(1.0, m_behaviour.spread);
    double time = m_behaviour.meanMs * microsecondsPerMillisecond * costFactor;
    time *= std::clamp(noise(m_random), 0.2, 3.0) * m_behaviour.slowFactor;
    const auto concurrency = static_cast<double>(m_running.size() + 1);
    time *= std::max(1.0, concurrency / m_behaviour.knee);
    const double ageSeconds
            = static_cast<double>((now - m_startedAt).count()) / microsecondsPerSecond;
    if (ageSeconds < m_behaviour.coldSeconds)
        time *= 1.0 + (m_behaviour.coldFactor - 1.0) * (1.0 - ageSeconds / m_behaviour.coldSeconds);
    return Duration{static_cast<Duration::rep>(time)};
}

void Executor::startWaiting(TimePoint now)
{
    while (!m_waiting.empty() && m_running.size() < m_behaviour.slots) {
        Running running{std::move(m_waiting.front()), now, false};
        m_waiting.pop_front();
        running.endsAt = now + serviceTime(running.request.costFactor, now);
        running.willFail
                = std::uniform_real_distribution<double>()(m_random) < m_behaviour.failShare;
        ++m_ledger[running.request.nonce].started;
        ++m_counters.started;
        const TimePoint endsAt = running.endsAt;
        m_running.emplace(endsAt, std::move(running));
    }
}

void Executor::finish(const Running &running, ExecutionResult result)
{
    if (result == ExecutionResult::Cancelled) {
        ++m_counters.cancelled;
    } else {
        ++m_ledger[running.request.nonce].ended;
        ++m_counters.ended;
    }
    running.request.reply->post(result);
}

void Executor::on(ExecutionRequest &&message, TimePoint now)
{
    if (m_running.size() + m_waiting.size() >= m_behaviour.shedAbove) {
        ++m_counters.shed;
        message.reply->post(ExecutionResult::Shed);
        return;
    }
    m_waiting.push_back(std::move(message));
    startWaiting(now);
}

void Executor::on(ExecutionCancelled &&message, TimePoint)
{
    const auto matches = [&](const ExecutionRequest &request) {
        return request.execution == message.execution;
    };
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(), matches);
    if (waiting != m_waiting.end()) {
        ++m_counters.shed;
        waiting->reply->post(ExecutionResult::Shed);
        m_waiting.erase(waiting);
        return;
    }
    const auto running = std::find_if(m_running.begin(), m_running.end(), [&](const auto &entry) {
        return matches(entry.second.request);
    });
    if (running == m_running.end())
        return;
    Running cancelled = std::move(running->second);
    m_running.erase(running);
    finish(cancelled, ExecutionResult::Cancelled);
}

void Executor::on(BehaviourChanged &&message, TimePoint now)
{
    m_behaviour = message.behaviour;
    if (m_behaviour.stallDuration > Duration{0})
        m_stallEndsAt = now + std::exchange(m_behaviour.stallDuration, Duration{0});
}

void Executor::on(LedgerRequest &&message, TimePoint)
{
    message.reply->post(m_ledger);
}

void Executor::on(CountersRequest &&message, TimePoint)
{
    CountersRequest::Counters counters = m_counters;
    counters.running = static_cast<std::uint32_t>(m_running.size());
    counters.waiting = static_cast<std::uint32_t>(m_waiting.size());
    counters.behaviour = m_behaviour;
    message.reply->post(counters);
}

} // namespace buckthornford
