#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornford {

/// Header fields of an HTTP message in the order in which they came.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of header \a name (case-insensitive) or nullptr.
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);

} // namespace buckthornford
