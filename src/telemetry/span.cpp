#include "telemetry/telemetry.h"

namespace buckthornford {

namespace {

constexpr std::size_t idHexLength = 16; // hexadecimal digits of 64 bits
// "00-", 32 digits of trace id, "-", 16 digits of span id, "-", 2 digits of flags.
constexpr std::size_t traceparentLength = 55;

/// Returns one attribute of OTLP/JSON; \a value comes from stringValue() or intValue().
nlohmann::json attribute(std::string_view key, nlohmann::json value)
{
    return {{"key", key}, {"value", std::move(value)}};
}

nlohmann::json stringValue(std::string_view value)
{
    return {{"stringValue", value}};
}

nlohmann::json intValue(std::uint64_t value)
{
    // OTLP/JSON writes 64-bit integers as decimal strings.
    return {{"intValue", std::to_string(value)}};
}

std::string toNanoseconds(WallTime time)
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
    const bool hasValidLayout = header.size() == traceparentLength && header.starts_with("00-")
                                && header[35] == '-' && header[52] == '-';
    if (!hasValidLayout)
        return Error::MalformedHeader;
    const auto traceHigh = fromHex(header.substr(3, idHexLength));
    const auto traceLow = fromHex(header.substr(19, idHexLength));
    const auto span = fromHex(header.substr(36, idHexLength));
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
            attribute("operation", stringValue(span.operation.value())),
            attribute("class", stringValue(span.className.value())),
            attribute("revision", intValue(span.revision.value())),
            attribute("attempts", intValue(span.attempts.value())),
            attribute("budget_left", intValue(span.retryBudgetLeft.value())),
            attribute("queue_wait_us",
                      intValue(static_cast<std::uint64_t>(span.queueWait.count()))),
            attribute("outcome", stringValue(outcomeName(span.outcome))),
            attribute("reason", stringValue(errorRow(span.reason).name)),
    });
    nlohmann::json spanJson{
            {"traceId", toHex(span.context.traceHigh) + toHex(span.context.traceLow)},
            {"spanId", toHex(span.context.span)},
            {"name", span.name},
            {"kind", spanKindServer},
            {"startTimeUnixNano", toNanoseconds(span.start)},
            {"endTimeUnixNano", toNanoseconds(span.end)},
            {"attributes", attributes},
            {"status", {{"code", span.outcome == Outcome::Completed ? statusOk : statusError}}},
    };
    if (span.parent != 0)
        spanJson["parentSpanId"] = toHex(span.parent);
    const nlohmann::json resourceJson{
            {"attributes",
             nlohmann::json::array(
                     {attribute("service.name", stringValue(span.service.value())),
                      attribute("service.instance.id", stringValue(span.instance.value()))})}};
    const nlohmann::json scopeJson{{"scope", {{"name", "buckthornford"}}},
                                   {"spans", nlohmann::json::array({spanJson})}};
    return nlohmann::json{
            {"resourceSpans",
             nlohmann::json::array({{{"resource", resourceJson},
                                     {"scopeSpans", nlohmann::json::array({scopeJson})}}})}}
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
