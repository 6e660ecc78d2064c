#include "telemetry/telemetry.h"

#include <cstdlib>

/// traceparent header from a caller: one that is accepted must parse again after it is written.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto context = buckthornford::TraceContext::parse(text);
    if (context && buckthornford::TraceContext::parse(context.value().toHeader()).has_error())
        std::abort();
    return 0;
}
