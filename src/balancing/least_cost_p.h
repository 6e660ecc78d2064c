#pragma once

#include "balancing/measuring_p.h"

namespace buckthornford {

/// Picks the target with the lowest expected latency, plus a penalty for traffic that leaves the
/// zone or the region. Meant for load that near targets can take most of the time, while other
/// zones and regions help out in bursts or while near targets are slow or failing.
class LeastCostBalancer : public MeasuringBalancer
{
public:
    using MeasuringBalancer::MeasuringBalancer;

    Result<Pick> pick(const PickRequest &request, TimePoint now) override;

private:
    struct Candidate
    {
        TargetState *state = nullptr;
        double cost = 0.0; ///< microseconds
    };

    /// Returns the latency expected from the target, plus penalties, in microseconds.
    double expectedCost(const TargetState &state, const ServiceState &service,
                        const PickRequest &request, TimePoint now) const;

    /// Returns the share of the target's slots that is in use once one more request is there; above
    /// 1 requests wait.
    double utilization(const TargetState &state, TimePoint now) const;

    /// Compares a random sample of \a targets with \a best and keeps the cheapest.
    void considerSample(const std::vector<TargetState *> &targets, const ServiceState &service,
                        const PickRequest &request, TimePoint now, Candidate *best);
};

} // namespace buckthornford
