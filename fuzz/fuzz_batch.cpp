#include "link/codec_p.h"
#include "link/link.h"

#include <cstdlib>

/// Batch of frames from another node: one that decodes must keep its number of frames when it is
/// encoded and decoded again. If it also decodes as a run with its body at the end, both ways have
/// to give the same run.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto frames = buckthornford::decodeBatch(bytes);
    const auto run
            = buckthornford::decodeRunWithBodyAtEnd(std::make_shared<const std::string>(bytes), 0);
    if (run
        && (!frames
            || buckthornford::encodeBatch({*run}) != buckthornford::encodeBatch(frames.value())))
        std::abort();
    if (!frames)
        return 0;
    const auto decodedAgain
            = buckthornford::decodeBatch(buckthornford::encodeBatch(frames.value()));
    if (!decodedAgain || decodedAgain.value().size() != frames.value().size())
        std::abort();
    return 0;
}
