#pragma once

#include "link/codec_p.h"

#include <mutex>

namespace buckthornford {

/// Adds to what sentPeerBytes() returns.
void countSentPeerBytes(std::size_t bytes);

/// A number for a new stream.
StreamId nextStreamId();

/// Frames that wait for a stream's writer. All that wait go out as one batch.
class Outbox
{
public:
    /// Queues \a frame. Returns whether the caller has to start a write.
    bool post(const Frame &frame)
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed)
            return false;
        encode(frame, m_waiting.add_frames());
        return !m_writing && takeBatch();
    }

    /// The last write has ended. Returns whether the caller has to start another.
    bool written()
    {
        const std::lock_guard lock(m_mutex);
        m_writing = false;
        return !m_closed && m_waiting.frames_size() > 0 && takeBatch();
    }

    /// Refuses further frames. Returns whether a write is still going on.
    bool close()
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        return m_writing;
    }

    bool isClosed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

    /// The batch to write; unchanged until written() is called.
    const wire::Batch *batch() const { return &m_batch; }

private:
    bool takeBatch()
    {
        m_batch.Clear();
        m_batch.Swap(&m_waiting);
        countSentPeerBytes(m_batch.ByteSizeLong());
        m_writing = true;
        return true;
    }

    mutable std::mutex m_mutex;
    wire::Batch m_waiting;
    wire::Batch m_batch;
    bool m_writing = false;
    bool m_closed = false;
};

} // namespace buckthornford
