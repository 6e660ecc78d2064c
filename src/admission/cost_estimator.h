#pragma once

#include "core/core.h"

#include <map>
#include <unordered_map>

namespace buckthornford {

/// Learns what each kind of request costs, and tells long kinds from short ones.
class CostEstimator
{
public:
    void record(const OperationName &operation, Duration latency);

    /// Expected time at the upstream; 0 where nothing is known.
    Duration expected(const OperationName &operation) const;

    /// Time within which most executions end; 0 where nothing is known.
    Duration conservative(const OperationName &operation) const;

    /// Whether the kind runs many times longer than most of the work does.
    bool isLong(const OperationName &operation) const;

private:
    struct Cost
    {
        double mean = 0.0;      ///< microseconds
        double deviation = 0.0; ///< mean distance from the mean, microseconds
        double share = 0.0;     ///< of recent work, decaying
    };

    void refreshTypical();

    std::unordered_map<OperationName, Cost> m_costs;
    double m_typical = 0.0; ///< mean cost of the kind in the middle of the traffic
    std::uint32_t m_sinceRefresh = 0;
};

/// Keeps a share of the slots open for short work while short work is arriving. Work that is
/// more important than the short work is not held back by it.
class ShortWorkReserve
{
public:
    void onShortArrival(Rank rank, TimePoint now);
    void onStart(bool isLong);
    void onEnd(bool isLong);

    /// Whether a long claim of \a rank may take a slot under \a limit.
    bool mayStartLong(Rank rank, Slots limit, double shortShare, TimePoint now) const;

private:
    std::map<Rank, TimePoint> m_lastShortArrival;
    std::uint32_t m_longInFlight = 0;
};

} // namespace buckthornford
