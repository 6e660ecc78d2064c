#include "idempotency/idempotency.h"

#include <cstdlib>

/// Idempotency key from a caller: one that is accepted must give the same text again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto key = buckthornford::IdempotencyKey::parse(text);
    if (key && key.value().toText() != text)
        std::abort();
    return 0;
}
