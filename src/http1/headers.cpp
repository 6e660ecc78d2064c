#include "http1/http1.h"

#include <algorithm>
#include <array>

#include <strings.h>

namespace buckthornford {

namespace {

constexpr std::array<std::string_view, 9> connectionFields{
        "Connection", "Keep-Alive",     "Proxy-Connection",  "TE",    "Trailer",
        "Upgrade",    "Content-Length", "Transfer-Encoding", "Expect"};

bool isSameName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::vector<std::string> namedByConnection(const HttpHeaders &headers)
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
    const std::vector<std::string> named = namedByConnection(headers);
    std::erase_if(headers, [&named](const auto &header) {
        const auto isThis
                = [&header](std::string_view name) { return isSameName(header.first, name); };
        return std::any_of(connectionFields.begin(), connectionFields.end(), isThis)
               || std::any_of(named.begin(), named.end(), isThis);
    });
    return headers;
}

} // namespace buckthornford
