#include "platform/platform.h"

#include <cstdlib>

/// An answer of the store: the rows that are taken have keys.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const auto dialect = buckthornford::platform::createAdapter().store;
    buckthornford::ClientResponse answer;
    answer.status = 200;
    answer.body.assign(reinterpret_cast<const char *>(data), size);
    for (const buckthornford::StoredRow &row : dialect->read(answer).rows) {
        if (row.key.empty())
            std::abort();
    }
    return 0;
}
