#pragma once

#include "link/link.h"
#include "link/peer.pb.h"

#include <optional>

namespace buckthornford {

void encode(const Frame &frame, wire::Frame *out);

/// Returns nothing for a frame of unknown kind or with values out of range.
std::optional<Frame> decode(wire::Frame *frame);

} // namespace buckthornford
