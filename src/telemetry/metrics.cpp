#include "telemetry/telemetry.h"

#include <cmath>
#include <sstream>

namespace buckthornford {

namespace {

constexpr unsigned binCount = 400;
constexpr double minMicroseconds = 10.0;
constexpr double maxMicroseconds = 1e8;

/// Upper bounds of the histogram buckets in the exposition format (label le).
constexpr std::array exposedBounds{Duration{500},     Duration{1'000},     Duration{2'500},
                                   Duration{5'000},   Duration{10'000},    Duration{25'000},
                                   Duration{50'000},  Duration{100'000},   Duration{250'000},
                                   Duration{500'000}, Duration{1'000'000}, Duration{5'000'000}};

void writeHistogram(std::ostream &out, const std::string &name, const std::string &classLabel,
                    const LatencyHistogram &histogram)
{
    constexpr double microsecondsPerSecond = 1e6;
    for (const Duration bound : exposedBounds) {
        out << name << "_bucket{" << classLabel << ",le=\""
            << static_cast<double>(bound.count()) / microsecondsPerSecond << "\"} "
            << histogram.countUpTo(bound) << '\n';
    }
    out << name << "_bucket{" << classLabel << ",le=\"+Inf\"} " << histogram.count() << '\n'
        << name << "_sum{" << classLabel << "} "
        << static_cast<double>(histogram.sum().count()) / microsecondsPerSecond << '\n'
        << name << "_count{" << classLabel << "} " << histogram.count() << '\n';
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram_with(
            Storage(), Axis(binCount, minMicroseconds, maxMicroseconds)))
{}

void LatencyHistogram::record(Duration latency)
{
    m_histogram(static_cast<double>(latency.count()));
    m_sum += latency;
    ++m_count;
}

Duration LatencyHistogram::quantile(double fraction) const
{
    if (m_count == 0)
        return Duration{0};
    const auto neededCount
            = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(m_count)));
    std::uint64_t counted = 0;
    // Bin -1 holds latencies below the first bin, bin binCount those above the last.
    for (int bin = -1; bin <= static_cast<int>(binCount); ++bin) {
        counted += m_histogram.at(bin);
        if (counted >= neededCount)
            return Duration{static_cast<Duration::rep>(m_histogram.axis().value(bin + 1))};
    }
    return Duration{static_cast<Duration::rep>(maxMicroseconds)};
}

std::uint64_t LatencyHistogram::countUpTo(Duration limit) const
{
    const int lastBin = m_histogram.axis().index(static_cast<double>(limit.count()));
    std::uint64_t counted = 0;
    for (int bin = -1; bin <= lastBin; ++bin)
        counted += m_histogram.at(bin);
    return counted;
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    m_histogram += other.m_histogram;
    m_count += other.m_count;
    m_sum += other.m_sum;
}

std::string counterText(const std::string &name, std::uint64_t value)
{
    return name + ' ' + std::to_string(value) + '\n';
}

void RequestMetrics::record(const ClassName &className, Outcome outcome, Error reason,
                            Duration latency)
{
    ClassMetrics &metrics = m_classes[className];
    metrics.latency.record(latency);
    ++metrics.outcomes[static_cast<std::size_t>(outcome)];
    if (reason != Error::None)
        ++metrics.reasons[reason];
}

void RequestMetrics::recordQueueWait(const ClassName &className, Duration wait)
{
    m_classes[className].queueWait.record(wait);
}

std::string RequestMetrics::exposition(const std::string &prefix) const
{
    std::ostringstream out;
    for (const auto &[className, metrics] : m_classes) {
        const std::string classLabel = "class=\"" + className.value() + "\"";
        for (const Outcome outcome :
             {Outcome::Completed, Outcome::Failed, Outcome::NotRun, Outcome::Unknown}) {
            out << prefix << "_requests_total{" << classLabel << ",outcome=\""
                << outcomeName(outcome) << "\"} "
                << metrics.outcomes[static_cast<std::size_t>(outcome)] << '\n';
        }
        for (const auto &[reason, count] : metrics.reasons) {
            out << prefix << "_reasons_total{" << classLabel << ",reason=\""
                << errorRow(reason).name << "\"} " << count << '\n';
        }
        writeHistogram(out, prefix + "_latency_seconds", classLabel, metrics.latency);
        writeHistogram(out, prefix + "_queue_wait_seconds", classLabel, metrics.queueWait);
    }
    return out.str();
}

} // namespace buckthornford
