#pragma once

#include "link/link.h"
#include "link/peer.pb.h"

#include <optional>

namespace buckthornford {

void encode(const Frame &frame, wire::Frame *out);

/// Returns nothing for a frame of unknown kind, with a value out of range, or with a request body
/// that doesn't match its checksum. Moves large fields out of \a frame.
std::optional<Frame> decode(wire::Frame *frame);

} // namespace buckthornford
