#include "http1/http1.h"

#include <algorithm>
#include <array>

#include <strings.h>

namespace buckthornford {

namespace {

/// Hop-by-hop fields, and those that each side of a hop sets for itself.
constexpr std::array<std::string_view, 9> perHopFields{
        "Connection", "Keep-Alive",     "Proxy-Connection",  "TE",    "Trailer",
        "Upgrade",    "Content-Length", "Transfer-Encoding", "Expect"};

bool isSameName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

/// Returns the field names that the Connection header lists; these are hop-by-hop too.
std::vector<std::string> fieldsNamedByConnection(const HttpHeaders &headers)
{
    std::vector<std::string> names;
    for (const auto &[name, value] : headers) {
        if (!isSameName(name, "Connection"))
            continue;
        for (std::string &token : splitList(value, ',')) {
            const auto first = token.find_first_not_of(" \t");
            const auto last = token.find_last_not_of(" \t");
            if (first != std::string::npos)
                names.push_back(token.substr(first, last - first + 1));
        }
    }
    return names;
}

} // namespace

HttpHeaders endToEndHeaders(HttpHeaders headers)
{
    const std::vector<std::string> fieldsInConnection = fieldsNamedByConnection(headers);
    std::erase_if(headers, [&fieldsInConnection](const auto &header) {
        const auto matches
                = [&header](std::string_view name) { return isSameName(header.first, name); };
        return std::any_of(perHopFields.begin(), perHopFields.end(), matches)
               || std::any_of(fieldsInConnection.begin(), fieldsInConnection.end(), matches);
    });
    return headers;
}

} // namespace buckthornford
