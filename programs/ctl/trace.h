#pragma once

#include "ctl/client.h"

#include <ostream>
#include <string>
#include <vector>

namespace buckthornford {

/// One hop of a request, as a line of OTLP/JSON tells it.
struct TraceSpan
{
    std::string trace;
    std::string id;
    std::string parent;
    std::string name;
    std::string service;
    std::string instance;
    std::int64_t startNs = 0;
    std::int64_t endNs = 0;
    nlohmann::json attributes = nlohmann::json::object();
};

/// Reads the spans in lines of OTLP/JSON; lines that are none are left out.
std::vector<TraceSpan> parseSpans(const std::string &lines);

/// Collects the spans that all live nodes keep, by way of \a client's list of members.
std::vector<TraceSpan> collectSpans(const OperatorClient &client);

/// Prints the spans of \a trace as a tree. Returns how many there were.
std::size_t printTrace(std::ostream &out, const std::vector<TraceSpan> &spans,
                       const std::string &trace);

} // namespace buckthornford
