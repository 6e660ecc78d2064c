#include "preset/preset.h"

#include <cstdlib>

/// Configuration document from an operator: one that is accepted must parse again after it is
/// written as JSON. A configuration from the table or a peer is only decoded.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    (void)buckthornford::parseConfiguration(text);
    const auto document = buckthornford::parseDocument(text);
    if (document && !buckthornford::parseDocument(buckthornford::toJsonText(document.value())))
        std::abort();
    return 0;
}
