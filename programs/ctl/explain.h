#pragma once

#include <cstddef>
#include <istream>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace buckthornford {

/// One line of a node's log that tells of a request.
struct RequestLogLine
{
    std::string prefix; ///< what stands before the JSON object, such as the node's name
    std::string event;
    std::string fields; ///< "name=value ..." of the rest
    double timeMs = 0.0;
};

/// The log lines of a request and of the calls made for it, by the id of each.
using RequestLog = std::map<std::string, std::vector<RequestLogLine>>;

/// Reads the lines of \a log that tell of request \a id or of a call made for it, however deep;
/// calls are named by the id of the request that makes them, a dot and more. Lines that hold no
/// JSON object are passed over.
RequestLog readRequestLog(std::istream &log, const std::string &id);

/// Prints \a lines as a tree, calls below the request that made them. Returns how many lines.
std::size_t printRequestTree(std::ostream &out, const RequestLog &lines);

} // namespace buckthornford
