#pragma once

#include <cstddef>
#include <istream>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace buckthornford {

/// One line of a node's log that has the id of a request.
struct RequestLogLine
{
    std::string prefix; ///< text before the JSON object, such as the node's name
    std::string event;
    std::string fields; ///< all other fields as " name=value ..."
    double timeMs = 0.0;
};

/// The log lines of a request and of the calls made for it, by request id and in order of time.
using RequestLog = std::map<std::string, std::vector<RequestLogLine>>;

/// Reads the lines of \a log that belong to request \a id or to a call made for it, directly or
/// through other calls. The id of a call is the id of the request that makes it, a dot and a
/// suffix. Lines without a JSON object are skipped.
RequestLog readRequestLog(std::istream &log, const std::string &id);

/// Prints \a lines as a tree, each call below the request that made it. Returns the number of log
/// lines printed.
std::size_t printRequestTree(std::ostream &out, const RequestLog &lines);

} // namespace buckthornford
