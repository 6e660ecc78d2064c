#pragma once

#include "core/core.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace buckthornford {

/// A member of a log line.
struct LogField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

/// How much a line matters when not all can be written.
enum class LogCategory {
    Process, ///< start, stop, reload, dependency lost or back: always written
    Problem, ///< a request that was refused, failed or sent again
    Routine, ///< a request that went well
};

/// JSON lines to a descriptor, bounded in number and never blocking: lines wait in a buffer of
/// fixed size, and what doesn't fit is counted and left out.
class EventLog
{
public:
    struct Settings
    {
        int descriptor = 1;
        double problemLinesPerSecond = 60.0;
        double routineLinesPerSecond = 2.0;
        std::size_t bufferBytes = 64U << 10U;
    };

    explicit EventLog(Settings settings);

    /// Adds a line with "time_ms" (monotonic), "event" and \a fields.
    void write(LogCategory kind, std::string_view event, std::initializer_list<LogField> fields,
               TimePoint now);

    /// Writes what waits as far as the descriptor takes it without blocking.
    void flush();

    /// Whether a line of \a kind would be written now; saves the work of making one.
    bool tryAcquire(LogCategory kind, TimePoint now);

    std::uint64_t droppedCount() const { return m_dropped; }

private:
    /// A token bucket of one second's lines.
    struct TokenBucket
    {
        double perSecond = 0.0;
        double tokens = 0.0;
        TimePoint refilledAt;

        bool hasToken(TimePoint now);
    };

    Settings m_settings;
    TokenBucket m_problemBucket;
    TokenBucket m_routineBucket;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

} // namespace buckthornford
