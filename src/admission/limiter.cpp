#include "admission/admission.h"

#include <algorithm>
#include <array>

namespace buckthornford {

namespace {

constexpr Duration windowLength = std::chrono::milliseconds(100);
constexpr std::size_t minWindowSamples = 4;
constexpr std::size_t maxWindowSamples = 16;
constexpr double initialLimit = 2.0;     ///< low, so that the first baseline is uncongested
constexpr double fastGrowthFactor = 1.6; ///< per window while the limit is reached
constexpr double slowGrowthFactor = 1.1; ///< when latencies start to rise
constexpr double elevatedLatencyRatio = 1.2;
constexpr double maxLatencyRatio = 1.6; ///< of measured to uncongested latency
/// Lower bound of the factor by which a window shrinks the limit; also the factor after a stall.
constexpr double minShrinkFactor = 0.8;
constexpr double shedOrLostShrinkFactor = 0.8;
constexpr Duration minShrinkInterval = std::chrono::milliseconds(50);
/// Weight of a median below the baseline; taking the minimum would follow noise.
constexpr double baselineFallWeight = 0.2;
constexpr double baselineRisePerSecond = 0.002; ///< share of the baseline
/// Share of the ceiling up to which executions in flight count as low load; the load would rarely
/// be below a smaller share.
constexpr double lowLoadShare = 0.1;
constexpr double minLowLoad = 2.0;         ///< executions; lower bound of the low load
constexpr int maxSlowWindowsAtLowLoad = 5; ///< in a row; then baselines are relearned
/// The limit counts as reached if this share of it was in flight.
constexpr double limitReachedShare = 0.8;
constexpr double newLatencyWeight = 0.1; ///< in the moving average
/// The upstream counts as stalled if no execution ends for this many typical latencies.
constexpr double stallFactor = 8.0;
constexpr Duration minStallTimeout = std::chrono::milliseconds(500);

using CreateFunction = std::unique_ptr<Limiter> (*)();

/// In the order of LimiterKind.
constexpr std::array<CreateFunction, 2> createFunctions{
        []() -> std::unique_ptr<Limiter> { return std::make_unique<FixedLimiter>(); },
        []() -> std::unique_ptr<Limiter> { return std::make_unique<AdaptiveLimiter>(); }};

double median(std::vector<Duration> *values)
{
    const auto windowMedian = values->begin() + static_cast<std::ptrdiff_t>(values->size() / 2);
    std::nth_element(values->begin(), windowMedian, values->end());
    return static_cast<double>(windowMedian->count());
}

} // namespace

std::unique_ptr<Limiter> createLimiter(LimiterKind kind)
{
    return createFunctions[static_cast<std::size_t>(kind)]();
}

Slots AdaptiveLimiter::limit() const
{
    if (m_stalled)
        return Slots{0};
    return Slots{static_cast<std::uint32_t>(std::max(1.0, m_limit))};
}

void AdaptiveLimiter::setCeiling(Slots slots, TimePoint)
{
    m_ceiling = std::max<double>(1.0, slots.value());
    m_limit = std::min(m_limit, m_ceiling);
}

void AdaptiveLimiter::resetEstimates(TimePoint now)
{
    m_stalled = false;
    m_operations.clear();
    m_windowSamples = 0;
    m_peakInFlight = 0;
    m_slowWindowsAtLowLoad = 0;
    m_typicalLatency = 0.0;
    m_windowStart = now;
    m_lastEnd = now;
    m_limit = std::min(m_ceiling, initialLimit);
}

void AdaptiveLimiter::onStart(std::uint32_t inFlight, TimePoint now)
{
    if (inFlight <= 1)
        m_lastEnd = now; // The upstream was idle, so no execution could have ended.
    m_peakInFlight = std::max(m_peakInFlight, inFlight);
}

void AdaptiveLimiter::onEnd(const ExecutionSample &sample, std::uint32_t, TimePoint now)
{
    m_lastEnd = now;
    if (std::exchange(m_stalled, false))
        shrink(minShrinkFactor, now);
    if (sample.end == ExecutionSample::End::Failed)
        return;
    if (sample.end != ExecutionSample::End::Answered) {
        shrink(shedOrLostShrinkFactor, now);
        return;
    }
    const auto latency = static_cast<double>(sample.latency.count());
    m_typicalLatency = m_typicalLatency == 0.0
                               ? latency
                               : m_typicalLatency + newLatencyWeight * (latency - m_typicalLatency);
    m_operations[sample.operation].window.push_back(sample.latency);
    ++m_windowSamples;
    if (now - m_windowStart >= windowLength && m_windowSamples >= requiredSamples())
        closeWindow(now);
}

/// At a low limit few samples suffice, because more would take long to arrive.
std::size_t AdaptiveLimiter::requiredSamples() const
{
    return std::clamp(static_cast<std::size_t>(2.0 * m_limit), minWindowSamples, maxWindowSamples);
}

/// Returns the ratio of the window's latencies to the uncongested ones, 1 if nothing is known yet,
/// and updates the baselines. Operations with few samples keep them for the next window.
double AdaptiveLimiter::takeLatencyRatio(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_windowStart).count();
    const double rise = 1.0 + baselineRisePerSecond * seconds;
    double weightedRatios = 0.0;
    double weight = 0.0;
    for (auto &[name, operation] : m_operations) {
        if (operation.window.size() < requiredSamples() / 2)
            continue;
        const auto count = static_cast<double>(operation.window.size());
        const double windowMedian = std::max(1.0, median(&operation.window));
        operation.window.clear();
        double baseline = operation.baselineLatency.value_or(windowMedian);
        baseline = windowMedian < baseline
                           ? baseline + baselineFallWeight * (windowMedian - baseline)
                           : baseline * rise;
        operation.baselineLatency = baseline;
        weightedRatios += count * windowMedian / baseline;
        weight += count;
    }
    return weight == 0.0 ? 1.0 : weightedRatios / weight;
}

void AdaptiveLimiter::closeWindow(TimePoint now)
{
    const double latencyRatio = takeLatencyRatio(now);
    detectSlowedUpstream(latencyRatio);
    const bool isLimitReached = m_peakInFlight >= limitReachedShare * limit().value();
    if (latencyRatio > maxLatencyRatio)
        shrink(std::max(minShrinkFactor, maxLatencyRatio / latencyRatio), now);
    else if (isLimitReached)
        grow(latencyRatio < elevatedLatencyRatio ? fastGrowthFactor : slowGrowthFactor);
    m_windowSamples = 0;
    m_peakInFlight = 0;
    m_windowStart = now;
}

/// Drops the baselines when latencies stay high at low load: then the upstream is not congested
/// but has become slower.
void AdaptiveLimiter::detectSlowedUpstream(double latencyRatio)
{
    const double lowLoad = std::max(minLowLoad, m_ceiling * lowLoadShare);
    const bool isSlowAtLowLoad = latencyRatio > maxLatencyRatio && m_peakInFlight <= lowLoad;
    m_slowWindowsAtLowLoad = isSlowAtLowLoad ? m_slowWindowsAtLowLoad + 1 : 0;
    if (m_slowWindowsAtLowLoad < maxSlowWindowsAtLowLoad)
        return;
    m_slowWindowsAtLowLoad = 0;
    for (auto &[name, operation] : m_operations)
        operation.baselineLatency.reset();
}

void AdaptiveLimiter::grow(double factor)
{
    m_limit = std::min(m_ceiling, std::max(m_limit + 1.0, m_limit * factor));
}

void AdaptiveLimiter::shrink(double factor, TimePoint now)
{
    if (now - m_lastShrink < minShrinkInterval)
        return;
    m_lastShrink = now;
    m_limit = std::max(1.0, m_limit * factor);
}

void AdaptiveLimiter::tick(std::uint32_t inFlight, TimePoint now)
{
    if (inFlight == 0) {
        m_stalled = false;
        return;
    }
    const auto stallTimeout = std::max(
            minStallTimeout, Duration{static_cast<Duration::rep>(stallFactor * m_typicalLatency)});
    if (!m_stalled && m_typicalLatency > 0.0 && now - m_lastEnd > stallTimeout)
        m_stalled = true;
}

} // namespace buckthornford
