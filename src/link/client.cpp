#include "link/outbox_p.h"

#include "link/peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <condition_variable>

namespace buckthornford {

/// Streams that gRPC has not ended yet, and ended ones. A channel must not be destroyed on gRPC's
/// own threads, so ended streams wait here for their client.
class LinkClient::StreamReaper
{
public:
    void add()
    {
        const std::lock_guard lock(m_mutex);
        ++m_alive;
    }

    void end(std::shared_ptr<void> stream)
    {
        // Notifies under the lock: the waiter may destroy this as soon as it wakes.
        const std::lock_guard lock(m_mutex);
        --m_alive;
        m_streams.push_back(std::move(stream));
        m_changed.notify_all();
    }

    /// Destroys the ended streams on the calling thread.
    void clear()
    {
        std::vector<std::shared_ptr<void>> streams;
        const std::lock_guard lock(m_mutex);
        streams.swap(m_streams);
    }

    void waitForAll()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_alive == 0; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_alive = 0;
    std::vector<std::shared_ptr<void>> m_streams;
};

namespace {

std::shared_ptr<grpc::Channel> createChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    // A new stream must mean a new connection: an old one may have gone silent.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

/// A stream that this node opened. It keeps itself until gRPC calls OnDone.
class ClientStream : public grpc::ClientBidiReactor<wire::Batch, wire::Batch>,
                     public std::enable_shared_from_this<ClientStream>
{
public:
    using Ender = std::function<void(std::shared_ptr<void>)>;

    ClientStream(PeerRef peer, const std::string &address, LinkClientEvents *events, Ender ender)
        : m_peer(std::move(peer))
        , m_ender(std::move(ender))
        , m_events(events)
        , m_id(nextStreamId())
        , m_channel(createChannel(address))
        , m_stub(wire::PeerDoor::NewStub(m_channel))
    {}

    void begin(const PeerRef &self)
    {
        m_keep = shared_from_this();
        m_stub->async()->Link(&m_context, this);
        StartRead(&m_in);
        AddHold(); // Writes start outside of gRPC's callbacks.
        StartCall();
        post(Hello{self});
    }

    void post(const Frame &frame)
    {
        if (m_outbox.post(frame))
            StartWrite(m_outbox.batch());
    }

    /// Ends the stream; onEnded follows.
    void abandon() { m_context.TryCancel(); }

    StreamId id() const { return m_id; }
    bool isOpen() const { return m_open; }
    TimePoint lastReceived() const { return TimePoint{Duration{m_lastReceived.load()}}; }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            if (!m_outbox.close())
                releaseOnce();
            return;
        }
        m_lastReceived = monotonicNow().time_since_epoch().count();
        for (wire::Frame &encoded : *m_in.mutable_frames()) {
            std::optional<Frame> frame = decode(&encoded);
            if (!frame)
                continue;
            if (std::holds_alternative<Hello>(*frame))
                m_open = true;
            if (!std::holds_alternative<Pong>(*frame))
                m_events->onFrame(m_peer.instance, std::move(*frame));
        }
        StartRead(&m_in);
    }

    void OnWriteDone(bool ok) override
    {
        if (m_outbox.written()) {
            StartWrite(m_outbox.batch());
            return;
        }
        if (!ok || m_outbox.isClosed()) {
            m_outbox.close();
            releaseOnce();
        }
    }

    void OnDone(const grpc::Status &) override
    {
        m_outbox.close();
        m_events->onEnded(m_peer.instance, m_id, m_open);
        const Ender ender = m_ender;
        ender(std::move(m_keep));
    }

private:
    void releaseOnce()
    {
        if (!m_released.exchange(true))
            RemoveHold();
    }

    PeerRef m_peer;
    Ender m_ender;
    LinkClientEvents *m_events;
    StreamId m_id;
    std::shared_ptr<grpc::Channel> m_channel;
    std::unique_ptr<wire::PeerDoor::Stub> m_stub;
    grpc::ClientContext m_context;
    wire::Batch m_in;
    Outbox m_outbox;
    std::atomic<bool> m_open{false};
    std::atomic<bool> m_released{false};
    std::atomic<Duration::rep> m_lastReceived{0};
    std::shared_ptr<ClientStream> m_keep;
};

} // namespace

struct LinkClient::Stream
{
    PeerRef peer;
    std::shared_ptr<ClientStream> stream;
    TimePoint opened;
    TimePoint lastSent;
    TimePoint lastPing;
    bool isAbandoned = false;
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
        stream.stream->abandon();
    m_streams.clear();
    m_reaper->waitForAll();
    m_reaper->clear();
}

void LinkClient::open(const PeerRef &peer, TimePoint now)
{
    m_reaper->add();
    const auto dialled = m_settings.dialOverrides.find(peer.address);
    auto stream = std::make_shared<ClientStream>(
            peer, dialled == m_settings.dialOverrides.end() ? peer.address : dialled->second,
            m_events,
            [ended = m_reaper](std::shared_ptr<void> own) { ended->end(std::move(own)); });
    m_streams[peer.instance] = Stream{peer, stream, now, now, now};
    stream->begin(m_self);
}

void LinkClient::send(const PeerRef &peer, const Frame &frame, TimePoint now)
{
    auto found = m_streams.find(peer.instance);
    const bool isOther = found != m_streams.end()
                         && (found->second.peer.incarnation != peer.incarnation
                             || found->second.peer.address != peer.address);
    if (isOther) {
        // Its end is reported, and then taken as that of a stream no longer current.
        found->second.stream->abandon();
        m_streams.erase(found);
        found = m_streams.end();
    }
    if (found == m_streams.end()) {
        open(peer, now);
        found = m_streams.find(peer.instance);
    }
    found->second.lastSent = now;
    found->second.stream->post(frame);
}

bool LinkClient::sendIfOpen(const InstanceId &peer, const Frame &frame, TimePoint now)
{
    const auto found = m_streams.find(peer);
    if (found == m_streams.end())
        return false;
    found->second.lastSent = now;
    found->second.stream->post(frame);
    return true;
}

bool LinkClient::removeStream(const InstanceId &peer, StreamId channel)
{
    const auto found = m_streams.find(peer);
    if (found == m_streams.end() || found->second.stream->id() != channel)
        return false;
    m_streams.erase(found);
    return true;
}

void LinkClient::tick(TimePoint now)
{
    m_reaper->clear();
    for (auto &[instance, stream] : m_streams) {
        if (stream.isAbandoned)
            continue;
        const bool isOpen = stream.stream->isOpen();
        const TimePoint heard = std::max(stream.opened, stream.stream->lastReceived());
        const Duration limit = isOpen ? m_settings.silenceTimeout : m_settings.connectTimeout;
        // A seed is asked now and then; pings of the whole fleet would wear it down.
        const bool isSeed = stream.peer.incarnation == Incarnation{0};
        const Duration idleLimit = isSeed ? m_settings.seedIdleTimeout : m_settings.idleTimeout;
        const bool isIdle = now - stream.lastSent > idleLimit;
        if (now - heard > limit || isIdle) {
            stream.isAbandoned = true;
            stream.stream->abandon();
            continue;
        }
        if (isOpen && !isSeed && now - stream.lastPing >= m_settings.pingInterval) {
            stream.lastPing = now;
            stream.stream->post(Ping{});
        }
    }
}

} // namespace buckthornford
