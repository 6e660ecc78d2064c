#include "balancing/measuring_p.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace buckthornford {

namespace {

/// Targets of a service that one node uses at each proximity.
constexpr std::size_t maxSubsetSize = 16;
// Weights of a new sample in the moving averages.
constexpr double slowdownWeight = 0.3;
constexpr double roundTripWeight = 0.1;
constexpr double failureWeight = 0.05;
/// Cap of latency samples, relative to the mean latency of the operation.
constexpr double maxSlowdown = 50.0;
constexpr double recoverySeconds = 2.0; ///< time constant of the recovery of an unused target
/// How long an unreachable target is excluded; doubles from the shortest to the longest.
constexpr Duration minUnreachableBackoff = std::chrono::milliseconds(250);
constexpr Duration maxUnreachableBackoff = std::chrono::seconds(4);
/// Time without a result after which a target gets one request as a probe.
constexpr Duration probeInterval = std::chrono::milliseconds(800);
/// Weight of a new sample in the mean latency of an operation.
constexpr double meanWeight = 0.05;

Proximity proximityOf(const Target &target, const NodeLocation &location)
{
    if (target.zone == location.zone)
        return Proximity::SameZone;
    return target.region == location.region ? Proximity::SameRegion : Proximity::OtherRegion;
}

} // namespace

void OperationLatency::record(Duration latency)
{
    constexpr double upStep = 0.05;
    constexpr double downStep = upStep * 5.0 / 95.0; // 5 % of steps up balance 95 % of steps down
    const auto sample = static_cast<double>(latency.count());
    if (m_mean == 0.0) {
        m_mean = sample;
        m_p95 = 2.0 * sample;
        return;
    }
    m_mean += meanWeight * (std::min(sample, maxSlowdown * m_mean) - m_mean);
    m_p95 *= sample > m_p95 ? 1.0 + upStep : 1.0 - downStep;
}

MeasuringBalancer::MeasuringBalancer(NodeLocation location, std::uint64_t seed)
    : m_location(std::move(location))
    , m_random(seed)
{}

void MeasuringBalancer::setTargets(const std::vector<Target> &targets, TimePoint now)
{
    std::unordered_map<InstanceId, TargetState> states;
    for (const Target &target : targets) {
        const auto old = m_states.find(target.peer.instance);
        TargetState state;
        // A new incarnation starts without measurements.
        if (old != m_states.end() && old->second.target.peer.incarnation == target.peer.incarnation)
            state = std::move(old->second);
        else
            state.knownSince = now;
        state.target = target;
        state.proximity = proximityOf(target, m_location);
        states.emplace(target.peer.instance, std::move(state));
    }
    m_states = std::move(states);
    rebuildSubsets();
}

void MeasuringBalancer::rebuildSubsets()
{
    for (auto &[name, service] : m_services)
        service.subsets.clear();
    for (const auto &[id, state] : m_states)
        m_services[state.target.service].subsets[state.proximity].push_back(id);
    // Rendezvous hashing: each node uses the targets with the highest hash of node and target, so
    // that the load of all nodes spreads evenly.
    const auto rank = [this](const InstanceId &id) {
        return checksum(m_location.instance.value() + "/" + id.value());
    };
    for (auto &[name, service] : m_services) {
        for (auto &[proximity, ids] : service.subsets) {
            std::sort(ids.begin(), ids.end(), [&rank](const auto &a, const auto &b) {
                return std::pair(rank(a), a) > std::pair(rank(b), b);
            });
            ids.resize(std::min(ids.size(), maxSubsetSize));
        }
    }
}

bool MeasuringBalancer::knowsService(const ServiceName &service) const
{
    return m_services.contains(service);
}

std::vector<MeasuringBalancer::TargetState *>
MeasuringBalancer::candidates(const ServiceState &service, Proximity proximity,
                              const PickRequest &request, TimePoint now)
{
    std::vector<TargetState *> found;
    const auto ids = service.subsets.find(proximity);
    if (ids == service.subsets.end())
        return found;
    for (const InstanceId &id : ids->second) {
        TargetState &state = m_states.at(id);
        const bool isExcluded = std::find(request.exclude.begin(), request.exclude.end(), id)
                                != request.exclude.end();
        const bool isLastResort = now == TimePoint::max();
        const bool isUsable = state.unreachableUntil <= now && !state.target.suspected;
        if (!isExcluded && (isUsable || isLastResort))
            found.push_back(&state);
    }
    return found;
}

double MeasuringBalancer::decayedSlowdown(const TargetState &state, TimePoint now)
{
    const double idle = std::chrono::duration<double>(now - state.slowdownTime).count();
    return 1.0 + (state.slowdown - 1.0) * std::exp(-idle / recoverySeconds);
}

double MeasuringBalancer::currentSlowdown(const TargetState &state, const ServiceState &service,
                                          const OperationName &operation, TimePoint now) const
{
    const double decayed = decayedSlowdown(state, now);
    const auto latency = service.latencies.find(operation);
    if (state.inFlight.empty() || latency == service.latencies.end())
        return decayed;
    // An attempt in flight counts once it has waited for more than twice the mean latency.
    const auto waited = static_cast<double>((now - *state.inFlight.begin()).count());
    const double relativeWait = waited / std::max(1.0, latency->second.mean());
    return std::max(decayed, std::min(maxSlowdown, relativeWait / 2.0));
}

MeasuringBalancer::TargetState *MeasuringBalancer::pickLastResort(const ServiceState &service,
                                                                  const PickRequest &request)
{
    TargetState *best = nullptr;
    for (const Proximity proximity : proximities) {
        // TimePoint::max() includes the unreachable and the suspected targets.
        for (TargetState *state : candidates(service, proximity, request, TimePoint::max())) {
            if (best == nullptr || state->unreachableUntil < best->unreachableUntil)
                best = state;
        }
    }
    return best;
}

void MeasuringBalancer::onAttemptSent(const InstanceId &target, TimePoint now)
{
    const auto found = m_states.find(target);
    if (found != m_states.end())
        found->second.inFlight.insert(now);
}

double MeasuringBalancer::currentFailureShare(const TargetState &state, TimePoint now) const
{
    const double idle = std::chrono::duration<double>(now - state.lastResultTime).count();
    return state.failureShare * std::exp(-idle / recoverySeconds);
}

bool MeasuringBalancer::needsProbe(const TargetState &state, TimePoint now) const
{
    return state.inFlight.empty() && now - state.lastResultTime > probeInterval;
}

void MeasuringBalancer::updateFailureShare(TargetState *state, bool hasFailed, TimePoint now)
{
    const double decayed = currentFailureShare(*state, now);
    state->failureShare = decayed + failureWeight * ((hasFailed ? 1.0 : 0.0) - decayed);
    state->lastResultTime = now;
}

void MeasuringBalancer::onAttemptEnded(const InstanceId &target, const AttemptResult &result,
                                       TimePoint now)
{
    using End = AttemptResult::End;
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    TargetState &state = found->second;
    const auto attempt = state.inFlight.find(result.sent);
    if (attempt != state.inFlight.end())
        state.inFlight.erase(attempt);
    if (result.end == End::Refused || result.end == End::Cancelled)
        return;
    updateFailureShare(&state, result.end != End::Succeeded, now);
    if (result.end == End::Failed)
        return;
    if (result.end == End::Succeeded)
        state.unreachableBackoff = Duration{0};
    const bool hasServiceTime = result.serviceTime > Duration{0};
    const Duration duration = hasServiceTime ? result.serviceTime : result.latency;
    OperationLatency &operationLatency
            = m_services[state.target.service].latencies[result.operation];
    if (result.end == End::Succeeded)
        operationLatency.record(duration);
    if (hasServiceTime) {
        const auto roundTrip = static_cast<double>((result.latency - result.serviceTime).count());
        state.networkRoundTrip += (state.networkRoundTrip == 0.0 ? 1.0 : roundTripWeight)
                                  * (roundTrip - state.networkRoundTrip);
    }
    const double relativeSample
            = static_cast<double>(duration.count()) / std::max(1.0, operationLatency.mean());
    const double decayed = decayedSlowdown(state, now);
    state.slowdown = decayed + slowdownWeight * (std::min(relativeSample, maxSlowdown) - decayed);
    state.slowdownTime = now;
}

void MeasuringBalancer::onLoadReport(const InstanceId &target, const LoadReport &report,
                                     TimePoint now)
{
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    found->second.loadReport = report;
    found->second.loadReportTime = now;
}

void MeasuringBalancer::onUnreachable(const InstanceId &target, TimePoint now)
{
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    TargetState &state = found->second;
    state.unreachableBackoff = std::clamp(2 * state.unreachableBackoff, minUnreachableBackoff,
                                          maxUnreachableBackoff);
    state.unreachableUntil = now + state.unreachableBackoff;
}

Duration MeasuringBalancer::p95Latency(const ServiceName &service,
                                       const OperationName &operation) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return Duration{0};
    const auto latency = found->second.latencies.find(operation);
    return latency == found->second.latencies.end() ? Duration{0} : latency->second.p95();
}

} // namespace buckthornford
