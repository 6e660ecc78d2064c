#pragma once

#include "core/ids.h"

#include <chrono>
#include <cstdint>

namespace buckthornford {

/// A length of time in microseconds, the finest unit that any decision needs.
using Duration = std::chrono::microseconds;

/// A time on the monotonic clock of one process. Code that decides takes it as an argument and does
/// not read the clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A time on the wall clock in microseconds since the Unix epoch.
using WallTime = Strong<std::int64_t, struct WallTimeTag>;

using Bytes = Strong<std::uint64_t, struct BytesTag>;
using Slots = Strong<std::uint32_t, struct SlotsTag>;   ///< number of concurrent executions
using Tokens = Strong<std::uint32_t, struct TokensTag>; ///< retry tokens of a call chain
using Rank = Strong<std::uint32_t, struct RankTag>;     ///< priority of a class; 0 is the highest
/// Work that is offered to instances of a service, relative to what their slots can carry: at 1.0
/// all slots are in use.
using Utilization = Strong<double, struct UtilizationTag>;
using Depth = Strong<std::uint32_t, struct DepthTag>; ///< hops from the first call of the chain

/// Reads the monotonic clock. Only tasks and servers call it; code that decides gets the time as an
/// argument.
TimePoint monotonicNow();

/// Returns the wall-clock time. It reads the wall clock at the first call only and adds the time
/// that has passed on the monotonic clock since, so it never steps back within a process.
WallTime steadyWallNow();

/// Returns \a duration times \a factor, rounded towards zero to whole microseconds.
constexpr Duration scaled(Duration duration, double factor)
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor)};
}

/// Returns \a duration in milliseconds, fraction included.
constexpr double toMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

} // namespace buckthornford
