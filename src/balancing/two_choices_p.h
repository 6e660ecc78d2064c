#pragma once

#include "balancing/measuring_p.h"

namespace buckthornford {

/// Compares two random targets of a bounded subset and picks the better one; near targets first.
class TwoChoicesBalancer : public MeasuringBalancer
{
public:
    using MeasuringBalancer::MeasuringBalancer;

    Result<Pick> pick(const PickRequest &request, TimePoint now) override;

private:
    /// Returns the better of two random targets.
    TargetState *chooseOfTwo(const std::vector<TargetState *> &targets, const ServiceState &service,
                             const OperationName &operation, TimePoint now);

    /// Returns how bad a pick the target is: its load per slot, scaled by its slowdown and its
    /// queue.
    double score(const TargetState &state, const ServiceState &service,
                 const OperationName &operation, TimePoint now) const;

    /// Returns whether the target's admission controller reported queued requests within the last
    /// second.
    bool hasQueue(const TargetState &state, TimePoint now) const;

    /// Returns whether at least as many requests wait at the target as it can run.
    bool isOverloaded(const TargetState &state, TimePoint now) const;

    /// Takes credit to send one request out of the region; returns whether there was any.
    bool takeSpillCredit(ServiceState *service, const PickRequest &request);
};

} // namespace buckthornford
