#include "link/link.h"

#include <cstdlib>

/// A batch of frames from another node: what decodes must encode and decode again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto frames = buckthornford::decodeBatch(bytes);
    if (!frames)
        return 0;
    const auto again = buckthornford::decodeBatch(buckthornford::encodeBatch(frames.value()));
    if (!again || again.value().size() != frames.value().size())
        std::abort();
    return 0;
}
