#include "routing/two_choices_p.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace buckthornford {

namespace {

constexpr std::size_t subsetSize = 16; ///< targets of a service that one node uses, per reach
constexpr double stretchWeight = 0.3;  ///< of a new sample
constexpr double maxStretch = 50.0;
constexpr double recoverySeconds = 2.0; ///< time constant with which an unused target recovers
constexpr Duration reportLife = std::chrono::seconds(1);
constexpr Duration loadLife = std::chrono::milliseconds(100);
constexpr Duration minUnreachable = std::chrono::milliseconds(250);
constexpr Duration maxUnreachable = std::chrono::seconds(4);
constexpr double meanWeight = 0.05;
constexpr double spillBurst = 20.0;
constexpr std::uint32_t spillRankLimit = 1; ///< ranks above this one never leave the region
constexpr double microsecondsPerSecond = 1e6;
constexpr std::array reaches{Reach::Zone, Reach::Region, Reach::World};

Reach reachOf(const Target &target, const Place &place)
{
    if (target.zone == place.zone)
        return Reach::Zone;
    return target.region == place.region ? Reach::Region : Reach::World;
}

} // namespace

void OperationLatency::record(Duration latency)
{
    constexpr double upStep = 0.05;
    constexpr double downStep = upStep * 5.0 / 95.0; // balances at the 95th percentile
    const auto sample = static_cast<double>(latency.count());
    if (m_mean == 0.0) {
        m_mean = sample;
        m_slow = 2.0 * sample;
        return;
    }
    m_mean += meanWeight * (std::min(sample, maxStretch * m_mean) - m_mean);
    m_slow *= sample > m_slow ? 1.0 + upStep : 1.0 - downStep;
}

TwoChoicesRouter::TwoChoicesRouter(Place place, std::uint64_t seed)
    : m_place(std::move(place))
    , m_random(seed)
{}

void TwoChoicesRouter::setTargets(const std::vector<Target> &targets, TimePoint)
{
    std::unordered_map<InstanceId, State> states;
    for (const Target &target : targets) {
        const auto old = m_states.find(target.peer.instance);
        State state;
        // A new incarnation starts with a clean sheet.
        if (old != m_states.end() && old->second.target.peer.incarnation == target.peer.incarnation)
            state = std::move(old->second);
        state.target = target;
        state.reach = reachOf(target, m_place);
        states.emplace(target.peer.instance, std::move(state));
    }
    m_states = std::move(states);
    rebuildSubsets();
}

void TwoChoicesRouter::rebuildSubsets()
{
    for (auto &[name, service] : m_services)
        service.subset.clear();
    for (const auto &[id, state] : m_states)
        m_services[state.target.service].subset[state.reach].push_back(id);
    // Each node uses the targets with the highest hash for it, so that loads spread evenly.
    const auto rank = [this](const InstanceId &id) {
        return checksum(m_place.self.value() + "/" + id.value());
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

bool TwoChoicesRouter::knowsService(const ServiceName &service) const
{
    return m_services.contains(service);
}

std::vector<TwoChoicesRouter::State *> TwoChoicesRouter::candidates(const Service &service,
                                                                    Reach reach,
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

/// How much slower than its peers the target is now, by its answers and by its oldest attempt.
double TwoChoicesRouter::stretchNow(const State &state, const Service &service,
                                    const OperationName &operation, TimePoint now) const
{
    const double idle
            = static_cast<double>((now - state.stretchTime).count()) / microsecondsPerSecond;
    const double remembered = 1.0 + (state.stretch - 1.0) * std::exp(-idle / recoverySeconds);
    const auto latency = service.latencies.find(operation);
    if (state.inFlight.empty() || latency == service.latencies.end())
        return remembered;
    const auto waited = static_cast<double>((now - *state.inFlight.begin()).count());
    const double pending = waited / std::max(1.0, latency->second.mean());
    return std::max(remembered, std::min(maxStretch, pending / 2.0));
}

double TwoChoicesRouter::score(const State &state, const Service &service,
                               const OperationName &operation, TimePoint now) const
{
    // What others have sent there is known from its last answer, for a moment.
    auto load = static_cast<double>(state.inFlight.size());
    if (now - state.reportTime < loadLife)
        load = std::max<double>(load, state.report.inFlight + state.report.queued);
    double worse = 1.0;
    if (now - state.reportTime < reportLife && state.report.limit > 0)
        worse += static_cast<double>(state.report.queued) / state.report.limit;
    const double slots = std::max<double>(1.0, state.target.slots.value());
    return stretchNow(state, service, operation, now) * worse * (load + 1.0) / slots;
}

TwoChoicesRouter::State *TwoChoicesRouter::choose(const std::vector<State *> &from,
                                                  const Service &service,
                                                  const OperationName &operation, TimePoint now)
{
    if (from.size() == 1)
        return from.front();
    std::uniform_int_distribution<std::size_t> first(0, from.size() - 1);
    std::uniform_int_distribution<std::size_t> second(0, from.size() - 2);
    State *a = from[first(m_random)];
    const std::size_t skip = second(m_random);
    State *b = from[skip] == a ? from.back() : from[skip];
    return score(*b, service, operation, now) < score(*a, service, operation, now) ? b : a;
}

/// Whether the target's own gate said within the last second that work waits there.
bool TwoChoicesRouter::hasQueue(const State &state, TimePoint now) const
{
    return now - state.reportTime < reportLife && state.report.queued > 0;
}

/// Whether at least as much work waits there as runs.
bool TwoChoicesRouter::isOverloaded(const State &state, TimePoint now) const
{
    return hasQueue(state, now) && state.report.queued >= state.report.limit;
}

bool TwoChoicesRouter::maySpill(Service *service, const PickRequest &request)
{
    if (request.rank.value() > spillRankLimit || service->spillCredit < 1.0)
        return false;
    service->spillCredit -= 1.0;
    return true;
}

/// Where no target is thought reachable, the one whose time out ends first.
TwoChoicesRouter::State *TwoChoicesRouter::lastResort(const Service &service,
                                                      const PickRequest &request)
{
    State *best = nullptr;
    for (const Reach reach : reaches) {
        // At the end of time every target counts as reachable again.
        for (State *state : candidates(service, reach, request, TimePoint::max())) {
            if (best == nullptr || state->unreachableUntil < best->unreachableUntil)
                best = state;
        }
    }
    return best;
}

Result<Pick> TwoChoicesRouter::pick(const PickRequest &request, TimePoint now)
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end())
        return Error::UnknownService;
    Service &service = found->second;
    service.spillCredit = std::min(spillBurst, service.spillCredit + request.spillShare);
    State *fallback = nullptr;
    for (const Reach reach : reaches) {
        const std::vector<State *> near = candidates(service, reach, request, now);
        if (near.empty())
            continue;
        const bool isBilled = reach == Reach::World && fallback != nullptr;
        if (isBilled && (!isOverloaded(*fallback, now) || !maySpill(&service, request)))
            break;
        State *chosen = choose(near, service, request.operation, now);
        const bool isWorse = fallback != nullptr
                             && score(*fallback, service, request.operation, now)
                                        <= score(*chosen, service, request.operation, now);
        if (!isWorse)
            fallback = chosen;
        if (!hasQueue(*fallback, now))
            break;
    }
    if (fallback == nullptr)
        fallback = lastResort(service, request);
    if (fallback == nullptr)
        return Error::NoTarget;
    return Pick{fallback->target.peer, fallback->reach};
}

void TwoChoicesRouter::onSent(const InstanceId &target, TimePoint now)
{
    const auto found = m_states.find(target);
    if (found != m_states.end())
        found->second.inFlight.insert(now);
}

void TwoChoicesRouter::onEnd(const InstanceId &target, const OperationName &operation,
                             Duration latency, bool answered, TimePoint now)
{
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    State &state = found->second;
    const auto sent = state.inFlight.lower_bound(now - latency);
    if (sent != state.inFlight.end())
        state.inFlight.erase(sent);
    else if (!state.inFlight.empty())
        state.inFlight.erase(state.inFlight.begin());
    if (!answered)
        return;
    state.unreachableSpan = Duration{0};
    OperationLatency &typical = m_services[state.target.service].latencies[operation];
    typical.record(latency);
    const double sample = static_cast<double>(latency.count()) / std::max(1.0, typical.mean());
    state.stretch += stretchWeight * (std::min(sample, maxStretch) - state.stretch);
    state.stretchTime = now;
}

void TwoChoicesRouter::onReport(const InstanceId &target, const LoadReport &report, TimePoint now)
{
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    found->second.report = report;
    found->second.reportTime = now;
}

void TwoChoicesRouter::onUnreachable(const InstanceId &target, TimePoint now)
{
    const auto found = m_states.find(target);
    if (found == m_states.end())
        return;
    State &state = found->second;
    state.unreachableSpan = std::clamp(2 * state.unreachableSpan, minUnreachable, maxUnreachable);
    state.unreachableUntil = now + state.unreachableSpan;
}

Duration TwoChoicesRouter::slowLatency(const ServiceName &service,
                                       const OperationName &operation) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return Duration{0};
    const auto latency = found->second.latencies.find(operation);
    return latency == found->second.latencies.end() ? Duration{0} : latency->second.slow();
}

} // namespace buckthornford
