#pragma once

#include "balancing/measuring_p.h"

namespace buckthornford {

/// Two random choices over a bounded subset, near targets first.
class TwoChoicesBalancer : public MeasuringBalancer
{
public:
    using MeasuringBalancer::MeasuringBalancer;

    Result<Pick> pick(const PickRequest &request, TimePoint now) override;

private:
    State *choose(const std::vector<State *> &from, const Service &service,
                  const OperationName &operation, TimePoint now);
    double score(const State &state, const Service &service, const OperationName &operation,
                 TimePoint now) const;
    bool hasQueue(const State &state, TimePoint now) const;
    bool isOverloaded(const State &state, TimePoint now) const;
    bool maySpill(Service *service, const PickRequest &request);
};

} // namespace buckthornford
