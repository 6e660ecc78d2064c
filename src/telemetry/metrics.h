#pragma once

#include "core/core.h"

#include <boost/histogram.hpp>

#include <array>
#include <map>
#include <string>

namespace buckthornford {

/// Histogram of latencies from 10 us to 100 s with logarithmic bins; the relative error is about
/// 2%.
class LatencyHistogram
{
public:
    LatencyHistogram();

    void record(Duration latency);
    std::uint64_t count() const { return m_count; }
    Duration sum() const { return m_sum; }

    /// Returns the latency that \a fraction (0 to 1) of the recorded latencies do not exceed: the
    /// upper edge of a bin; 0 if nothing is recorded.
    Duration quantile(double fraction) const;

    /// Returns how many recorded latencies lie in the bins up to and including that of \a limit.
    std::uint64_t countUpTo(Duration limit) const;

    /// Adds the latencies recorded in \a other.
    void merge(const LatencyHistogram &other);

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<std::uint32_t>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> m_histogram;
    std::uint64_t m_count = 0;
    Duration m_sum{0};
};

/// Returns the line of one counter in the Prometheus text exposition format (0.0.4).
std::string counterText(const std::string &name, std::uint64_t value);

/// Counters and histograms of the requests of one task, by class of request.
class RequestMetrics
{
public:
    /// Records the end of a request. \a reason is counted unless it is Error::None.
    void record(const ClassName &className, Outcome outcome, Error reason, Duration latency);
    void recordQueueWait(const ClassName &className, Duration wait);

    /// Returns all metrics in the Prometheus text exposition format (0.0.4); each name starts with
    /// \a prefix.
    std::string exposition(const std::string &prefix) const;

    struct ClassMetrics
    {
        LatencyHistogram latency;
        LatencyHistogram queueWait;
        std::array<std::uint64_t, 4> outcomes{}; ///< number of requests, by Outcome
        std::map<Error, std::uint64_t> reasons;  ///< number of requests
    };
    const std::map<ClassName, ClassMetrics> &classes() const { return m_classes; }

private:
    std::map<ClassName, ClassMetrics> m_classes;
};

} // namespace buckthornford
