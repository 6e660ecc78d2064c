#pragma once

#include "link/codec_p.h"

#include <mutex>

namespace buckthornford {

/// Adds \a bytes to the count that sentPeerBytes() returns.
void countSentPeerBytes(std::size_t bytes);

/// Returns the id for a new stream.
StreamId nextStreamId();

/// Queue of frames to write to one stream. At most one write is in progress; all frames that are
/// posted meanwhile go out as the next batch. Any thread may call it.
class Outbox
{
public:
    /// Queues \a frame, or drops it after close(). Returns whether the caller has to start a write
    /// of batch().
    bool post(const Frame &frame)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosed)
            return false;
        encode(frame, m_waiting.add_frames());
        return !m_isWriting && startBatch();
    }

    /// Records that the write has ended. Returns whether the caller has to start another one.
    bool onWritten()
    {
        const std::lock_guard lock(m_mutex);
        m_isWriting = false;
        return !m_isClosed && m_waiting.frames_size() > 0 && startBatch();
    }

    /// Drops all frames that are posted from now on. Returns whether a write is in progress.
    bool close()
    {
        const std::lock_guard lock(m_mutex);
        m_isClosed = true;
        return m_isWriting;
    }

    bool isClosed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_isClosed;
    }

    /// The batch that is being written; unchanged until onWritten() is called.
    const wire::Batch *batch() const { return &m_batch; }

private:
    /// Makes the waiting frames the batch to write.
    bool startBatch()
    {
        m_batch.Clear();
        m_batch.Swap(&m_waiting);
        countSentPeerBytes(m_batch.ByteSizeLong());
        m_isWriting = true;
        return true;
    }

    mutable std::mutex m_mutex;
    wire::Batch m_waiting;
    wire::Batch m_batch;
    bool m_isWriting = false;
    bool m_isClosed = false;
};

} // namespace buckthornford
