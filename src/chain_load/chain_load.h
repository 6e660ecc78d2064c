#pragma once

/// Overload deep in a chain of calls is decided where the chain begins. Answers carry how loaded
/// the services further down are; the node at which a chain begins refuses chains that these could
/// not finish, those of lower priority first.

#include "core/core.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace buckthornford {

/// Measures the work that is offered to one upstream, refused work included.
class DemandMeter
{
public:
    /// Work has arrived that takes a slot for \a cost.
    void record(Duration cost, TimePoint now);

    Utilization demand(Slots slots, TimePoint now) const;

private:
    double decayedWork(TimePoint now) const;

    double m_work = 0.0; ///< microseconds; decays exponentially
    TimePoint m_lastRecord;
};

/// What one node knows of the load of the operations that it calls, and of those that these call in
/// turn. It keeps a value for each operation, not for each target.
class DownstreamLoad
{
public:
    /// An execution of \a caller beside this node has called \a callee.
    void recordCall(const OperationName &caller, const OperationName &callee);

    /// A target has reported the highest \a utilization along the calls of \a operation, its own
    /// included.
    void recordReport(const OperationName &operation, Utilization utilization, TimePoint now);

    /// Returns the highest utilization along the calls of \a operation; nothing if no target has
    /// reported lately.
    std::optional<Utilization> of(const OperationName &operation, TimePoint now) const;

    /// Returns the highest utilization along the calls that executions of \a caller make; 0 if
    /// there are none or nothing is known.
    Utilization below(const OperationName &caller, TimePoint now) const;

private:
    struct Report
    {
        double utilization = 0.0; ///< moving average
        TimePoint time;
    };

    std::unordered_map<OperationName, Report> m_reports;
    std::unordered_map<OperationName, std::set<OperationName>> m_callees;
};

/// Decides which chains of calls may start at this node. Each operation starts the share of its
/// chains that brings the load down to what can be carried, once those of lower priority on which
/// the same load rests have been refused.
class ChainStartLimiter
{
public:
    /// Returns whether a chain of \a operation may start. \a load is the highest utilization along
    /// the chain, if it is known, and \a rank its priority. \a draw is a random number from 0 to 1.
    bool admits(const OperationName &operation, std::optional<Utilization> load, Rank rank,
                double draw, TimePoint now);

private:
    struct Admission
    {
        Rank rank;
        double load = 0.0;         ///< last known utilization; 0 if none is known
        double share = 1.0;        ///< of the chains, that may start
        double causingShare = 1.0; ///< moving average of share: what caused the load known now
        double starts = 0.0;       ///< number of recent starts, decays exponentially
        TimePoint lastChange;
    };

    double refusableShare(const Admission &admission, TimePoint now) const;

    std::unordered_map<OperationName, Admission> m_admissions;
};

} // namespace buckthornford
