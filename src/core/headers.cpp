#include "core/headers.h"

#include <algorithm>

#include <strings.h>

namespace buckthornford {

const std::string *findHeader(const HttpHeaders &headers, std::string_view name)
{
    const auto hasName = [name](const auto &header) {
        return header.first.size() == name.size()
               && strncasecmp(header.first.data(), name.data(), name.size()) == 0;
    };
    const auto field = std::find_if(headers.begin(), headers.end(), hasName);
    return field == headers.end() ? nullptr : &field->second;
}

} // namespace buckthornford
