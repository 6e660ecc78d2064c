#include "telemetry/telemetry.h"

namespace buckthornford {

namespace {

constexpr std::size_t hexLength = 16;
constexpr std::size_t headerLength = 55; // "00-" 32 "-" 16 "-" 2

nlohmann::json attribute(std::string_view key, nlohmann::json value)
{
    return {{"key", key}, {"value", std::move(value)}};
}

nlohmann::json text(std::string_view value)
{
    return {{"stringValue", value}};
}

nlohmann::json number(std::uint64_t value)
{
    // OTLP/JSON writes 64-bit integers as decimal strings.
    return {{"intValue", std::to_string(value)}};
}

std::string nanoseconds(WallTime time)
{
    constexpr std::int64_t nanosecondsPerMicrosecond = 1000;
    return std::to_string(time.value() * nanosecondsPerMicrosecond);
}

} // namespace

TraceContext TraceContext::create(bool sampled)
{
    return {randomNumber(), randomNumber(), 0, sampled};
}

Result<TraceContext> TraceContext::parse(std::string_view header)
{
    const bool hasShape = header.size() == headerLength && header.starts_with("00-")
                          && header[35] == '-' && header[52] == '-';
    if (!hasShape)
        return Error::MalformedHeader;
    const auto traceHigh = fromHex(header.substr(3, hexLength));
    const auto traceLow = fromHex(header.substr(19, hexLength));
    const auto span = fromHex(header.substr(36, hexLength));
    const auto flags = fromHex(header.substr(53, 2));
    if (!traceHigh || !traceLow || !span || !flags)
        return Error::MalformedHeader;
    if ((*traceHigh | *traceLow) == 0 || *span == 0)
        return Error::MalformedHeader;
    return TraceContext{*traceHigh, *traceLow, *span, (*flags & 1U) != 0};
}

std::string TraceContext::toHeader() const
{
    return "00-" + toHex(traceHigh) + toHex(traceLow) + "-" + toHex(span)
           + (sampled ? "-01" : "-00");
}

TraceContext TraceContext::child() const
{
    return {traceHigh, traceLow, randomNumber(), sampled};
}

std::string toOtlpLine(const Span &span)
{
    constexpr int spanKindServer = 2;
    constexpr int statusOk = 1;
    constexpr int statusError = 2;
    const nlohmann::json attributes = nlohmann::json::array({
            attribute("operation", text(span.operation.value())),
            attribute("class", text(span.className.value())),
            attribute("revision", number(span.revision.value())),
            attribute("attempts", number(span.attempts.value())),
            attribute("budget_left", number(span.retryBudgetLeft.value())),
            attribute("queue_wait_us", number(static_cast<std::uint64_t>(span.queueWait.count()))),
            attribute("outcome", text(outcomeName(span.outcome))),
            attribute("reason", text(errorRow(span.reason).name)),
    });
    nlohmann::json body{
            {"traceId", toHex(span.context.traceHigh) + toHex(span.context.traceLow)},
            {"spanId", toHex(span.context.span)},
            {"name", span.name},
            {"kind", spanKindServer},
            {"startTimeUnixNano", nanoseconds(span.start)},
            {"endTimeUnixNano", nanoseconds(span.end)},
            {"attributes", attributes},
            {"status", {{"code", span.outcome == Outcome::Completed ? statusOk : statusError}}},
    };
    if (span.parent != 0)
        body["parentSpanId"] = toHex(span.parent);
    const nlohmann::json resource{
            {"attributes",
             nlohmann::json::array(
                     {attribute("service.name", text(span.service.value())),
                      attribute("service.instance.id", text(span.instance.value()))})}};
    const nlohmann::json scope{{"scope", {{"name", "buckthornford"}}},
                               {"spans", nlohmann::json::array({body})}};
    return nlohmann::json{
            {"resourceSpans",
             nlohmann::json::array(
                     {{{"resource", resource}, {"scopeSpans", nlohmann::json::array({scope})}}})}}
            .dump();
}

void SpanBuffer::add(Span span)
{
    if (!span.context.sampled && span.outcome == Outcome::Completed)
        return;
    if (m_spans.size() >= m_capacity)
        m_spans.pop_front();
    m_spans.push_back(std::move(span));
}

} // namespace buckthornford
