#include "admission/admission.h"

#include <algorithm>
#include <array>

namespace buckthornford {

namespace {

constexpr Duration windowLength = std::chrono::milliseconds(100);
constexpr std::size_t minWindowSamples = 4;
constexpr std::size_t maxWindowSamples = 16;
constexpr double coldStart = 2.0;  ///< low, so that the floor is learned without congestion
constexpr double fastGrowth = 1.6; ///< per window while the limit is reached
constexpr double slowGrowth = 1.1; ///< when latencies begin to stretch
constexpr double noticeableStretch = 1.2;
constexpr double tolerableStretch = 1.6; ///< latency over the uncongested latency
constexpr double minShrink = 0.8;        ///< per window
constexpr double shedShrink = 0.8;
constexpr Duration minShrinkInterval = std::chrono::milliseconds(50);
constexpr double floorFall = 0.2; ///< weight of a lower median; a least value would follow noise
constexpr double floorDriftPerSecond = 0.002;
constexpr double bottomShare = 0.1; ///< of the ceiling; less load can hardly be had
constexpr double minBottom = 2.0;
constexpr int bottomPatience = 5; ///< stretched windows at the bottom until the floor is relearned
constexpr double reachedShare = 0.8;  ///< of the limit, to count as reached
constexpr double latencyWeight = 0.1; ///< of a new sample in the typical latency
constexpr double stallFactor = 8.0;   ///< typical latencies without any end
constexpr Duration minStall = std::chrono::milliseconds(500);

using CreateFunction = std::unique_ptr<Limiter> (*)();

/// In the order of LimiterKind.
constexpr std::array<CreateFunction, 2> createFunctions{
        []() -> std::unique_ptr<Limiter> { return std::make_unique<FixedLimiter>(); },
        []() -> std::unique_ptr<Limiter> { return std::make_unique<AdaptiveLimiter>(); }};

double median(std::vector<Duration> *values)
{
    const auto middle = values->begin() + static_cast<std::ptrdiff_t>(values->size() / 2);
    std::nth_element(values->begin(), middle, values->end());
    return static_cast<double>(middle->count());
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
    m_samples = 0;
    m_peakInFlight = 0;
    m_stretchedAtBottom = 0;
    m_typicalLatency = 0.0;
    m_windowStart = now;
    m_lastEnd = now;
    m_limit = std::min(m_ceiling, coldStart);
}

void AdaptiveLimiter::onStart(std::uint32_t inFlight, TimePoint now)
{
    if (inFlight <= 1)
        m_lastEnd = now; // Idle until now, so nothing could end.
    m_peakInFlight = std::max(m_peakInFlight, inFlight);
}

void AdaptiveLimiter::onEnd(const ExecutionSample &sample, std::uint32_t, TimePoint now)
{
    m_lastEnd = now;
    if (std::exchange(m_stalled, false))
        shrink(minShrink, now);
    if (sample.end == ExecutionSample::End::Failed)
        return;
    if (sample.end != ExecutionSample::End::Answered) {
        shrink(shedShrink, now);
        return;
    }
    const auto latency = static_cast<double>(sample.latency.count());
    m_typicalLatency = m_typicalLatency == 0.0
                               ? latency
                               : m_typicalLatency + latencyWeight * (latency - m_typicalLatency);
    m_operations[sample.operation].window.push_back(sample.latency);
    ++m_samples;
    if (now - m_windowStart >= windowLength && m_samples >= neededSamples())
        closeWindow(now);
}

/// Few samples do at a low limit, where more would take long to come.
std::size_t AdaptiveLimiter::neededSamples() const
{
    return std::clamp(static_cast<std::size_t>(2.0 * m_limit), minWindowSamples, maxWindowSamples);
}

/// How much longer than uncongested the window's work took; 1 where nothing is known yet.
/// Operations with few samples wait for the next window.
double AdaptiveLimiter::takeStretch(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_windowStart).count();
    const double drift = 1.0 + floorDriftPerSecond * seconds;
    double weighted = 0.0;
    double weight = 0.0;
    for (auto &[name, operation] : m_operations) {
        if (operation.window.size() < neededSamples() / 2)
            continue;
        const auto count = static_cast<double>(operation.window.size());
        const double middle = std::max(1.0, median(&operation.window));
        operation.window.clear();
        double floor = operation.floor.value_or(middle);
        floor = middle < floor ? floor + floorFall * (middle - floor) : floor * drift;
        operation.floor = floor;
        weighted += count * middle / floor;
        weight += count;
    }
    return weight == 0.0 ? 1.0 : weighted / weight;
}

void AdaptiveLimiter::closeWindow(TimePoint now)
{
    const double stretch = takeStretch(now);
    noteBottom(stretch);
    const bool isReached = m_peakInFlight >= reachedShare * limit().value();
    if (stretch > tolerableStretch)
        shrink(std::max(minShrink, tolerableStretch / stretch), now);
    else if (isReached)
        grow(stretch < noticeableStretch ? fastGrowth : slowGrowth);
    m_samples = 0;
    m_peakInFlight = 0;
    m_windowStart = now;
}

/// An upstream that stays slow with hardly any load is not congested: it has become slower.
void AdaptiveLimiter::noteBottom(double stretch)
{
    const double bottom = std::max(minBottom, m_ceiling * bottomShare);
    const bool isStretched = stretch > tolerableStretch && m_peakInFlight <= bottom;
    m_stretchedAtBottom = isStretched ? m_stretchedAtBottom + 1 : 0;
    if (m_stretchedAtBottom < bottomPatience)
        return;
    m_stretchedAtBottom = 0;
    for (auto &[name, operation] : m_operations)
        operation.floor.reset();
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
    const auto patience = std::max(
            minStall, Duration{static_cast<Duration::rep>(stallFactor * m_typicalLatency)});
    if (!m_stalled && m_typicalLatency > 0.0 && now - m_lastEnd > patience)
        m_stalled = true;
}

} // namespace buckthornford
