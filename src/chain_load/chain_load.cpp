#include "chain_load/chain_load.h"

#include <algorithm>
#include <cmath>

namespace buckthornford {

namespace {

/// Time constant of the demand on an upstream.
constexpr Duration demandWindow = std::chrono::milliseconds(100);
/// Time constant of reported utilizations.
constexpr Duration reportWindow = std::chrono::milliseconds(60);
/// Least weight of a new report, for operations that are called rarely.
constexpr double minReportWeight = 0.05;
/// A report says nothing about the load after this time.
constexpr Duration reportLifetime = std::chrono::milliseconds(700);
/// Time until the chains that a node starts show in the reports that it gets.
constexpr Duration feedbackDelay = std::chrono::milliseconds(500);
/// Utilization up to which chains start freely.
constexpr double utilizationLimit = 0.95;
/// Operations whose load is at least this share of another one's are taken to rest on the same
/// service.
constexpr double sameLoadShare = 0.8;
/// Share of the chains that starts in any case, so that the node learns when the load falls.
constexpr double minShare = 0.05;
/// Time in which the share doubles if nothing is reported any more.
constexpr Duration doublingTime = std::chrono::milliseconds(300);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns the weight of a new value in a moving average with the time constant \a window.
double weightAfter(Duration elapsed, Duration window)
{
    return 1.0 - std::exp(-seconds(elapsed) / seconds(window));
}

} // namespace

double DemandMeter::decayedWork(TimePoint now) const
{
    return m_work * (1.0 - weightAfter(now - m_lastRecord, demandWindow));
}

void DemandMeter::record(Duration cost, TimePoint now)
{
    m_work = decayedWork(now) + static_cast<double>(cost.count());
    m_lastRecord = now;
}

Utilization DemandMeter::demand(Slots slots, TimePoint now) const
{
    const double capacity
            = std::max<double>(1.0, slots.value()) * static_cast<double>(demandWindow.count());
    return Utilization{decayedWork(now) / capacity};
}

void DownstreamLoad::recordCall(const OperationName &caller, const OperationName &callee)
{
    m_callees[caller].insert(callee);
}

void DownstreamLoad::recordReport(const OperationName &operation, Utilization utilization,
                                  TimePoint now)
{
    const auto [entry, isFirst] = m_reports.try_emplace(operation);
    Report &report = entry->second;
    const bool restarts = isFirst || now - report.time > reportLifetime;
    const double weight
            = restarts ? 1.0
                       : std::max(minReportWeight, weightAfter(now - report.time, reportWindow));
    report.utilization += weight * (utilization.value() - report.utilization);
    report.time = now;
}

std::optional<Utilization> DownstreamLoad::of(const OperationName &operation, TimePoint now) const
{
    const auto found = m_reports.find(operation);
    if (found == m_reports.end() || now - found->second.time > reportLifetime)
        return std::nullopt;
    return Utilization{found->second.utilization};
}

Utilization DownstreamLoad::below(const OperationName &caller, TimePoint now) const
{
    Utilization highest{0.0};
    const auto found = m_callees.find(caller);
    if (found == m_callees.end())
        return highest;
    for (const OperationName &callee : found->second)
        highest = std::max(highest, of(callee, now).value_or(Utilization{0.0}));
    return highest;
}

/// Returns the share of the recent starts that are of lower priority than \a admission, put the
/// same load on the chain, and could still be refused.
double ChainStartLimiter::refusableShare(const Admission &admission, TimePoint now) const
{
    double all = 0.0;
    double refusable = 0.0;
    for (const auto &[operation, other] : m_admissions) {
        const double age = seconds(now - other.lastChange) / seconds(feedbackDelay);
        const bool hasSameLoad = other.load >= sameLoadShare * admission.load;
        if (!hasSameLoad)
            continue;
        const double starts = other.starts * std::exp(-age);
        all += starts;
        if (other.rank > admission.rank)
            refusable += starts * (1.0 - minShare);
    }
    return all > 0.0 ? refusable / all : 0.0;
}

bool ChainStartLimiter::admits(const OperationName &operation, std::optional<Utilization> load,
                               Rank rank, double draw, TimePoint now)
{
    Admission &admission = m_admissions[operation];
    const Duration elapsed = now - admission.lastChange;
    const double weight = weightAfter(elapsed, feedbackDelay);
    admission.lastChange = now;
    admission.rank = rank;
    admission.load = load.value_or(Utilization{0.0}).value();
    admission.starts *= 1.0 - weight;
    admission.causingShare += weight * (admission.share - admission.causingShare);
    if (load) {
        const double loadLeft = admission.load * (1.0 - refusableShare(admission, now));
        admission.share = admission.causingShare * utilizationLimit / std::max(0.01, loadLeft);
    } else {
        admission.share *= std::exp2(std::min(8.0, seconds(elapsed) / seconds(doublingTime)));
    }
    admission.share = std::clamp(admission.share, minShare, 1.0);
    const bool isAdmitted = draw < admission.share;
    admission.starts += isAdmitted ? 1.0 : 0.0;
    return isAdmitted;
}

} // namespace buckthornford
