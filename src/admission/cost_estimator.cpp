#include "admission/admission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace buckthornford {

namespace {

constexpr double meanWeight = 0.1;   ///< of a new sample
constexpr double shareDecay = 0.999; ///< per sample
constexpr double cautiousDeviations = 2.0;
constexpr double longFactor = 6.0;            ///< times the typical cost
constexpr std::uint32_t refreshInterval = 32; ///< samples
constexpr Duration shortMemory = std::chrono::seconds(1);

} // namespace

void CostEstimator::record(const OperationName &operation, Duration latency)
{
    const auto sample = static_cast<double>(latency.count());
    for (auto &[name, cost] : m_costs)
        cost.share *= shareDecay;
    Cost &cost = m_costs[operation];
    cost.mean = cost.share == 0.0 ? sample : cost.mean + meanWeight * (sample - cost.mean);
    cost.deviation += meanWeight * (std::abs(sample - cost.mean) - cost.deviation);
    cost.share += 1.0;
    if (m_sinceRefresh++ % refreshInterval == 0)
        refreshTypical();
}

void CostEstimator::refreshTypical()
{
    std::vector<Cost> costs;
    double total = 0.0;
    for (const auto &[name, cost] : m_costs) {
        costs.push_back(cost);
        total += cost.share;
    }
    std::sort(costs.begin(), costs.end(),
              [](const Cost &a, const Cost &b) { return a.mean < b.mean; });
    double seen = 0.0;
    for (const Cost &cost : costs) {
        seen += cost.share;
        m_typical = cost.mean;
        if (seen >= total / 2.0)
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
    return Duration{static_cast<Duration::rep>(cost.mean + cautiousDeviations * cost.deviation)};
}

bool CostEstimator::isLong(const OperationName &operation) const
{
    const auto found = m_costs.find(operation);
    return found != m_costs.end() && found->second.mean > longFactor * m_typical;
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
                return arrival.first <= rank && now - arrival.second < shortMemory;
            });
    if (!isShortArriving)
        return true;
    const double longSlots = std::floor(limit.value() * (1.0 - shortShare));
    return m_longInFlight < std::max(1.0, longSlots);
}

} // namespace buckthornford
