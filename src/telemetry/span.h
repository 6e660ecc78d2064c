#pragma once

#include "core/core.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornford {

/// The trace and the span that a hop continues (W3C Trace Context).
struct TraceContext
{
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;
    bool sampled = false;

    /// Starts a trace of its own.
    static TraceContext create(bool sampled);

    /// Parses a traceparent header. Error::MalformedHeader if it is not version 00.
    static Result<TraceContext> parse(std::string_view header);

    std::string toHeader() const;

    /// The same trace with a new span id.
    TraceContext child() const;
};

/// One finished hop.
struct Span
{
    TraceContext context;
    std::uint64_t parent = 0; ///< 0 for the first hop
    std::string_view name;    ///< "entry" or "gate"
    WallTime start;
    WallTime end;
    ServiceName service;
    OperationName operation;
    ClassName className;
    InstanceId instance;
    Revision revision;
    AttemptNumber attempts;
    Tokens retryBudgetLeft;
    Duration queueWait{0};
    Outcome outcome = Outcome::Completed;
    Error reason = Error::None;
};

/// One span as a line of OTLP/JSON (a TracesData message).
std::string toOtlpLine(const Span &span);

/// Keeps the newest spans in memory: sampled ones, and all that did not complete.
class SpanBuffer
{
public:
    explicit SpanBuffer(std::size_t capacity)
        : m_capacity(capacity)
    {}

    void add(Span span);
    const std::deque<Span> &spans() const { return m_spans; }

private:
    std::size_t m_capacity;
    std::deque<Span> m_spans;
};

} // namespace buckthornford
