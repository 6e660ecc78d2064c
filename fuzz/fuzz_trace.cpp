#include "telemetry/telemetry.h"

#include <cstdlib>

/// A traceparent header from a caller.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto context = buckthornford::TraceContext::parse(text);
    if (context && buckthornford::TraceContext::parse(context.value().toHeader()).has_error())
        std::abort();
    return 0;
}
