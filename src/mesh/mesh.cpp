#include "link/outbox_p.h"
#include "mesh/stream_p.h"

#include <algorithm>
#include <array>

namespace buckthornford {

namespace {

using boost::asio::ip::tcp;

constexpr Duration keepAliveCheckInterval = std::chrono::milliseconds(200);
/// Used while any outgoing stream waits for its peer's hello.
constexpr Duration handshakeCheckInterval = std::chrono::milliseconds(50);

} // namespace

std::string_view streamEndName(StreamEnd end)
{
    static constexpr std::array<std::string_view, 4> names{"closed", "silent", "replaced",
                                                           "malformed"};
    return names[static_cast<std::size_t>(end)];
}

Result<std::unique_ptr<MeshTask>> MeshTask::listen(EventLoop *loop, const Endpoint &endpoint,
                                                   const PeerRef &self, MeshEvents *events,
                                                   MeshSettings settings)
{
    Result<std::unique_ptr<Listener>> listener = Listener::open(loop, endpoint.host, endpoint.port);
    if (!listener)
        return listener.error();
    std::unique_ptr<MeshTask> task(
            new MeshTask(loop, std::move(listener.value()), self, events, std::move(settings)));
    task->m_listener->start(
            [mesh = task.get()](tcp::socket socket) { mesh->accept(std::move(socket)); });
    task->start();
    return task;
}

MeshTask::MeshTask(EventLoop *loop, std::unique_ptr<Listener> listener, PeerRef self,
                   MeshEvents *events, MeshSettings settings)
    : LoopTask(loop)
    , m_listener(std::move(listener))
    , m_self(std::move(self))
    , m_events(events)
    , m_settings(std::move(settings))
{}

MeshTask::~MeshTask()
{
    for (const auto &[peer, stream] : m_outgoing)
        stream->close();
    for (const auto &[id, stream] : m_incoming)
        stream->close();
}

std::size_t MeshTask::unsentStreamCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_incoming.begin(), m_incoming.end(),
                          [](const auto &item) { return item.second->hasUnsentFrames(); }));
}

void MeshTask::accept(tcp::socket socket)
{
    const StreamId id = nextStreamId();
    const auto stream = std::make_shared<MeshStream>(this, std::move(socket), id);
    m_incoming.emplace(id, stream);
    stream->start();
}

void MeshTask::handle(MeshMessage &&message, TimePoint now)
{
    std::visit(
            [this, now](auto &&alternative) {
                on(std::forward<decltype(alternative)>(alternative), now);
            },
            std::move(message));
}

std::shared_ptr<MeshStream> MeshTask::streamTo(const PeerRef &peer)
{
    const auto found = m_outgoing.find(peer.instance);
    if (found != m_outgoing.end()) {
        const PeerRef &known = found->second->peer();
        const bool isSame
                = known.address == peer.address
                  && (known.incarnation == peer.incarnation || peer.incarnation == Incarnation{});
        if (isSame)
            return found->second;
        // The instance has restarted: the old stream's unanswered attempts won't be answered.
        const std::shared_ptr<MeshStream> old = found->second;
        old->closeAndReport(StreamEnd::Replaced);
    }
    auto stream = std::make_shared<MeshStream>(this, peer);
    m_outgoing.insert_or_assign(peer.instance, stream);
    stream->connect();
    return stream;
}

void MeshTask::on(SendToPeer &&message, TimePoint)
{
    const auto stream = streamTo(message.peer);
    stream->post(message.frame);
    scheduleFlush(stream);
}

void MeshTask::on(SendOnIncomingStream &&message, TimePoint)
{
    const auto found = m_incoming.find(message.stream);
    if (found == m_incoming.end())
        return;
    found->second->post(message.frame);
    scheduleFlush(found->second);
}

void MeshTask::scheduleFlush(const std::shared_ptr<MeshStream> &stream)
{
    if (std::exchange(stream->m_isFlushScheduled, true))
        return;
    m_flushQueue.push_back(stream);
    if (m_flushQueue.size() == 1)
        boost::asio::post(loop(), [this] { onBatchHandled(monotonicNow()); });
}

void MeshTask::onBatchHandled(TimePoint)
{
    for (const auto &stream : std::exchange(m_flushQueue, {})) {
        stream->m_isFlushScheduled = false;
        stream->flush();
    }
}

/// Other streams may be silent as well: asks the peers of all that are as old for a sign of life.
void MeshTask::on(ConnectionsSuspected &&message, TimePoint now)
{
    for (const auto &[peer, stream] : m_outgoing) {
        if (stream->lastReceived() < message.silentSince)
            stream->ping(now);
    }
}

void MeshTask::probeQuietestStream(TimePoint now)
{
    if (now < m_nextProbe)
        return;
    m_nextProbe = now + m_settings.probeInterval;
    const auto quietest = std::min_element(
            m_outgoing.begin(), m_outgoing.end(), [](const auto &a, const auto &b) {
                return a.second->lastReceived() < b.second->lastReceived();
            });
    if (quietest != m_outgoing.end())
        quietest->second->ping(now);
}

void MeshTask::endSilentStreams(TimePoint now)
{
    std::vector<std::shared_ptr<MeshStream>> silent;
    for (const auto &[peer, stream] : m_outgoing) {
        if (!stream->keepAlive(m_settings, now))
            silent.push_back(stream);
    }
    for (const auto &stream : silent) {
        if (stream->pongDueSince())
            m_silentEnds.insert_or_assign(stream->peer().instance,
                                          SilentEnd{*stream->pongDueSince(), now});
        stream->closeAndReport(StreamEnd::Silent);
    }
    std::erase_if(m_silentEnds, [this, now](const auto &end) {
        return now - end.second.endTime > m_settings.connectTimeout;
    });
}

TimePoint MeshTask::tick(TimePoint now)
{
    probeQuietestStream(now);
    endSilentStreams(now);
    const bool isHandshakePending
            = std::any_of(m_outgoing.begin(), m_outgoing.end(),
                          [](const auto &item) { return !item.second->wasOpen(); });
    return now + (isHandshakePending ? handshakeCheckInterval : keepAliveCheckInterval);
}

void MeshTask::onOpened(MeshStream *stream)
{
    if (!stream->isOutgoing())
        return;
    const auto silent = m_silentEnds.find(stream->peer().instance);
    if (silent == m_silentEnds.end())
        return;
    const SilentEnd end = silent->second;
    m_silentEnds.erase(silent);
    m_events->onSilentStreamReplaced(stream->peer().instance, end.silentSince);
}

void MeshTask::onFrame(MeshStream *stream, Frame frame)
{
    if (stream->isOutgoing())
        m_events->onPeerFrame(stream->peer(), std::move(frame));
    else
        m_events->onIncomingFrame(stream->id(), stream->peer(), std::move(frame));
}

void MeshTask::onEnded(MeshStream *stream, StreamEnd end)
{
    if (!stream->isOutgoing()) {
        const StreamId id = stream->id();
        m_incoming.erase(id);
        m_events->onIncomingStreamEnded(id);
        return;
    }
    const InstanceId peer = stream->peer().instance;
    const bool wasOpen = stream->wasOpen();
    const auto found = m_outgoing.find(peer);
    if (found != m_outgoing.end() && found->second.get() == stream)
        m_outgoing.erase(found);
    m_events->onPeerStreamEnded(peer, end, wasOpen, stream->takeUnanswered());
}

} // namespace buckthornford
