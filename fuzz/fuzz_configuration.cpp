#include "platform/platform.h"

#include <cstdlib>

/// The operator's configuration, from the store or a peer: what is taken has limits and routes.
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
