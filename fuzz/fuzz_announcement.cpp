#include "platform/platform.h"

#include <cstdlib>

/// Heartbeat of an upstream: one that is accepted has at least one slot. A deregistration is only
/// decoded.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const auto codec = buckthornford::platform::createAdapter().announcements;
    buckthornford::ServerRequest request;
    request.method = "POST";
    request.target = "/rpc?call=instances.heartbeat&of=i-1";
    request.body = std::string(reinterpret_cast<const char *>(data), size);
    const auto announcement = codec->read(request);
    if (announcement && announcement.value().slots.value() == 0)
        std::abort();
    request.target = "/rpc?call=instances.deregister&of=i-1";
    (void)codec->read(request);
    return 0;
}
