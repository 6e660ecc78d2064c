#pragma once

#include "balancing/measuring_p.h"

namespace buckthornford {

/// Sends each request where its answer is expected soonest, with a surcharge for links that are
/// billed. Answers load patterns in which near targets suffice most of the time, and the rest of
/// the fleet has to help out in bursts or while near targets are slow or failing.
class LeastCostBalancer : public MeasuringBalancer
{
public:
    using MeasuringBalancer::MeasuringBalancer;

    Result<Pick> pick(const PickRequest &request, TimePoint now) override;

private:
    struct Choice
    {
        State *state = nullptr;
        double cost = 0.0; ///< microseconds
    };

    double cost(const State &state, const Service &service, const PickRequest &request,
                TimePoint now) const;
    double load(const State &state, TimePoint now) const;
    void consider(const std::vector<State *> &from, const Service &service,
                  const PickRequest &request, TimePoint now, Choice *best);
};

} // namespace buckthornford
