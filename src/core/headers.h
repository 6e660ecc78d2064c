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

/// Returns whether the number \a status is a status code: one of 100 to 599 (RFC 9110, 15).
constexpr bool isStatusCode(int status)
{
    constexpr int first = 100;
    constexpr int last = 599;
    return status >= first && status <= last;
}

/// Returns whether \a status is that of a final response (RFC 9110, 15): an interim one (1xx)
/// announces another.
constexpr bool isFinalStatus(int status)
{
    constexpr int firstFinal = 200;
    return isStatusCode(status) && status >= firstFinal;
}

} // namespace buckthornford
