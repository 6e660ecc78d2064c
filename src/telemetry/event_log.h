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
enum class LogClass {
    Process, ///< start, stop, reload, dependency lost or back: always written
    Trouble, ///< a request that was refused, failed or sent again
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
        double troubleLinesPerSecond = 60.0;
        double routineLinesPerSecond = 2.0;
        std::size_t bufferBytes = 64U << 10U;
    };

    explicit EventLog(Settings settings);

    /// Adds a line with "time_ms" (monotonic), "event" and \a fields.
    void write(LogClass kind, std::string_view event, std::initializer_list<LogField> fields,
               TimePoint now);

    /// Writes what waits as far as the descriptor takes it without blocking.
    void flush();

    /// Whether a line of \a kind would be written now; saves the work of making one.
    bool takes(LogClass kind, TimePoint now);

    std::uint64_t leftOut() const { return m_leftOut; }

private:
    /// A token bucket of one second's lines.
    struct Allowance
    {
        double perSecond = 0.0;
        double saved = 0.0;
        TimePoint since;

        bool has(TimePoint now);
    };

    Settings m_settings;
    Allowance m_trouble;
    Allowance m_routine;
    std::string m_buffer;
    std::uint64_t m_leftOut = 0;
    std::uint64_t m_toldLeftOut = 0;
};

} // namespace buckthornford
