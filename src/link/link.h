#pragma once

/// Streams between nodes: the encoding of their messages, and their transport by gRPC. Makes no
/// decisions on the messages.

#include "call/call.h"
#include "membership/membership.h"
#include "settings/settings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

namespace buckthornford {

/// The first message on a stream, from each side: tells who the sender is.
struct Hello
{
    PeerRef peer;
};

/// Asks a target's node to give up one attempt.
struct Cancel
{
    RequestId request;
    AttemptNumber attempt;
};

/// Asks the other side for a Pong, to check that the stream still works.
struct Ping
{};

struct Pong
{};

/// One message between nodes.
using Frame = std::variant<Hello, RunRequest, Answer, Cancel, Gossip, Ping, Pong>;

/// The sending side of a stream. Any thread may post.
class FrameSink
{
public:
    virtual ~FrameSink() = default;

    /// Queues \a frame for sending, or drops it if the stream has ended.
    virtual void post(const Frame &frame) = 0;
};

/// Identifies one stream within a process; never 0.
using StreamId = Strong<std::uint64_t, struct StreamTag>;

/// Events of incoming streams, those that other nodes opened. Called on gRPC's threads;
/// implementations post them to a task.
class LinkServerEvents
{
public:
    virtual ~LinkServerEvents() = default;
    virtual void onOpened(StreamId stream, std::shared_ptr<FrameSink> sink) = 0;
    virtual void onFrame(StreamId stream, Frame frame) = 0;
    virtual void onClosed(StreamId stream) = 0;
};

/// The gRPC server that accepts streams from other nodes. It answers pings itself.
class LinkServer
{
public:
    /// Listens on \a endpoint and introduces itself as \a self on every stream.
    /// Error::BindFailed if the endpoint can't be bound.
    static Result<std::unique_ptr<LinkServer>> listen(const Endpoint &endpoint, const PeerRef &self,
                                                      LinkServerEvents *events);
    ~LinkServer();
    LinkServer(const LinkServer &) = delete;
    LinkServer &operator=(const LinkServer &) = delete;

private:
    struct Private;
    explicit LinkServer(std::unique_ptr<Private> d);
    std::unique_ptr<Private> m_d;
};

/// Events of outgoing streams, those that this node opened. Called on gRPC's threads.
class LinkClientEvents
{
public:
    virtual ~LinkClientEvents() = default;

    /// A frame has arrived; pongs are not reported.
    virtual void onFrame(const InstanceId &peer, Frame frame) = 0;

    /// The stream has ended. \a wasOpen tells whether the peer's Hello had arrived before.
    virtual void onEnded(const InstanceId &peer, StreamId stream, bool wasOpen) = 0;
};

/// The outgoing streams of one task, at most one for each instance. Only that task calls it.
class LinkClient
{
public:
    struct Settings
    {
        Duration connectTimeout{std::chrono::milliseconds(1000)}; ///< until the peer's Hello
        Duration silenceTimeout{std::chrono::milliseconds(1000)}; ///< without a frame received
        Duration pingInterval{std::chrono::milliseconds(300)};
        Duration seedIdleTimeout{std::chrono::milliseconds(900)}; ///< idleTimeout, for a seed
        Duration idleTimeout{std::chrono::seconds(30)};           ///< without a frame sent
        std::map<std::string, std::string>
                dialOverrides; ///< address to dial, by advertised address
    };

    LinkClient(PeerRef self, LinkClientEvents *events, Settings settings);
    ~LinkClient();
    LinkClient(const LinkClient &) = delete;
    LinkClient &operator=(const LinkClient &) = delete;

    /// Sends \a frame, opening a stream to \a peer if there is none. A stream to another
    /// incarnation or address of the same instance is ended first.
    void send(const PeerRef &peer, const Frame &frame, TimePoint now);

    /// Sends \a frame if there is a stream to \a peer. Returns whether there is one.
    bool sendIfOpen(const InstanceId &peer, const Frame &frame, TimePoint now);

    /// Removes an ended stream. Returns whether it was the current stream to \a peer.
    bool removeStream(const InstanceId &peer, StreamId stream);

    /// Sends the pings that are due and ends streams that are silent or idle; onEnded() reports
    /// them.
    void tick(TimePoint now);

    std::size_t size() const { return m_streams.size(); }

private:
    struct Stream;

    void open(const PeerRef &peer, TimePoint now);

    class StreamReaper;

    PeerRef m_self;
    LinkClientEvents *m_events;
    Settings m_settings;
    std::shared_ptr<StreamReaper> m_reaper;
    std::unordered_map<InstanceId, Stream> m_streams;
};

/// Returns the encoded size, in bytes, of all batches that this process has written to gRPC
/// streams.
std::uint64_t sentPeerBytes();

/// Encodes \a frames as one batch, for tests and fuzzers.
std::string encodeBatch(const std::vector<Frame> &frames);

/// Decodes one batch. Error::Internal if it is malformed. Frames that can't be decoded (unknown
/// kind, value out of range, wrong checksum) are left out.
Result<std::vector<Frame>> decodeBatch(std::string_view bytes);

} // namespace buckthornford
