#include "admission/admission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace buckthornford {

namespace {

constexpr double newSampleWeight = 0.1;             ///< in the moving averages
constexpr double recentCountDecay = 0.999;          ///< factor per sample
constexpr double conservativeDeviations = 2.0;      ///< added to the mean latency
constexpr double longFactor = 6.0;                  ///< times the median cost
constexpr std::uint32_t medianRefreshInterval = 32; ///< samples
/// Slots stay reserved for this long after short work has arrived.
constexpr Duration shortArrivalWindow = std::chrono::seconds(1);

} // namespace

void CostEstimator::record(const OperationName &operation, Duration latency)
{
    const auto sample = static_cast<double>(latency.count());
    for (auto &[name, cost] : m_costs)
        cost.recentCount *= recentCountDecay;
    Cost &cost = m_costs[operation];
    cost.mean
            = cost.recentCount == 0.0 ? sample : cost.mean + newSampleWeight * (sample - cost.mean);
    cost.deviation += newSampleWeight * (std::abs(sample - cost.mean) - cost.deviation);
    cost.recentCount += 1.0;
    if (m_sampleCount++ % medianRefreshInterval == 0)
        refreshMedianCost();
}

void CostEstimator::refreshMedianCost()
{
    std::vector<Cost> costs;
    double totalCount = 0.0;
    for (const auto &[name, cost] : m_costs) {
        costs.push_back(cost);
        totalCount += cost.recentCount;
    }
    std::sort(costs.begin(), costs.end(),
              [](const Cost &a, const Cost &b) { return a.mean < b.mean; });
    double cumulativeCount = 0.0;
    for (const Cost &cost : costs) {
        cumulativeCount += cost.recentCount;
        m_medianCost = cost.mean;
        if (cumulativeCount >= totalCount / 2.0)
            return;
    }
}

Duration CostEstimator::expected(const OperationName &operation) const
{
    const auto found = m_costs.find(operation);
    return found == m_costs.end() ? Duration{0}
                                  : Duration{static_cast<Duration::rep>(found->second.mean)};
}

Duration CostEstimator::conservative(const OperationName &operation) const
{
    const auto found = m_costs.find(operation);
    if (found == m_costs.end())
        return Duration{0};
    const Cost &cost = found->second;
    return Duration{
            static_cast<Duration::rep>(cost.mean + conservativeDeviations * cost.deviation)};
}

bool CostEstimator::isLong(const OperationName &operation) const
{
    const auto found = m_costs.find(operation);
    return found != m_costs.end() && found->second.mean > longFactor * m_medianCost;
}

void ShortWorkReserve::onShortArrival(Rank rank, TimePoint now)
{
    m_lastShortArrival[rank] = now;
}

void ShortWorkReserve::onStart(bool isLong)
{
    m_longInFlight += isLong ? 1 : 0;
}

void ShortWorkReserve::onEnd(bool isLong)
{
    m_longInFlight -= isLong ? 1 : 0;
}

bool ShortWorkReserve::mayStartLong(Rank rank, Slots limit, double shortShare, TimePoint now) const
{
    const bool isShortArriving = std::any_of(
            m_lastShortArrival.begin(), m_lastShortArrival.end(), [&](const auto &arrival) {
                return arrival.first <= rank && now - arrival.second < shortArrivalWindow;
            });
    if (!isShortArriving)
        return true;
    const double longSlots = std::floor(limit.value() * (1.0 - shortShare));
    return m_longInFlight < std::max(1.0, longSlots);
}

} // namespace buckthornford
