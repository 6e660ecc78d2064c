#pragma once

#include "link/codec_p.h"
#include "mesh/mesh.h"

#include <set>

namespace buckthornford {

/// One TCP connection to or from another node.
class MeshStream : public std::enable_shared_from_this<MeshStream>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// A stream that \a owner opens to \a peer.
    MeshStream(MeshTask *owner, PeerRef peer);

    /// A stream that was accepted.
    MeshStream(MeshTask *owner, Socket socket, StreamId channel);

    void connect();
    void begin();

    /// Queues \a frame for the next flush.
    void post(const Frame &frame);

    /// Writes what is queued, unless a write is going on.
    void flush();

    /// Pings a silent peer that owes a frame. Returns false if it has been silent for too long.
    bool keepAlive(const MeshSettings &settings, TimePoint now);

    /// Closes the socket without a report.
    void abandon();

    bool isOutgoing() const { return m_channel == StreamId{}; }
    bool wasOpen() const { return m_wasOpen; }

    /// Hands over the runs that the peer has not answered.
    std::vector<AttemptRef> takeOwed();

    StreamId channel() const { return m_channel; }
    const PeerRef &peer() const { return m_peer; }

private:
    friend class MeshTask;

    void waitForBytes();
    void readBytes();
    void readBatches();
    void receive(Frame frame);
    void greet(const PeerRef &peer);
    void write(wire::Batch *batch);
    void end();

    MeshTask *m_owner;
    Socket m_socket;
    PeerRef m_peer;
    StreamId m_channel;
    std::string m_in;
    std::string m_out;
    wire::Batch m_waiting;
    TimePoint m_opened;
    TimePoint m_lastReceived;
    TimePoint m_lastPing;
    TimePoint m_owedSince;       ///< of the oldest frame that is owed, roughly
    std::set<AttemptRef> m_owed; ///< runs that the peer has not answered
    bool m_isConnected = false;
    bool m_wasOpen = false;
    bool m_isWriting = false;
    bool m_isClosed = false;
    bool m_isDirty = false;
};

} // namespace buckthornford
