#pragma once

#include "ctl/client.h"

#include <ostream>
#include <string>
#include <vector>

namespace buckthornford {

/// One span of a trace: the work of one node on one hop of a request, read from OTLP/JSON.
struct TraceSpan
{
    std::string trace; ///< trace id
    std::string id;
    std::string parent; ///< span id of the parent, empty if there is none
    std::string name;
    std::string service;
    std::string instance;
    std::int64_t startNs = 0;                             ///< nanoseconds since the Unix epoch
    std::int64_t endNs = 0;                               ///< nanoseconds since the Unix epoch
    nlohmann::json attributes = nlohmann::json::object(); ///< values as text, by name
};

/// Reads the spans in lines of OTLP/JSON; skips lines that hold no spans.
std::vector<TraceSpan> parseSpans(const std::string &lines);

/// Reads the spans that nodes hold in memory, from every member that \a client's node lists and
/// that can be reached.
std::vector<TraceSpan> collectSpans(const OperatorClient &client);

/// Prints the spans of \a trace as trees, children below their parent in order of start. Returns
/// the number of spans printed.
std::size_t printTrace(std::ostream &out, const std::vector<TraceSpan> &spans,
                       const std::string &trace);

} // namespace buckthornford
