#include "preset/preset.h"

#include <cstdlib>

/// A configuration document from an operator, and a configuration from the table or a peer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    (void)buckthornford::parseConfiguration(text);
    const auto document = buckthornford::parseDocument(text);
    if (document && !buckthornford::parseDocument(buckthornford::toJsonText(document.value())))
        std::abort();
    return 0;
}
