#include "balancing/measuring_p.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace buckthornford {

namespace {

constexpr std::size_t subsetSize = 16; ///< targets of a service that one node uses, per reach
constexpr double stretchWeight = 0.3;  ///< of a new sample
constexpr double delayWeight = 0.1;    ///< of a new sample
constexpr double failureWeight = 0.05; ///< of a new sample
constexpr double maxStretch = 50.0;
constexpr double recoverySeconds = 2.0; ///< time constant with which an unused target recovers
constexpr Duration minUnreachable = std::chrono::milliseconds(250);
constexpr Duration maxUnreachable = std::chrono::seconds(4);
constexpr Duration probeInterval = std::chrono::milliseconds(800);
constexpr double meanWeight = 0.05;

Proximity reachOf(const Target &target, const NodeLocation &place)
{
    if (target.zone == place.zone)
        return Proximity::SameZone;
    return target.region == place.region ? Proximity::SameRegion : Proximity::OtherRegion;
}

} // namespace

void OperationLatency::record(Duration latency)
{
    constexpr double upStep = 0.05;
    constexpr double downStep = upStep * 5.0 / 95.0; // balances at the 95th percentile
    const auto sample = static_cast<double>(latency.count());
    if (m_mean == 0.0) {
        m_mean = sample;
        m_p95 = 2.0 * sample;
        return;
    }
    m_mean += meanWeight * (std::min(sample, maxStretch * m_mean) - m_mean);
    m_p95 *= sample > m_p95 ? 1.0 + upStep : 1.0 - downStep;
}

MeasuringBalancer::MeasuringBalancer(NodeLocation place, std::uint64_t seed)
    : m_place(std::move(place))
    , m_random(seed)
{}

void MeasuringBalancer::setTargets(const std::vector<Target> &targets, TimePoint now)
{
    std::unordered_map<InstanceId, State> states;
    for (const Target &target : targets) {
        const auto old = m_states.find(target.peer.instance);
        State state;
        // A new incarnation starts with a clean sheet.
        if (old != m_states.end() && old->second.target.peer.incarnation == target.peer.incarnation)
            state = std::move(old->second);
        else
            state.knownSince = now;
        state.target = target;
        state.proximity = reachOf(target, m_place);
        states.emplace(target.peer.instance, std::move(state));
    }
    m_states = std::move(states);
    rebuildSubsets();
}

void MeasuringBalancer::rebuildSubsets()
{
    for (auto &[name, service] : m_services)
        service.subset.clear();
    for (const auto &[id, state] : m_states)
        m_services[state.target.service].subset[state.proximity].push_back(id);
    // Each node uses the targets with the highest hash for it, so that loads spread evenly.
    const auto rank = [this](const InstanceId &id) {
        return checksum(m_place.instance.value() + "/" + id.value());
    };
    for (auto &[name, service] : m_services) {
        for (auto &[reach, ids] : service.subset) {
            std::sort(ids.begin(), ids.end(), [&rank](const auto &a, const auto &b) {
                return std::pair(rank(a), a) > std::pair(rank(b), b);
            });
            ids.resize(std::min(ids.size(), subsetSize));
        }
    }
}

bool MeasuringBalancer::knowsService(const ServiceName &service) const
{
    return m_services.contains(service);
}

std::vector<MeasuringBalancer::State *> MeasuringBalancer::candidates(const Service &service,
                                                                      Proximity reach,
                                                                      const PickRequest &request,
                                                                      TimePoint now)
{
    std::vector<State *> found;
    const auto ids = service.subset.find(reach);
    if (ids == service.subset.end())
        return found;
    for (const InstanceId &id : ids->second) {
        State &state = m_states.at(id);
        const bool isExcluded = std::find(request.exclude.begin(), request.exclude.end(), id)
                                != request.exclude.end();
        const bool isLastResort = now == TimePoint::max();
        const bool isUsable = state.unreachableUntil <= now && !state.target.suspected;
        if (!isExcluded && (isUsable || isLastResort))
            found.push_back(&state);
    }
    return found;
}

/// What is left of the last known stretch: an unused target is expected to recover.
double MeasuringBalancer::rememberedStretch(const State &state, TimePoint now)
{
    const double idle = std::chrono::duration<double>(now - state.stretchTime).count();
    return 1.0 + (state.stretch - 1.0) * std::exp(-idle / recoverySeconds);
}

double MeasuringBalancer::stretchNow(const State &state, const Service &service,
                                     const OperationName &operation, TimePoint now) const
{
    const double remembered = rememberedStretch(state, now);
    const auto latency = service.latencies.find(operation);
    if (state.inFlight.empty() || latency == service.latencies.end())
        return remembered;
    const auto waited = static_cast<double>((now - *state.inFlight.begin()).count());
    const double pending = waited / std::max(1.0, latency->second.mean());
    return std::max(remembered, std::min(maxStretch, pending / 2.0));
}

MeasuringBalancer::State *MeasuringBalancer::lastResort(const Service &service,
                                                        const PickRequest &request)
{
    State *best = nullptr;
    for (const Proximity reach : proximities) {
        // At the end of time every target counts as reachable again.
        for (State *state : candidates(service, reach, request, TimePoint::max())) {
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

double MeasuringBalancer::failuresNow(const State &state, TimePoint now) const
{
    const double idle = std::chrono::duration<double>(now - state.lastEnd).count();
    return state.failureShare * std::exp(-idle / recoverySeconds);
}

bool MeasuringBalancer::needsProbe(const State &state, TimePoint now) const
{
    return state.inFlight.empty() && now - state.lastEnd > probeInterval;
}

void MeasuringBalancer::noteFailure(State *state, bool hasFailed, TimePoint now)
{
    const double remembered = failuresNow(*state, now);
    state->failureShare = remembered + failureWeight * ((hasFailed ? 1.0 : 0.0) - remembered);
    state->lastEnd = now;
}

void MeasuringBalancer::onAttemptEnded(const InstanceId &target, const AttemptResult &report,
                                       TimePoint now)
{
    using End = AttemptResult::End;
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    State &state = found->second;
    const auto sent = state.inFlight.find(report.sent);
    if (sent != state.inFlight.end())
        state.inFlight.erase(sent);
    if (report.end == End::Refused || report.end == End::Cancelled)
        return;
    noteFailure(&state, report.end != End::Succeeded, now);
    if (report.end == End::Failed)
        return;
    if (report.end == End::Succeeded)
        state.unreachableSpan = Duration{0};
    const bool isMeasured = report.serviceTime > Duration{0};
    const Duration spent = isMeasured ? report.serviceTime : report.latency;
    OperationLatency &typical = m_services[state.target.service].latencies[report.operation];
    if (report.end == End::Succeeded)
        typical.record(spent);
    if (isMeasured) {
        const auto delay = static_cast<double>((report.latency - report.serviceTime).count());
        state.networkDelay
                += (state.networkDelay == 0.0 ? 1.0 : delayWeight) * (delay - state.networkDelay);
    }
    const double sample = static_cast<double>(spent.count()) / std::max(1.0, typical.mean());
    const double remembered = rememberedStretch(state, now);
    state.stretch = remembered + stretchWeight * (std::min(sample, maxStretch) - remembered);
    state.stretchTime = now;
}

void MeasuringBalancer::onLoadReport(const InstanceId &target, const LoadReport &report,
                                     TimePoint now)
{
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    found->second.report = report;
    found->second.reportTime = now;
}

void MeasuringBalancer::onUnreachable(const InstanceId &target, TimePoint now)
{
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    State &state = found->second;
    state.unreachableSpan = std::clamp(2 * state.unreachableSpan, minUnreachable, maxUnreachable);
    state.unreachableUntil = now + state.unreachableSpan;
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
