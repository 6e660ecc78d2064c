#include "core/headers.h"

#include <algorithm>

#include <strings.h>

namespace buckthornford {

const std::string *findHeader(const HttpHeaders &headers, std::string_view name)
{
    const auto isSame = [name](const auto &header) {
        return header.first.size() == name.size()
               && strncasecmp(header.first.data(), name.data(), name.size()) == 0;
    };
    const auto found = std::find_if(headers.begin(), headers.end(), isSame);
    return found == headers.end() ? nullptr : &found->second;
}

} // namespace buckthornford
