#pragma once

/// Streams between nodes: encoding of messages and gRPC. No decisions.

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

struct Hello
{
    PeerRef peer;
};

struct Cancel
{
    RequestId request;
    AttemptNumber attempt;
};

struct Ping
{};

struct Pong
{};

/// One message between nodes.
using Frame = std::variant<Hello, RunRequest, Answer, Cancel, Gossip, Ping, Pong>;

/// The sending end of a stream; any thread may post.
class FrameSink
{
public:
    virtual ~FrameSink() = default;

    /// Queues \a frame; dropped if the stream has ended.
    virtual void post(const Frame &frame) = 0;
};

/// A number that tells the streams of a process apart; never 0.
using StreamId = Strong<std::uint64_t, struct StreamTag>;

/// What happens on streams that other nodes opened. Called on gRPC's threads; implementations
/// post to a task.
class LinkServerEvents
{
public:
    virtual ~LinkServerEvents() = default;
    virtual void onOpened(StreamId channel, std::shared_ptr<FrameSink> sink) = 0;
    virtual void onFrame(StreamId channel, Frame frame) = 0;
    virtual void onClosed(StreamId channel) = 0;
};

/// The listening end. Answers pings by itself.
class LinkServer
{
public:
    /// Error::BindFailed if the endpoint can't be used.
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

/// What happens on streams that this node opened. Called on gRPC's threads.
class LinkClientEvents
{
public:
    virtual ~LinkClientEvents() = default;
    virtual void onFrame(const InstanceId &peer, Frame frame) = 0;

    /// The stream has ended; \a wasOpen if the peer had greeted before.
    virtual void onEnded(const InstanceId &peer, StreamId channel, bool wasOpen) = 0;
};

/// The streams that one task keeps to others. Belongs to that task alone.
class LinkClient
{
public:
    struct Settings
    {
        Duration connectTimeout{std::chrono::milliseconds(1000)}; ///< until the peer greets
        Duration silenceTimeout{std::chrono::milliseconds(1000)}; ///< without a frame or pong
        Duration pingInterval{std::chrono::milliseconds(300)};
        Duration seedIdleTimeout{std::chrono::milliseconds(900)}; ///< as idleLimit, to a seed
        Duration idleTimeout{std::chrono::seconds(30)};           ///< without a frame sent
        std::map<std::string, std::string>
                dialOverrides; ///< address to dial, by advertised address
    };

    LinkClient(PeerRef self, LinkClientEvents *events, Settings settings);
    ~LinkClient();
    LinkClient(const LinkClient &) = delete;
    LinkClient &operator=(const LinkClient &) = delete;

    /// Sends \a frame, opening a stream if there is none. A stream to another incarnation of the
    /// same instance is ended first.
    void send(const PeerRef &peer, const Frame &frame, TimePoint now);

    /// Sends \a frame on the open stream to \a peer. Returns whether there is one.
    bool sendIfOpen(const InstanceId &peer, const Frame &frame, TimePoint now);

    /// Forgets an ended stream. Returns whether it was the current one of \a peer.
    bool removeStream(const InstanceId &peer, StreamId channel);

    /// Pings, and ends streams that are silent or idle. A silent stream is reported as ended.
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

/// Bytes of batches that this process has written to streams so far.
std::uint64_t sentPeerBytes();

/// Encodes \a frames as one batch, for tests and fuzzers.
std::string encodeBatch(const std::vector<Frame> &frames);

/// Decodes one batch. Error::Internal if it is malformed; unknown frames are left out.
Result<std::vector<Frame>> decodeBatch(std::string_view bytes);

} // namespace buckthornford
