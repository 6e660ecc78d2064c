#include "store/read_schedule.h"

#include <algorithm>

namespace buckthornford {

namespace {

/// Bounds of the time for which the store may wait for a change before it responds to a watch.
constexpr Duration minWatchTimeout = std::chrono::seconds(2);
constexpr Duration maxWatchTimeout = std::chrono::seconds(25);
/// Watch timeout for each node in the fleet, so that about one watch ends every second.
constexpr Duration watchTimeoutPerNode = std::chrono::seconds(1);
/// Time between two checks by nodes that are no readers, over the whole fleet.
constexpr Duration fleetCheckInterval = std::chrono::milliseconds(500);
constexpr Duration minCheckInterval = std::chrono::seconds(5);
/// Time between two extra checks, over the whole fleet.
constexpr Duration fleetExtraCheckInterval = std::chrono::milliseconds(20);

} // namespace

Duration ReadSchedule::chooseWatchTimeout()
{
    const auto nodeCount = static_cast<Duration::rep>(m_otherNodes) + 1;
    const Duration maxTimeout
            = std::clamp(nodeCount * watchTimeoutPerNode, minWatchTimeout, maxWatchTimeout);
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    return scaled(maxTimeout, jitter(m_random));
}

TimePoint ReadSchedule::nextCheck(TimePoint now)
{
    const auto nodeCount = static_cast<Duration::rep>(m_otherNodes) + 1;
    const Duration interval = std::max(nodeCount * fleetCheckInterval, minCheckInterval);
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    return now + scaled(interval, jitter(m_random));
}

TimePoint ReadSchedule::nextExtraCheck(TimePoint now)
{
    const auto nodeCount = static_cast<Duration::rep>(m_otherNodes) + 1;
    std::uniform_real_distribution<double> share(0.0, 1.0);
    return now + scaled(nodeCount * fleetExtraCheckInterval, share(m_random));
}

} // namespace buckthornford
