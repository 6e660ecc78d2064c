#pragma once

#include "link/codec_p.h"
#include "mesh/mesh.h"

#include <deque>
#include <optional>
#include <set>

namespace buckthornford {

/// A TCP connection to another node (outgoing) or from one (incoming).
class MeshStream : public std::enable_shared_from_this<MeshStream>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// Makes an outgoing stream to \a peer; connect() opens it.
    MeshStream(MeshTask *owner, PeerRef peer);

    /// Makes an incoming stream from an accepted \a socket.
    MeshStream(MeshTask *owner, Socket socket, StreamId id);

    void connect();

    /// Sends the hello of this node and starts to read.
    void start();

    /// Queues \a frame for the next flush().
    void post(const Frame &frame);

    /// Writes the queued frames as one batch, unless a write is in progress or the peer's hello has
    /// not arrived yet.
    void flush();

    /// Asks the peer for a pong, unless one is due already.
    void ping(TimePoint now);

    /// Pings the peer if an attempt is unanswered and nothing has arrived for a while. Returns
    /// false if the stream is to be ended: the hello has been missing for too long, or any
    /// frame after a ping or while an attempt is unanswered.
    bool keepAlive(const MeshSettings &settings, TimePoint now);

    /// Closes the socket without telling the owner.
    void close();

    bool isOutgoing() const { return m_id == StreamId{}; }
    bool wasOpen() const { return m_wasOpen; }
    bool hasUnsentFrames() const { return m_isWriting || !m_queued.empty(); }

    /// Returns the attempts that the peer has not answered, and forgets them.
    std::vector<AttemptRef> takeUnanswered();

    StreamId id() const { return m_id; }
    const PeerRef &peer() const { return m_peer; }
    TimePoint lastReceived() const { return m_lastReceived; }

    /// Returns the time of the first ping since which nothing has arrived; nothing if there is
    /// none.
    const std::optional<TimePoint> &pongDueSince() const { return m_pongDueSince; }

private:
    friend class MeshTask;

    /// Frames that are written together: either encoded ones, or a run with a large body, which is
    /// not copied.
    struct QueuedBatch
    {
        wire::Batch frames;
        std::optional<RunRequest> run;
    };

    void waitForData();
    void readData();
    void decodeBatches();
    void onFrame(Frame frame);
    void onHello(const PeerRef &peer);
    wire::Batch &queuedFrames();
    void write(QueuedBatch batch);
    void onWritten(bool isWhole);
    void decodeBatch(std::string_view bytes);
    void decodeLargeBatch(std::size_t offset, std::size_t end);
    void prepareForLargeBatch();
    bool refuseLargeRun(std::size_t batchSize);
    /// Closes the socket and tells the owner that the stream has ended.
    void closeAndReport(StreamEnd end);

    MeshTask *m_owner;
    Socket m_socket;
    PeerRef m_peer;
    StreamId m_id; ///< zero for an outgoing stream
    std::string m_readBuffer;
    std::size_t m_bytesToSkip = 0;           ///< of a run that was refused, and is still arriving
    std::optional<HeldMemory> m_batchMemory; ///< of the large batch that is arriving
    std::string m_writeBuffer;
    std::deque<QueuedBatch> m_queued; ///< for the next flushes
    wire::Batch m_spareFrames;        ///< written and cleared; keeps its memory for later ones
    TimePoint m_startTime;
    TimePoint m_lastReceived;
    TimePoint m_lastPing;
    std::optional<TimePoint> m_pongDueSince; ///< first ping since the last frame from the peer
    TimePoint m_unansweredSince;             ///< when m_unanswered last became non-empty
    std::set<AttemptRef> m_unanswered;
    bool m_isConnected = false;
    bool m_wasOpen = false; ///< the peer's hello has arrived
    bool m_isWriting = false;
    bool m_isClosed = false;
    bool m_isFlushScheduled = false;
};

} // namespace buckthornford
