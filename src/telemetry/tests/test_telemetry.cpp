#define BOOST_TEST_MODULE telemetry
#include "telemetry/event_log.h"
#include "telemetry/telemetry.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <random>

#include <unistd.h>

using namespace buckthornford;

BOOST_AUTO_TEST_CASE(quantilesAreWithinFivePercentOfExactOnes)
{
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> latency(9.0, 1.0);
    LatencyHistogram histogram;
    std::vector<std::int64_t> values;
    for (int i = 0; i < 20'000; ++i) {
        values.push_back(static_cast<std::int64_t>(latency(random)));
        histogram.record(Duration{values.back()});
    }
    std::sort(values.begin(), values.end());
    for (const double fraction : {0.5, 0.9, 0.99, 0.999}) {
        const auto index
                = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
        const auto exact = static_cast<double>(values[index]);
        const auto quantile = static_cast<double>(histogram.quantile(fraction).count());
        BOOST_TEST(quantile == exact, boost::test_tools::tolerance(0.05));
    }
}

BOOST_AUTO_TEST_CASE(traceparentRoundTrips)
{
    const std::string header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const Result<TraceContext> context = TraceContext::parse(header);
    BOOST_TEST(context.value().toHeader() == header);
    BOOST_TEST(context.value().sampled);
    BOOST_TEST(context.value().child().span != context.value().span);
}

BOOST_AUTO_TEST_CASE(malformedTraceparentsAreNotParsed)
{
    for (const char *header : {"", "00", "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                               "00-0af7651916cd43dd8448eb211c80319c-b7ad6b716920333-001",
                               "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                               "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                               "00-0af7651916cd43dd8448eb211c80319x-b7ad6b7169203331-01"})
        BOOST_TEST(!TraceContext::parse(header).has_value());
}

BOOST_AUTO_TEST_CASE(bufferKeepsNewestUnsampledSpansThatDidNotComplete)
{
    SpanBuffer buffer(2);
    Span span;
    buffer.add(span);
    BOOST_TEST(buffer.spans().empty());
    span.outcome = Outcome::NotRun;
    for (int i = 0; i < 3; ++i)
        buffer.add(span);
    BOOST_TEST(buffer.spans().size() == 2);
    const auto line = nlohmann::json::parse(toOtlpLine(span));
    BOOST_TEST(line["resourceSpans"][0]["scopeSpans"][0]["spans"][0]["status"]["code"] == 2);
}

BOOST_AUTO_TEST_CASE(expositionHasOutcomeCountsAndLatencyBuckets)
{
    RequestMetrics metrics;
    metrics.record(ClassName{"affirmation"}, Outcome::NotRun, Error::QueueFull, Duration{700});
    const std::string text = metrics.exposition("x");
    BOOST_TEST(text.find("x_requests_total{class=\"affirmation\",outcome=\"not-run\"} 1")
               != std::string::npos);
    BOOST_TEST(text.find("x_latency_seconds_bucket{class=\"affirmation\",le=\"0.001\"} 1")
               != std::string::npos);
}

/// Guards against: the lines that a closed descriptor didn't take were neither written nor counted,
/// and those of a full one counted as a single line.
BOOST_AUTO_TEST_CASE(linesThatTheDescriptorDoesNotTakeAreCounted)
{
    (void)std::signal(SIGPIPE, SIG_IGN);
    std::array<int, 2> ends{};
    BOOST_REQUIRE(pipe(ends.data()) == 0);
    EventLog::Settings settings;
    settings.descriptor = ends[1];
    settings.bufferBytes = 100;
    EventLog log(settings);
    const TimePoint now = monotonicNow();
    const auto writeLines = [&log, now](int count) {
        for (int i = 0; i < count; ++i)
            log.write(LogCategory::Process, "started", {}, now);
        log.flush();
    };
    const std::vector<char> filler(1U << 20U, 'x'); // More than the pipe takes.
    BOOST_REQUIRE(write(ends[1], filler.data(), filler.size()) > 0);
    writeLines(8);
    BOOST_TEST(log.droppedCount() == 8U);
    close(ends[0]);
    writeLines(2);
    BOOST_TEST(log.droppedCount() == 10U);
    close(ends[1]);
}
