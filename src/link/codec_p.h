#pragma once

#include "link/link.h"
#include "link/peer.pb.h"

#include <optional>

namespace buckthornford {

void encode(const Frame &frame, wire::Frame *out);

/// Returns nothing for a frame of unknown kind, with a value out of range, or with a request body
/// that doesn't match its checksum. Moves large fields out of \a frame.
std::optional<Frame> decode(wire::Frame *frame);

/// Returns what precedes the body of \a run in a batch that holds only \a run. Sending it and then
/// the body saves copies of a large body; receivers see a batch like any other.
std::string encodeBatchUpToBody(const RunRequest &run);

/// Decodes a batch that encodeBatchUpToBody() began, the bytes of \a buffer from \a offset to its
/// end. The run's body shares \a buffer. Returns nothing if the batch was encoded in another way,
/// or like decode().
std::optional<Frame> decodeRunWithBodyAtEnd(const std::shared_ptr<const std::string> &buffer,
                                            std::size_t offset);

/// Decodes the run, without its body, of a batch of \a batchSize bytes that encodeBatchUpToBody()
/// began. \a bytes are those that have arrived. Returns nothing if the body hasn't begun to arrive,
/// or the batch was encoded in another way.
std::optional<RunRequest> decodeRunHead(std::string_view bytes, std::size_t batchSize);

} // namespace buckthornford
