#include "platform/platform.h"

#include <cstdlib>

/// Settings file of the users' platform: one that is accepted names an instance.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto settings = buckthornford::platform::parseSettings(text);
    if (settings && settings.value().instance.value().empty())
        std::abort();
    return 0;
}
