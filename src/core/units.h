#pragma once

#include "core/ids.h"

#include <chrono>
#include <cstdint>

namespace buckthornford {

/// A span of time; microseconds are the finest unit that decisions use.
using Duration = std::chrono::microseconds;

/// A moment on the monotonic clock of one process. Deciding code takes it as an argument.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A moment on the wall clock, microseconds since the Unix epoch.
using WallTime = Strong<std::int64_t, struct WallTimeTag>;

using Bytes = Strong<std::uint64_t, struct BytesTag>;
using Slots = Strong<std::uint32_t, struct SlotsTag>;   ///< concurrent executions
using Tokens = Strong<std::uint32_t, struct TokensTag>; ///< retries of a call chain
using Rank = Strong<std::uint32_t, struct RankTag>;     ///< 0 is the most important class
using Depth = Strong<std::uint32_t, struct DepthTag>;   ///< hops from the first caller

/// Reads the monotonic clock; only tasks and doors call it.
TimePoint monotonicNow();

/// Reads the wall clock once at the first call and follows the monotonic clock from there, so
/// that it never steps back within a process.
WallTime steadyWallNow();

/// Returns \a factor times \a duration.
constexpr Duration scaled(Duration duration, double factor)
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor)};
}

/// Returns \a duration in milliseconds with a fraction.
constexpr double toMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

} // namespace buckthornford
