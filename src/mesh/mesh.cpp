#include "link/outbox_p.h"
#include "mesh/stream_p.h"

#include <algorithm>

namespace buckthornford {

namespace {

using boost::asio::ip::tcp;

constexpr Duration checkInterval = std::chrono::milliseconds(200);
/// While a peer that is dialled has not greeted.
constexpr Duration dialCheckInterval = std::chrono::milliseconds(50);

} // namespace

Result<std::unique_ptr<MeshTask>> MeshTask::listen(EventLoop *loop, const Endpoint &place,
                                                   const PeerRef &self, MeshEvents *events,
                                                   MeshSettings settings)
{
    Result<std::unique_ptr<Listener>> listener = Listener::open(loop, place.host, place.port);
    if (!listener)
        return listener.error();
    std::unique_ptr<MeshTask> task(
            new MeshTask(loop, std::move(listener.value()), self, events, settings));
    task->m_listener->start(
            [own = task.get()](tcp::socket socket) { own->accept(std::move(socket)); });
    task->start();
    return task;
}

MeshTask::MeshTask(EventLoop *loop, std::unique_ptr<Listener> listener, PeerRef self,
                   MeshEvents *events, MeshSettings settings)
    : LoopTask(loop)
    , m_listener(std::move(listener))
    , m_self(std::move(self))
    , m_events(events)
    , m_settings(settings)
{}

MeshTask::~MeshTask()
{
    for (const auto &[peer, stream] : m_outgoing)
        stream->abandon();
    for (const auto &[channel, stream] : m_incoming)
        stream->abandon();
}

void MeshTask::accept(tcp::socket socket)
{
    const StreamId channel = nextStreamId();
    const auto stream = std::make_shared<MeshStream>(this, std::move(socket), channel);
    m_incoming.emplace(channel, stream);
    stream->begin();
}

void MeshTask::handle(MeshMessage &&message, TimePoint now)
{
    std::visit([this, now](auto &&kind) { on(std::forward<decltype(kind)>(kind), now); },
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
        // The instance has started anew: what the old stream owes won't come.
        const std::shared_ptr<MeshStream> old = found->second;
        old->end();
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
    markDirty(stream);
}

void MeshTask::on(SendOnIncomingStream &&message, TimePoint)
{
    const auto found = m_incoming.find(message.stream);
    if (found == m_incoming.end())
        return;
    found->second->post(message.frame);
    markDirty(found->second);
}

void MeshTask::markDirty(const std::shared_ptr<MeshStream> &stream)
{
    if (std::exchange(stream->m_isDirty, true))
        return;
    m_dirty.push_back(stream);
    if (m_dirty.size() == 1)
        boost::asio::post(loop(), [this] { onBatchHandled(monotonicNow()); });
}

void MeshTask::onBatchHandled(TimePoint)
{
    for (const auto &stream : std::exchange(m_dirty, {})) {
        stream->m_isDirty = false;
        stream->flush();
    }
}

TimePoint MeshTask::tick(TimePoint now)
{
    std::vector<std::shared_ptr<MeshStream>> silent;
    for (const auto &[peer, stream] : m_outgoing) {
        if (!stream->keepAlive(m_settings, now))
            silent.push_back(stream);
    }
    for (const auto &stream : silent)
        stream->end();
    const bool isDialling = std::any_of(m_outgoing.begin(), m_outgoing.end(),
                                        [](const auto &entry) { return !entry.second->wasOpen(); });
    return now + (isDialling ? dialCheckInterval : checkInterval);
}

void MeshTask::onFrame(MeshStream *stream, Frame frame)
{
    if (stream->isOutgoing())
        m_events->onPeerFrame(stream->peer(), std::move(frame));
    else
        m_events->onIncomingFrame(stream->channel(), stream->peer(), std::move(frame));
}

void MeshTask::onEnded(MeshStream *stream)
{
    if (!stream->isOutgoing()) {
        const StreamId channel = stream->channel();
        m_incoming.erase(channel);
        m_events->onIncomingStreamEnded(channel);
        return;
    }
    const InstanceId peer = stream->peer().instance;
    const bool wasOpen = stream->wasOpen();
    const auto found = m_outgoing.find(peer);
    if (found != m_outgoing.end() && found->second.get() == stream)
        m_outgoing.erase(found);
    m_events->onPeerStreamEnded(peer, wasOpen, stream->takeOwed());
}

} // namespace buckthornford
