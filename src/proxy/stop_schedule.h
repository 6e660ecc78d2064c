#pragma once

/// The times of a planned stop: which work a stopping node may still take, and when it ends.

#include "core/core.h"

#include <optional>

namespace buckthornford {

/// The plan of one stop, from the stop signal to the end of the process. Work is taken only if it
/// can be answered before the process ends.
class StopSchedule
{
public:
    /// Makes the plan for a process that gets the stop signal at \a signalTime and is killed after
    /// \a gracePeriod.
    static StopSchedule startingAt(TimePoint signalTime, Duration gracePeriod);

    TimePoint signalTime() const { return m_signalTime; }

    /// Returns when the process may end if it is idle. Before that, callers may not yet have seen
    /// that it isn't ready.
    TimePoint earliestEnd() const { return m_signalTime + callerDepartureDelay; }

    /// Returns when the process ends whatever is open, in time before the kill.
    TimePoint latestEnd() const { return m_latestEnd; }

    /// Returns by when callers get their answers, so that these are written before the process
    /// ends.
    TimePoint answersDueBy() const { return m_latestEnd - responseWriteMargin; }

    /// Returns by when executions end, so that their answers are back by answersDueBy().
    TimePoint executionsDueBy() const { return answersDueBy() - answerReturnMargin; }

    /// Returns whether work that arrives at \a now can end in time: its \a expected duration, or
    /// its time \a limit if that is shorter or nothing is expected (zero).
    bool hasTimeFor(Duration expected, Duration limit, TimePoint now) const;

private:
    /// Callers send their requests elsewhere after two failed readiness checks a second apart.
    static constexpr Duration callerDepartureDelay = std::chrono::milliseconds(2600);
    /// Between the end of the process and the kill, for a process that gets little processor time.
    static constexpr Duration killMargin = std::chrono::milliseconds(700);
    static constexpr Duration responseWriteMargin = std::chrono::milliseconds(100);
    /// Covers the way back of an answer from another region and one retransmission nearby.
    static constexpr Duration answerReturnMargin = std::chrono::milliseconds(150);

    StopSchedule(TimePoint signalTime, TimePoint latestEnd);

    TimePoint m_signalTime;
    TimePoint m_latestEnd;
};

} // namespace buckthornford
