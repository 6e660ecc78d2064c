#include "proxy/stop_schedule.h"

#include <algorithm>

namespace buckthornford {

StopSchedule::StopSchedule(TimePoint signalTime, TimePoint latestEnd)
    : m_signalTime(signalTime)
    , m_latestEnd(latestEnd)
{}

StopSchedule StopSchedule::startingAt(TimePoint signalTime, Duration gracePeriod)
{
    return {signalTime, signalTime + std::max(Duration{0}, gracePeriod - killMargin)};
}

bool StopSchedule::hasTimeFor(Duration expected, Duration limit, TimePoint now) const
{
    const Duration needed = expected > Duration{0} ? std::min(expected, limit) : limit;
    return now + needed <= executionsDueBy();
}

} // namespace buckthornford
