#include "link/outbox_p.h"

#include <atomic>

namespace buckthornford {

namespace {

std::atomic<std::uint64_t> sentBytes{0};

} // namespace

void countSentPeerBytes(std::size_t bytes)
{
    sentBytes.fetch_add(bytes, std::memory_order_relaxed);
}

std::uint64_t sentPeerBytes()
{
    return sentBytes.load(std::memory_order_relaxed);
}

StreamId nextStreamId()
{
    static std::atomic<std::uint64_t> last{0};
    return StreamId{++last};
}

} // namespace buckthornford
