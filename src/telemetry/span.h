#pragma once

#include "core/core.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornford {

/// Ids of a trace and of one span in it, as W3C Trace Context passes them on.
struct TraceContext
{
    std::uint64_t traceHigh = 0; ///< upper 64 bits of the trace id
    std::uint64_t traceLow = 0;  ///< lower 64 bits of the trace id
    std::uint64_t span = 0;      ///< span id; 0 in a new trace, before child()
    bool sampled = false;

    /// Returns a new trace with a random id.
    static TraceContext create(bool sampled);

    /// Parses the value of a traceparent header. Error::MalformedHeader if it is malformed, of
    /// another version than 00, or has an id of 0.
    static Result<TraceContext> parse(std::string_view header);

    /// Returns the value of a traceparent header.
    std::string toHeader() const;

    /// Returns the same trace with a new random span id.
    TraceContext child() const;
};

/// The part that one node had in a call, once it has ended.
struct Span
{
    TraceContext context;
    std::uint64_t parent = 0; ///< id of the parent span; 0 if there is none
    std::string_view name;    ///< "entry" (dispatcher) or "gate" (admission controller)
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

/// Returns \a span as one line of OTLP/JSON, a TracesData message.
std::string toOtlpLine(const Span &span);

/// Keeps the newest spans in memory, at most \a capacity. Spans of unsampled traces are kept only
/// if their outcome is not Outcome::Completed.
class SpanBuffer
{
public:
    explicit SpanBuffer(std::size_t capacity)
        : m_capacity(capacity)
    {}

    /// Adds \a span if it is to be kept; the oldest span goes if there is no room.
    void add(Span span);
    const std::deque<Span> &spans() const { return m_spans; }

private:
    std::size_t m_capacity;
    std::deque<Span> m_spans;
};

} // namespace buckthornford
