#include "platform/platform.h"

#include <cstdlib>

/// Response of the store: the rows that are accepted have keys.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const auto codec = buckthornford::platform::createAdapter().store;
    buckthornford::ClientResponse response;
    response.status = 200;
    response.body.assign(reinterpret_cast<const char *>(data), size);
    for (const buckthornford::StoredRow &row : codec->read(response).rows) {
        if (row.key.empty())
            std::abort();
    }
    return 0;
}
