#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornford {

/// Names and values of the header fields of an HTTP message, in the order of the message.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first header field \a name (case-insensitive), nullptr if there is
/// none.
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);

} // namespace buckthornford
