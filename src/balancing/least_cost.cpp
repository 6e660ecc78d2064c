#include "balancing/least_cost_p.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace buckthornford {

namespace {

/// Penalty in microseconds, by Proximity: what traffic between zones and between regions costs the
/// operator, expressed as the extra latency that a caller would accept to avoid it.
constexpr std::array<double, 3> proximityPenalty{0.0, 5'000.0, 60'000.0};
/// Network round trip in microseconds, by Proximity, that is assumed until one is measured.
constexpr std::array<double, 3> assumedRoundTrip{500.0, 1'500.0, 40'000.0};
constexpr double assumedServiceTime = 30'000.0; ///< microseconds, until one is measured
constexpr double queueFreeUtilization = 0.75;   ///< share of the slots; below it nothing waits
/// Microseconds that a failed attempt costs the caller.
constexpr double failurePenalty = 600'000.0;
constexpr double usualFailureShare = 0.02; ///< share of failures that every target of a service has
constexpr Duration loadReportLifetime = std::chrono::milliseconds(300);
constexpr std::size_t sampleSizePerProximity = 3; ///< targets compared at each proximity

} // namespace

double LeastCostBalancer::utilization(const TargetState &state, TimePoint now) const
{
    auto requests = static_cast<double>(state.inFlight.size());
    double slots = std::max<double>(1.0, state.target.slots.value());
    if (now - state.loadReportTime < loadReportLifetime) {
        requests = std::max<double>(requests, state.loadReport.inFlight + state.loadReport.queued);
        if (state.loadReport.limit > 0)
            slots = std::min<double>(slots, state.loadReport.limit);
    }
    return (requests + 1.0) / slots;
}

double LeastCostBalancer::expectedCost(const TargetState &state, const ServiceState &service,
                                       const PickRequest &request, TimePoint now) const
{
    const auto proximityIndex = static_cast<std::size_t>(state.proximity);
    const auto latency = service.latencies.find(request.operation);
    const bool isKnown = latency != service.latencies.end() && latency->second.mean() > 0.0;
    const double serviceTime
            = (isKnown ? latency->second.mean() : assumedServiceTime)
              * (needsProbe(state, now) ? 1.0
                                        : currentSlowdown(state, service, request.operation, now));
    const double targetUtilization = utilization(state, now);
    // A request doesn't wait up to queueFreeUtilization, and waits about one service time at a full
    // target.
    const double congestion = std::max(0.0, targetUtilization - queueFreeUtilization)
                              / (1.0 - queueFreeUtilization);
    const double roundTrip = state.networkRoundTrip > 0.0 ? state.networkRoundTrip
                                                          : assumedRoundTrip[proximityIndex];
    const double excessFailures
            = needsProbe(state, now)
                      ? 0.0
                      : std::max(0.0, currentFailureShare(state, now) - usualFailureShare);
    return serviceTime * (1.0 + congestion) + targetUtilization * serviceTime / 4.0 + roundTrip
           + proximityPenalty[proximityIndex] + excessFailures * failurePenalty;
}

void LeastCostBalancer::considerSample(const std::vector<TargetState *> &targets,
                                       const ServiceState &service, const PickRequest &request,
                                       TimePoint now, Candidate *best)
{
    std::vector<TargetState *> sample;
    std::sample(targets.begin(), targets.end(), std::back_inserter(sample), sampleSizePerProximity,
                m_random);
    for (TargetState *state : sample) {
        const double cost = expectedCost(*state, service, request, now);
        if (best->state == nullptr || cost < best->cost)
            *best = {state, cost};
    }
}

Result<Pick> LeastCostBalancer::pick(const PickRequest &request, TimePoint now)
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end())
        return Error::UnknownService;
    const ServiceState &service = found->second;
    Candidate best;
    for (const Proximity proximity : proximities)
        considerSample(candidates(service, proximity, request, now), service, request, now, &best);
    if (best.state == nullptr)
        best.state = pickLastResort(service, request);
    if (best.state == nullptr)
        return Error::NoTarget;
    return Pick{best.state->target.peer, best.state->proximity};
}

} // namespace buckthornford
