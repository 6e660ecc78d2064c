#pragma once

/// Streams between nodes over TCP on an event loop: length-prefixed batches of protobuf frames.

#include "link/link.h"
#include "loop/listener.h"
#include "loop/loop.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <unordered_map>
#include <variant>

namespace buckthornford {

/// Sends on this node's stream to a peer; a stream is opened if there is none.
struct SendToPeer
{
    PeerRef peer;
    Frame frame;
};

/// Sends on a stream that a peer opened; dropped if it has ended.
struct SendOnIncomingStream
{
    StreamId stream;
    Frame frame;
};

using MeshMessage = std::variant<SendToPeer, SendOnIncomingStream>;

/// What happens on the streams. Frames that keep a stream alive are not reported.
class MeshEvents
{
public:
    virtual ~MeshEvents() = default;

    /// A frame on this node's own stream to \a peer.
    virtual void onPeerFrame(const PeerRef &peer, Frame frame) = 0;

    /// This node's stream to \a peer has ended without answers to \a unanswered. Only these are
    /// touched: another stream to the same peer may be in use already. \a wasOpen if the peer had
    /// greeted before, so that they may have arrived.
    virtual void onPeerStreamEnded(const InstanceId &peer, bool wasOpen,
                                   std::vector<AttemptRef> unanswered)
            = 0;

    /// A frame on a stream that \a from opened.
    virtual void onIncomingFrame(StreamId channel, const PeerRef &from, Frame frame) = 0;
    virtual void onIncomingStreamEnded(StreamId channel) = 0;
};

struct MeshSettings
{
    Duration connectTimeout{std::chrono::milliseconds(400)};  ///< until the peer greets
    Duration pingAfter{std::chrono::milliseconds(400)};       ///< without a frame while one is due
    Duration silenceTimeout{std::chrono::milliseconds(1600)}; ///< without a frame while one is due
};

class MeshStream;

/// The task that owns the listening socket for other nodes and all streams. A stream that owes
/// an answer and falls silent is pinged, and ended if even that brings nothing.
class MeshTask : public LoopTask<MeshMessage>
{
public:
    /// Listens at \a place for streams to \a self. Error::BindFailed if that can't be done.
    static Result<std::unique_ptr<MeshTask>> listen(EventLoop *loop, const Endpoint &place,
                                                    const PeerRef &self, MeshEvents *events,
                                                    MeshSettings settings);
    ~MeshTask() override;

    std::uint64_t sentBytes() const { return m_sentBytes; }

protected:
    void handle(MeshMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;
    void onBatchHandled(TimePoint now) override;

private:
    friend class MeshStream;
    MeshTask(EventLoop *loop, std::unique_ptr<Listener> listener, PeerRef self, MeshEvents *events,
             MeshSettings settings);
    void accept(boost::asio::ip::tcp::socket socket);
    void on(SendToPeer &&message, TimePoint now);
    void on(SendOnIncomingStream &&message, TimePoint now);
    std::shared_ptr<MeshStream> streamTo(const PeerRef &peer);
    void onFrame(MeshStream *stream, Frame frame);
    void onEnded(MeshStream *stream);
    void markDirty(const std::shared_ptr<MeshStream> &stream);

    std::unique_ptr<Listener> m_listener;
    PeerRef m_self;
    MeshEvents *m_events;
    MeshSettings m_settings;
    std::unordered_map<InstanceId, std::shared_ptr<MeshStream>> m_outgoing;
    std::unordered_map<StreamId, std::shared_ptr<MeshStream>> m_incoming;
    std::vector<std::shared_ptr<MeshStream>> m_dirty; ///< with frames that wait to be written
    std::uint64_t m_sentBytes = 0;
};

} // namespace buckthornford
