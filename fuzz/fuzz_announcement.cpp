#include "platform/platform.h"

#include <cstdlib>

/// A report of an upstream: one that is taken names an upstream.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const auto dialect = buckthornford::platform::createAdapter().announcements;
    buckthornford::ServerRequest request;
    request.method = "POST";
    request.target = "/rpc?call=instances.heartbeat&of=i-1";
    request.body.assign(reinterpret_cast<const char *>(data), size);
    const auto news = dialect->read(request);
    if (news && news.value().slots.value() == 0)
        std::abort();
    request.target = "/rpc?call=instances.deregister&of=i-1";
    (void)dialect->read(request);
    return 0;
}
