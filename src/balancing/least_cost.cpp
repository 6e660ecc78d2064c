#include "balancing/least_cost_p.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace buckthornford {

namespace {

/// Surcharge in microseconds for each Reach: what traffic between zones and between regions costs
/// the operator, as the delay that a caller would bear for it.
constexpr std::array<double, 3> reachSurcharge{0.0, 5'000.0, 60'000.0};
/// Round trip in microseconds that is assumed until one is measured, for each Reach.
constexpr std::array<double, 3> assumedDelay{500.0, 1'500.0, 40'000.0};
constexpr double assumedWork = 30'000.0;   ///< microseconds, for an operation not seen yet
constexpr double busyLoad = 0.75;          ///< of the slots; below it nothing waits
constexpr double failureDelay = 600'000.0; ///< microseconds that a failed attempt costs a caller
constexpr double toleratedFailures = 0.02; ///< share that all targets of a service have
constexpr Duration reportLife = std::chrono::milliseconds(300);
constexpr std::size_t sampleSize = 3; ///< targets compared in each reach

} // namespace

/// Work in progress and waiting there, relative to what the target can do at once.
double LeastCostBalancer::load(const State &state, TimePoint now) const
{
    auto work = static_cast<double>(state.inFlight.size());
    double slots = std::max<double>(1.0, state.target.slots.value());
    if (now - state.reportTime < reportLife) {
        work = std::max<double>(work, state.report.inFlight + state.report.queued);
        if (state.report.limit > 0)
            slots = std::min<double>(slots, state.report.limit);
    }
    return (work + 1.0) / slots;
}

double LeastCostBalancer::cost(const State &state, const Service &service,
                               const PickRequest &request, TimePoint now) const
{
    const auto reach = static_cast<std::size_t>(state.proximity);
    const auto latency = service.latencies.find(request.operation);
    const bool isKnown = latency != service.latencies.end() && latency->second.mean() > 0.0;
    const double work
            = (isKnown ? latency->second.mean() : assumedWork)
              * (needsProbe(state, now) ? 1.0 : stretchNow(state, service, request.operation, now));
    const double used = load(state, now);
    // Up to busyLoad work doesn't wait; at a full target about one more service time.
    const double congestion = std::max(0.0, used - busyLoad) / (1.0 - busyLoad);
    const double delay = state.networkDelay > 0.0 ? state.networkDelay : assumedDelay[reach];
    const double failures = needsProbe(state, now)
                                    ? 0.0
                                    : std::max(0.0, failuresNow(state, now) - toleratedFailures);
    return work * (1.0 + congestion) + used * work / 4.0 + delay + reachSurcharge[reach]
           + failures * failureDelay;
}

void LeastCostBalancer::consider(const std::vector<State *> &from, const Service &service,
                                 const PickRequest &request, TimePoint now, Choice *best)
{
    std::vector<State *> sample;
    std::sample(from.begin(), from.end(), std::back_inserter(sample), sampleSize, m_random);
    for (State *state : sample) {
        const double here = cost(*state, service, request, now);
        if (best->state == nullptr || here < best->cost)
            *best = {state, here};
    }
}

Result<Pick> LeastCostBalancer::pick(const PickRequest &request, TimePoint now)
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end())
        return Error::UnknownService;
    const Service &service = found->second;
    Choice best;
    for (const Proximity reach : proximities)
        consider(candidates(service, reach, request, now), service, request, now, &best);
    if (best.state == nullptr)
        best.state = lastResort(service, request);
    if (best.state == nullptr)
        return Error::NoTarget;
    return Pick{best.state->target.peer, best.state->proximity};
}

} // namespace buckthornford
