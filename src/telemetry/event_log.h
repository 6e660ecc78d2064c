#pragma once

#include "core/core.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace buckthornford {

/// Name and value of one field of a log line.
struct LogField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

/// Decides which rate limit a log line falls under.
enum class LogCategory {
    Process, ///< start, stop, reload, dependency lost or back; has no rate limit
    Problem, ///< a request that was refused, failed or sent again
    Routine, ///< a request that went well
};

/// Writes JSON lines to a file descriptor and never blocks. Problem and Routine lines have a rate
/// limit each. Lines wait in a buffer until flush(); a line over its rate, or one that comes while
/// the buffer is full, is counted and dropped.
class EventLog
{
public:
    struct Settings
    {
        int descriptor = 1; ///< standard output
        double problemLinesPerSecond = 60.0;
        double routineLinesPerSecond = 2.0;
        std::size_t bufferBytes = 64U << 10U;
    };

    explicit EventLog(Settings settings);

    /// Adds a line with "time_ms" (monotonic clock), "event" and \a fields to the buffer, whatever
    /// the rate; "left_out" is added when lines have been dropped since the last line. Ask
    /// tryAcquire() first if \a category has a rate limit.
    void write(LogCategory category, std::string_view event, std::initializer_list<LogField> fields,
               TimePoint now);

    /// Writes as much of the buffer as the descriptor takes without blocking. Drops and counts its
    /// lines if more than Settings::bufferBytes remain or the descriptor takes none any more.
    void flush();

    /// Returns whether a line of \a category may be written now, so that the caller need not build
    /// one in vain. Counts a dropped line if not. Only write() takes a token.
    bool tryAcquire(LogCategory category, TimePoint now);

    /// Returns how many lines were dropped since the start.
    std::uint64_t droppedCount() const { return m_dropped; }

private:
    /// Token bucket: one token pays for one line, and it holds the tokens of one second at most.
    struct TokenBucket
    {
        double perSecond = 0.0;
        double tokens = 0.0;
        TimePoint refilledAt;

        /// Adds the tokens for the time since the last call; returns whether there is one to take.
        bool hasToken(TimePoint now);
    };

    Settings m_settings;
    TokenBucket m_problemBucket;
    TokenBucket m_routineBucket;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0; ///< m_dropped when the last line was added
};

} // namespace buckthornford
