#include "platform/platform.h"

#include <cstdlib>

/// Configuration of the users' platform, from the store or a peer: one that is accepted has a
/// revision. Its limits for callers are only decoded.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto configuration = buckthornford::platform::parseConfiguration(text);
    if (!configuration)
        return 0;
    (void)buckthornford::platform::createAdapter().store->callerLimits(text);
    if (configuration.value().revision == buckthornford::Revision{})
        std::abort();
    return 0;
}
