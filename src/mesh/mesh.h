#pragma once

/// Streams between nodes: TCP connections that carry length-prefixed batches of protobuf frames.

#include "link/link.h"
#include "loop/listener.h"
#include "loop/loop.h"
#include "loop/suspicion.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace buckthornford {

/// Asks to send a frame on the outgoing stream to a peer. The stream is opened if there is none.
struct SendToPeer
{
    PeerRef peer;
    Frame frame;
};

/// Asks to send a frame on an incoming stream. The frame is dropped if the stream has ended.
struct SendOnIncomingStream
{
    StreamId stream;
    Frame frame;
};

using MeshMessage = std::variant<SendToPeer, SendOnIncomingStream, ConnectionsSuspected>;

/// Why a stream has ended.
enum class StreamEnd {
    Closed,    ///< the connection was closed, reset or refused
    Silent,    ///< the peer sent nothing for too long
    Replaced,  ///< a stream to another start of the peer takes its place
    Malformed, ///< the peer sent what is no message, or is another instance
};

/// Returns the name for the log.
std::string_view streamEndName(StreamEnd end);

/// Events on the streams. Hello, ping and pong frames are not reported.
class MeshEvents
{
public:
    virtual ~MeshEvents() = default;

    /// A frame has arrived on the outgoing stream to \a peer.
    virtual void onPeerFrame(const PeerRef &peer, Frame frame) = 0;

    /// The outgoing stream to \a peer has ended before the attempts in \a unanswered were answered.
    /// No other attempts at that peer are affected: a new stream to it may be in use already.
    /// \a wasOpen tells whether the peer had sent its hello: if so, the attempts may have arrived
    /// there; if not, they were not sent.
    virtual void onPeerStreamEnded(const InstanceId &peer, StreamEnd end, bool wasOpen,
                                   std::vector<AttemptRef> unanswered)
            = 0;

    /// A stream to \a peer was silent since \a silentSince, and a new one was opened at once.
    virtual void onSilentStreamReplaced(const InstanceId &peer, TimePoint silentSince) = 0;

    /// A frame has arrived on incoming \a stream, which \a from opened.
    virtual void onIncomingFrame(StreamId stream, const PeerRef &from, Frame frame) = 0;

    /// Incoming \a stream has ended.
    virtual void onIncomingStreamEnded(StreamId stream) = 0;
};

struct MeshSettings
{
    /// From opening an outgoing stream until the peer's hello.
    Duration connectTimeout{std::chrono::milliseconds(400)};
    /// Without a frame from the peer while an attempt is unanswered, until it is pinged.
    Duration pingAfter{std::chrono::milliseconds(400)};
    /// Without a frame from the peer while an attempt is unanswered, until the stream is ended.
    Duration silenceTimeout{std::chrono::milliseconds(1600)};
    /// Without a frame from the peer after a ping, while no attempt is unanswered, until the stream
    /// is ended. Shorter, since that costs no answer.
    Duration idleSilenceTimeout{std::chrono::milliseconds(800)};
    /// For the large bodies of runs from peers; null bounds only each.
    std::shared_ptr<MemoryBudget> runMemory{};
    /// Between pings of the outgoing stream from which nothing has arrived for the longest time.
    Duration probeInterval{std::chrono::seconds(1)};
};

class MeshStream;

/// The task that owns all streams and the listening socket for other nodes. It pings the peer of an
/// outgoing stream with each gossip message, while an attempt is unanswered and the peer sends
/// nothing, and now and then; if the silence lasts, it ends the stream.
class MeshTask : public LoopTask<MeshMessage>
{
public:
    /// Listens at \a endpoint and introduces this node to its peers as \a self. Returns
    /// Error::BindFailed if it can't listen there.
    static Result<std::unique_ptr<MeshTask>> listen(EventLoop *loop, const Endpoint &endpoint,
                                                    const PeerRef &self, MeshEvents *events,
                                                    MeshSettings settings);
    ~MeshTask() override;

    /// Bytes that were passed to sockets so far, length prefixes included.
    std::uint64_t sentBytes() const { return m_sentBytes; }

    /// Returns the number of incoming streams with frames, mostly answers, that are not yet wholly
    /// passed to their sockets.
    std::size_t unsentStreamCount() const;

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
    void on(ConnectionsSuspected &&message, TimePoint now);
    void probeQuietestStream(TimePoint now);
    void endSilentStreams(TimePoint now);
    std::shared_ptr<MeshStream> streamTo(const PeerRef &peer);
    void onOpened(MeshStream *stream);
    void onFrame(MeshStream *stream, Frame frame);
    void onEnded(MeshStream *stream, StreamEnd end);
    void scheduleFlush(const std::shared_ptr<MeshStream> &stream);

    std::unique_ptr<Listener> m_listener;
    PeerRef m_self;
    MeshEvents *m_events;
    MeshSettings m_settings;
    std::unordered_map<InstanceId, std::shared_ptr<MeshStream>> m_outgoing;
    std::unordered_map<StreamId, std::shared_ptr<MeshStream>> m_incoming;
    std::vector<std::shared_ptr<MeshStream>> m_flushQueue; ///< streams with queued frames
    /// A stream that has ended because it was silent.
    struct SilentEnd
    {
        TimePoint silentSince;
        TimePoint endTime;
    };
    std::unordered_map<InstanceId, SilentEnd> m_silentEnds; ///< the last one to each peer
    TimePoint m_nextProbe;
    std::uint64_t m_sentBytes = 0;
};

} // namespace buckthornford
