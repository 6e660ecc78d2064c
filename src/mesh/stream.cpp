#include "mesh/stream_p.h"

#include "http1/socket_p.h"

#include <boost/asio/write.hpp>

namespace buckthornford {

namespace {

constexpr std::size_t prefixSize = 4;            ///< bytes of a batch's length
constexpr std::uint32_t maxBatch = 256U << 20U;  ///< bytes
constexpr std::size_t keptCapacity = 64U << 10U; ///< bytes that an idle buffer may keep
constexpr unsigned bitsPerByte = 8;

void appendLength(std::uint32_t length, std::string *out)
{
    for (std::size_t i = 0; i < prefixSize; ++i)
        out->push_back(static_cast<char>(length >> (bitsPerByte * (prefixSize - 1 - i))));
}

std::uint32_t readLength(std::string_view in)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < prefixSize; ++i)
        length = (length << bitsPerByte) | static_cast<unsigned char>(in[i]);
    return length;
}

} // namespace

MeshStream::MeshStream(MeshTask *owner, PeerRef peer)
    : m_owner(owner)
    , m_socket(owner->loop())
    , m_peer(std::move(peer))
    , m_opened(monotonicNow())
    , m_lastReceived(m_opened)
    , m_lastPing(m_opened)
{}

MeshStream::MeshStream(MeshTask *owner, Socket socket, StreamId channel)
    : m_owner(owner)
    , m_socket(std::move(socket))
    , m_channel(channel)
    , m_opened(monotonicNow())
    , m_lastReceived(m_opened)
    , m_lastPing(m_opened)
{}

void MeshStream::connect()
{
    const Result<Endpoint> place = parseEndpoint(m_peer.address);
    boost::system::error_code error;
    const auto address
            = boost::asio::ip::make_address_v4(place ? place.value().host : std::string(), error);
    const std::uint16_t port = place ? place.value().port : 0;
    m_socket.async_connect({address, port},
                           [self = shared_from_this()](const boost::system::error_code &failure) {
                               if (self->m_isClosed)
                                   return;
                               if (failure)
                                   self->end();
                               else
                                   self->begin();
                           });
}

void MeshStream::begin()
{
    m_isConnected = true;
    prepareSocket(&m_socket);
    waitForBytes();
    // Nothing but the greeting leaves before the peer has greeted: until then it's certain that
    // no work has arrived there.
    wire::Batch greeting;
    encode(Hello{m_owner->m_self}, greeting.add_frames());
    write(&greeting);
}

void MeshStream::post(const Frame &frame)
{
    if (m_isClosed)
        return;
    if (const auto *run = std::get_if<RunRequest>(&frame)) {
        if (m_owed.empty())
            m_owedSince = monotonicNow();
        m_owed.insert({run->request, run->attempt});
    }
    encode(frame, m_waiting.add_frames());
}

void MeshStream::flush()
{
    if (!m_isWriting && m_wasOpen && !m_isClosed && m_waiting.frames_size() > 0)
        write(&m_waiting);
}

void MeshStream::write(wire::Batch *batch)
{
    m_out.clear();
    const std::size_t size = batch->ByteSizeLong();
    m_out.reserve(size + prefixSize);
    appendLength(static_cast<std::uint32_t>(size), &m_out);
    batch->AppendToString(&m_out);
    if (size > keptCapacity)
        *batch = wire::Batch();
    else
        batch->Clear();
    m_isWriting = true;
    m_owner->m_sentBytes += m_out.size();
    boost::asio::async_write(
            m_socket, boost::asio::buffer(m_out),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                self->m_isWriting = false;
                if (self->m_isClosed)
                    return;
                if (self->m_out.capacity() > keptCapacity)
                    std::string().swap(self->m_out);
                if (error)
                    self->end();
                else
                    self->flush();
            });
}

void MeshStream::waitForBytes()
{
    m_socket.async_wait(Socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &error) {
                            if (!error && !self->m_isClosed)
                                self->readBytes();
                        });
}

void MeshStream::readBytes()
{
    const ReadState state = readAvailable(&m_socket, &m_in);
    m_lastReceived = monotonicNow();
    readBatches();
    if (m_isClosed)
        return;
    if (state != ReadState::Open)
        end();
    else
        waitForBytes();
}

void MeshStream::readBatches()
{
    std::size_t at = 0;
    while (!m_isClosed && m_in.size() - at >= prefixSize) {
        const std::uint32_t length = readLength(std::string_view(m_in).substr(at));
        if (length > maxBatch) {
            end();
            return;
        }
        if (m_in.size() - at - prefixSize < length)
            break;
        wire::Batch batch;
        const bool isWhole
                = batch.ParseFromArray(m_in.data() + at + prefixSize, static_cast<int>(length));
        at += prefixSize + length;
        if (!isWhole) {
            end();
            return;
        }
        for (wire::Frame &encoded : *batch.mutable_frames()) {
            if (std::optional<Frame> frame = decode(&encoded))
                receive(std::move(*frame));
        }
    }
    m_in.erase(0, at);
    if (m_in.empty() && m_in.capacity() > keptCapacity)
        std::string().swap(m_in);
}

void MeshStream::receive(Frame frame)
{
    if (m_isClosed)
        return;
    if (const auto *hello = std::get_if<Hello>(&frame)) {
        greet(hello->peer);
        return;
    }
    if (std::holds_alternative<Ping>(frame)) {
        post(Pong{});
        m_owner->markDirty(shared_from_this());
        return;
    }
    if (std::holds_alternative<Pong>(frame))
        return;
    if (const auto *answer = std::get_if<Answer>(&frame))
        m_owed.erase({answer->request, answer->attempt});
    m_owner->onFrame(this, std::move(frame));
}

void MeshStream::greet(const PeerRef &peer)
{
    const bool isExpected = !isOutgoing() || m_peer.incarnation == Incarnation{}
                            || m_peer.instance == peer.instance;
    if (!isExpected) {
        end(); // The address belongs to another process by now.
        return;
    }
    if (!isOutgoing())
        m_peer = peer;
    m_wasOpen = true;
    m_lastPing = m_lastReceived;
    flush();
}

bool MeshStream::keepAlive(const MeshSettings &settings, TimePoint now)
{
    if (!m_wasOpen)
        return now - m_opened <= settings.connectTimeout;
    if (m_owed.empty())
        return true;
    const TimePoint heard = std::max(m_lastReceived, m_owedSince);
    if (now - heard > settings.silenceTimeout)
        return false;
    if (now - heard > settings.pingAfter && now - m_lastPing > settings.pingAfter) {
        m_lastPing = now;
        post(Ping{});
        flush();
    }
    return true;
}

std::vector<AttemptRef> MeshStream::takeOwed()
{
    const std::set<AttemptRef> owed = std::exchange(m_owed, {});
    return {owed.begin(), owed.end()};
}

void MeshStream::abandon()
{
    m_isClosed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void MeshStream::end()
{
    if (m_isClosed)
        return;
    abandon();
    m_owner->onEnded(this);
}

} // namespace buckthornford
