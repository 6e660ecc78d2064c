#pragma once

#include "core/core.h"

#include <boost/histogram.hpp>

#include <array>
#include <map>
#include <string>

namespace buckthornford {

/// A latency histogram with a relative error of about 2%, from 10 us to 100 s.
class LatencyHistogram
{
public:
    LatencyHistogram();

    void record(Duration latency);
    std::uint64_t count() const { return m_count; }
    Duration sum() const { return m_sum; }

    /// Returns the latency below which \a fraction (0 to 1) of the records lie; 0 if empty.
    Duration quantile(double fraction) const;

    /// Counts records up to \a limit.
    std::uint64_t countUpTo(Duration limit) const;

    /// Adds the records of \a other.
    void merge(const LatencyHistogram &other);

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<std::uint32_t>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> m_histogram;
    std::uint64_t m_count = 0;
    Duration m_sum{0};
};

/// Returns one counter in the text exposition format (Prometheus 0.0.4).
std::string counterText(const std::string &name, std::uint64_t value);

/// Counters and histograms of one task, by class of request.
class RequestMetrics
{
public:
    void record(const ClassName &className, Outcome outcome, Error reason, Duration latency);
    void recordQueueWait(const ClassName &className, Duration wait);

    /// Adds the text exposition format (Prometheus 0.0.4) of all metrics, named with \a prefix.
    std::string exposition(const std::string &prefix) const;

    struct ClassMetrics
    {
        LatencyHistogram latency;
        LatencyHistogram queueWait;
        std::array<std::uint64_t, 4> outcomes{};
        std::map<Error, std::uint64_t> reasons;
    };
    const std::map<ClassName, ClassMetrics> &classes() const { return m_classes; }

private:
    std::map<ClassName, ClassMetrics> m_classes;
};

} // namespace buckthornford
