#include "link/outbox_p.h"

#include "link/peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <condition_variable>

namespace buckthornford {

/// Counts the streams that gRPC has not ended yet and keeps the ended ones until the client's own
/// thread destroys them: a gRPC channel, which each stream holds, must not be destroyed on gRPC's
/// threads.
class LinkClient::StreamReaper
{
public:
    void onStarted()
    {
        const std::lock_guard lock(m_mutex);
        ++m_runningCount;
    }

    void onEnded(std::shared_ptr<void> stream)
    {
        // Notifies under the lock: the waiting thread may destroy this object once it has the lock.
        const std::lock_guard lock(m_mutex);
        --m_runningCount;
        m_ended.push_back(std::move(stream));
        m_changed.notify_all();
    }

    /// Destroys the ended streams, on the calling thread and without holding the lock.
    void destroyEnded()
    {
        std::vector<std::shared_ptr<void>> ended;
        const std::lock_guard lock(m_mutex);
        ended.swap(m_ended);
    }

    /// Waits until gRPC has ended every stream.
    void waitForRunning()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_runningCount == 0; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_runningCount = 0;
    std::vector<std::shared_ptr<void>> m_ended;
};

namespace {

std::shared_ptr<grpc::Channel> createChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    // Makes each stream open a connection of its own: a shared one may have gone silent under an
    // earlier stream.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

/// A stream that this node opened. It holds a reference to itself until gRPC calls OnDone.
class ClientStream : public grpc::ClientBidiReactor<wire::Batch, wire::Batch>,
                     public std::enable_shared_from_this<ClientStream>
{
public:
    using EndedHandler = std::function<void(std::shared_ptr<void>)>;

    ClientStream(PeerRef peer, const std::string &address, LinkClientEvents *events,
                 EndedHandler endedHandler)
        : m_peer(std::move(peer))
        , m_endedHandler(std::move(endedHandler))
        , m_events(events)
        , m_id(nextStreamId())
        , m_channel(createChannel(address))
        , m_stub(wire::PeerDoor::NewStub(m_channel))
    {}

    void start(const PeerRef &self)
    {
        m_selfReference = shared_from_this();
        m_stub->async()->Link(&m_context, this);
        StartRead(&m_receivedBatch);
        AddHold(); // Required by gRPC, as writes are started outside of its callbacks.
        StartCall();
        post(Hello{self});
    }

    void post(const Frame &frame)
    {
        if (m_outbox.post(frame))
            StartWrite(m_outbox.batch());
    }

    /// Ends the stream; LinkClientEvents::onEnded() follows.
    void cancel() { m_context.TryCancel(); }

    StreamId id() const { return m_id; }

    /// Whether the peer's Hello has arrived.
    bool isOpen() const { return m_isOpen; }
    TimePoint lastReceived() const { return TimePoint{Duration{m_lastReceived.load()}}; }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            if (!m_outbox.close())
                removeHoldOnce();
            return;
        }
        m_lastReceived = monotonicNow().time_since_epoch().count();
        for (wire::Frame &encoded : *m_receivedBatch.mutable_frames()) {
            std::optional<Frame> frame = decode(&encoded);
            if (!frame)
                continue;
            if (std::holds_alternative<Hello>(*frame))
                m_isOpen = true;
            if (!std::holds_alternative<Pong>(*frame))
                m_events->onFrame(m_peer.instance, std::move(*frame));
        }
        StartRead(&m_receivedBatch);
    }

    void OnWriteDone(bool ok) override
    {
        if (m_outbox.onWritten()) {
            StartWrite(m_outbox.batch());
            return;
        }
        if (!ok || m_outbox.isClosed()) {
            m_outbox.close();
            removeHoldOnce();
        }
    }

    void OnDone(const grpc::Status &) override
    {
        m_outbox.close();
        m_events->onEnded(m_peer.instance, m_id, m_isOpen);
        const EndedHandler endedHandler = m_endedHandler;
        endedHandler(std::move(m_selfReference));
    }

private:
    void removeHoldOnce()
    {
        if (!m_isHoldRemoved.exchange(true))
            RemoveHold();
    }

    PeerRef m_peer;
    EndedHandler m_endedHandler;
    LinkClientEvents *m_events;
    StreamId m_id;
    std::shared_ptr<grpc::Channel> m_channel;
    std::unique_ptr<wire::PeerDoor::Stub> m_stub;
    grpc::ClientContext m_context;
    wire::Batch m_receivedBatch;
    Outbox m_outbox;
    std::atomic<bool> m_isOpen{false};
    std::atomic<bool> m_isHoldRemoved{false};
    std::atomic<Duration::rep> m_lastReceived{0};
    std::shared_ptr<ClientStream> m_selfReference;
};

} // namespace

struct LinkClient::Stream
{
    PeerRef peer;
    std::shared_ptr<ClientStream> reactor;
    TimePoint opened;
    TimePoint lastSent;
    TimePoint lastPing;
    bool isCancelled = false;
};

LinkClient::LinkClient(PeerRef self, LinkClientEvents *events, Settings settings)
    : m_self(std::move(self))
    , m_events(events)
    , m_settings(std::move(settings))
    , m_reaper(std::make_shared<StreamReaper>())
{}

LinkClient::~LinkClient()
{
    for (auto &[instance, stream] : m_streams)
        stream.reactor->cancel();
    m_streams.clear();
    m_reaper->waitForRunning();
    m_reaper->destroyEnded();
}

void LinkClient::open(const PeerRef &peer, TimePoint now)
{
    m_reaper->onStarted();
    const auto dialOverride = m_settings.dialOverrides.find(peer.address);
    auto stream = std::make_shared<ClientStream>(
            peer,
            dialOverride == m_settings.dialOverrides.end() ? peer.address : dialOverride->second,
            m_events, [reaper = m_reaper](std::shared_ptr<void> ended) {
                reaper->onEnded(std::move(ended));
            });
    m_streams[peer.instance] = Stream{peer, stream, now, now, now};
    stream->start(m_self);
}

void LinkClient::send(const PeerRef &peer, const Frame &frame, TimePoint now)
{
    auto found = m_streams.find(peer.instance);
    const bool isReplaced = found != m_streams.end()
                            && (found->second.peer.incarnation != peer.incarnation
                                || found->second.peer.address != peer.address);
    if (isReplaced) {
        // onEnded() still reports its end; removeStream() then returns false for it.
        found->second.reactor->cancel();
        m_streams.erase(found);
        found = m_streams.end();
    }
    if (found == m_streams.end()) {
        open(peer, now);
        found = m_streams.find(peer.instance);
    }
    found->second.lastSent = now;
    found->second.reactor->post(frame);
}

bool LinkClient::sendIfOpen(const InstanceId &peer, const Frame &frame, TimePoint now)
{
    const auto found = m_streams.find(peer);
    if (found == m_streams.end())
        return false;
    found->second.lastSent = now;
    found->second.reactor->post(frame);
    return true;
}

bool LinkClient::removeStream(const InstanceId &peer, StreamId stream)
{
    const auto found = m_streams.find(peer);
    if (found == m_streams.end() || found->second.reactor->id() != stream)
        return false;
    m_streams.erase(found);
    return true;
}

void LinkClient::tick(TimePoint now)
{
    m_reaper->destroyEnded();
    for (auto &[instance, stream] : m_streams) {
        if (stream.isCancelled)
            continue;
        const bool isOpen = stream.reactor->isOpen();
        const TimePoint lastReceived = std::max(stream.opened, stream.reactor->lastReceived());
        const Duration receiveTimeout
                = isOpen ? m_settings.silenceTimeout : m_settings.connectTimeout;
        // A seed is contacted only now and then and is not pinged: pings from every node of the
        // fleet would overload it.
        const bool isSeed = stream.peer.incarnation == Incarnation{0};
        const Duration idleTimeout = isSeed ? m_settings.seedIdleTimeout : m_settings.idleTimeout;
        const bool isIdle = now - stream.lastSent > idleTimeout;
        if (now - lastReceived > receiveTimeout || isIdle) {
            stream.isCancelled = true;
            stream.reactor->cancel();
            continue;
        }
        if (isOpen && !isSeed && now - stream.lastPing >= m_settings.pingInterval) {
            stream.lastPing = now;
            stream.reactor->post(Ping{});
        }
    }
}

} // namespace buckthornford
