#pragma once

#include "core/core.h"

#include <map>
#include <unordered_map>

namespace buckthornford {

/// Learns how long each operation runs at the upstream, and tells long operations from short ones.
class CostEstimator
{
public:
    void record(const OperationName &operation, Duration latency);

    /// Mean time at the upstream; 0 for an unknown operation.
    Duration expected(const OperationName &operation) const;

    /// Time within which most executions end; 0 for an unknown operation.
    Duration conservative(const OperationName &operation) const;

    /// Returns whether \a operation runs many times longer than the median request.
    bool isLong(const OperationName &operation) const;

private:
    struct Cost
    {
        double mean = 0.0;        ///< microseconds
        double deviation = 0.0;   ///< mean absolute deviation, microseconds
        double recentCount = 0.0; ///< executions, decaying with every new sample
    };

    void refreshMedianCost();

    std::unordered_map<OperationName, Cost> m_costs;
    double m_medianCost = 0.0; ///< mean of the operation of the median request, microseconds
    std::uint32_t m_sampleCount = 0;
};

/// Reserves a share of the slots for short operations while they arrive. Long operations of a
/// higher rank than the arriving short ones are not held back.
class ShortWorkReserve
{
public:
    void onShortArrival(Rank rank, TimePoint now);
    void onStart(bool isLong);
    void onEnd(bool isLong);

    /// Returns whether a long operation of \a rank may take one of \a limit slots, of which
    /// \a shortShare is reserved.
    bool mayStartLong(Rank rank, Slots limit, double shortShare, TimePoint now) const;

private:
    std::map<Rank, TimePoint> m_lastShortArrival;
    std::uint32_t m_longInFlight = 0;
};

} // namespace buckthornford
