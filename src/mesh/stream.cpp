#include "mesh/stream_p.h"

#include "http1/socket_p.h"

#include <boost/asio/write.hpp>

#include <array>

namespace buckthornford {

namespace {

constexpr std::size_t prefixSize = 4;               ///< bytes of the length before each batch
constexpr std::uint32_t maxBatchSize = 256U << 20U; ///< bytes
/// Bytes that an idle buffer may keep allocated.
constexpr std::size_t maxIdleCapacity = 64U << 10U;
constexpr unsigned bitsPerByte = 8;
/// Bytes from which on the body of a run is neither copied into a batch nor out of it.
constexpr std::size_t largeBodySize = 64U << 10U;
/// Bytes among which the end of a run's head is expected.
constexpr std::size_t maxRunHeadSize = 256U << 10U;

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
    , m_startTime(monotonicNow())
    , m_lastReceived(m_startTime)
    , m_lastPing(m_startTime)
{}

MeshStream::MeshStream(MeshTask *owner, Socket socket, StreamId id)
    : m_owner(owner)
    , m_socket(std::move(socket))
    , m_id(id)
    , m_startTime(monotonicNow())
    , m_lastReceived(m_startTime)
    , m_lastPing(m_startTime)
{}

void MeshStream::connect()
{
    const Result<Endpoint> endpoint = parseEndpoint(m_peer.address);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(
            endpoint ? endpoint.value().host : std::string(), error);
    const std::uint16_t port = endpoint ? endpoint.value().port : 0;
    m_socket.async_connect({address, port},
                           [self = shared_from_this()](const boost::system::error_code &failure) {
                               if (self->m_isClosed)
                                   return;
                               if (failure)
                                   self->closeAndReport(StreamEnd::Closed);
                               else
                                   self->start();
                           });
}

void MeshStream::start()
{
    m_isConnected = true;
    prepareSocket(&m_socket);
    setTcpUserTimeout(&m_socket);
    waitForData();
    // Only the hello is written before the peer's hello arrives. A stream that ends before that has
    // certainly delivered no attempt.
    QueuedBatch hello;
    encode(Hello{m_owner->m_self}, hello.frames.add_frames());
    write(std::move(hello));
}

void MeshStream::post(const Frame &frame)
{
    if (m_isClosed)
        return;
    const auto *run = std::get_if<RunRequest>(&frame);
    if (run != nullptr) {
        if (m_unanswered.empty())
            m_unansweredSince = monotonicNow();
        m_unanswered.insert({run->request, run->attempt});
    }
    if (run != nullptr && run->work.body.size() >= largeBodySize)
        m_queued.push_back({{}, *run});
    else
        encode(frame, queuedFrames().add_frames());
    if (isOutgoing() && std::holds_alternative<Gossip>(frame))
        ping(monotonicNow()); // Gossip has no answer that shows that it has arrived.
}

void MeshStream::ping(TimePoint now)
{
    if (m_isClosed || !m_wasOpen || m_pongDueSince)
        return;
    m_pongDueSince = now;
    encode(Ping{}, queuedFrames().add_frames());
    m_owner->scheduleFlush(shared_from_this());
}

/// Returns the batch to which the next frame is added.
wire::Batch &MeshStream::queuedFrames()
{
    if (m_queued.empty() || m_queued.back().run)
        m_queued.push_back({std::move(m_spareFrames), std::nullopt});
    return m_queued.back().frames;
}

void MeshStream::flush()
{
    if (m_isWriting || !m_wasOpen || m_isClosed || m_queued.empty())
        return;
    QueuedBatch batch = std::move(m_queued.front());
    m_queued.pop_front();
    write(std::move(batch));
}

void MeshStream::write(QueuedBatch batch)
{
    SharedBytes body;
    m_writeBuffer.clear();
    if (batch.run) {
        const std::string head = encodeBatchUpToBody(*batch.run);
        body = batch.run->work.body;
        appendLength(static_cast<std::uint32_t>(head.size() + body.size()), &m_writeBuffer);
        m_writeBuffer += head;
    } else {
        const std::size_t size = batch.frames.ByteSizeLong();
        m_writeBuffer.reserve(size + prefixSize);
        appendLength(static_cast<std::uint32_t>(size), &m_writeBuffer);
        batch.frames.AppendToString(&m_writeBuffer);
        if (size <= maxIdleCapacity) {
            m_spareFrames = std::move(batch.frames);
            m_spareFrames.Clear();
        }
    }
    m_isWriting = true;
    m_owner->m_sentBytes += m_writeBuffer.size() + body.size();
    const std::array<boost::asio::const_buffer, 2> buffers{
            boost::asio::buffer(m_writeBuffer),
            boost::asio::const_buffer(body.data(), body.size())};
    boost::asio::async_write(
            m_socket, buffers,
            [self = shared_from_this(), body](const boost::system::error_code &error, std::size_t) {
                self->onWritten(!error);
            });
}

void MeshStream::onWritten(bool isWhole)
{
    m_isWriting = false;
    if (m_isClosed)
        return;
    if (m_writeBuffer.capacity() > maxIdleCapacity)
        std::string().swap(m_writeBuffer);
    if (isWhole)
        flush();
    else
        closeAndReport(StreamEnd::Closed);
}

void MeshStream::waitForData()
{
    m_socket.async_wait(Socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &error) {
                            if (!error && !self->m_isClosed)
                                self->readData();
                        });
}

void MeshStream::readData()
{
    const ReadState state = readAvailable(&m_socket, &m_readBuffer);
    m_lastReceived = monotonicNow();
    m_pongDueSince.reset();
    decodeBatches();
    if (m_isClosed)
        return;
    if (state != ReadState::Open)
        closeAndReport(StreamEnd::Closed);
    else
        waitForData();
}

void MeshStream::decodeBatches()
{
    std::size_t offset = std::min(m_bytesToSkip, m_readBuffer.size());
    m_bytesToSkip -= offset;
    while (!m_isClosed && m_readBuffer.size() - offset >= prefixSize) {
        const std::uint32_t length = readLength(std::string_view(m_readBuffer).substr(offset));
        if (length > maxBatchSize) {
            closeAndReport(StreamEnd::Malformed);
            return;
        }
        const std::size_t end = offset + prefixSize + length;
        if (m_readBuffer.size() < end)
            break;
        if (length >= largeBodySize) {
            decodeLargeBatch(offset + prefixSize, end);
            offset = 0;
        } else {
            decodeBatch(std::string_view(m_readBuffer).substr(offset + prefixSize, length));
            offset = end;
        }
    }
    m_readBuffer.erase(0, offset);
    if (m_readBuffer.empty() && m_readBuffer.capacity() > maxIdleCapacity)
        std::string().swap(m_readBuffer);
    prepareForLargeBatch();
}

/// Decodes the batch between \a offset and \a end of the read buffer, and removes from the buffer
/// everything before \a end.
void MeshStream::decodeLargeBatch(std::size_t offset, std::size_t end)
{
    std::string rest = m_readBuffer.substr(end);
    m_readBuffer.resize(end);
    HeldMemory memory = m_batchMemory ? std::move(*m_batchMemory) : HeldMemory(nullptr);
    m_batchMemory.reset();
    const auto bytes = shareHeld(std::move(m_readBuffer), std::move(memory));
    m_readBuffer = std::move(rest);
    if (std::optional<Frame> run = decodeRunWithBodyAtEnd(bytes, offset))
        onFrame(std::move(*run));
    else
        decodeBatch(std::string_view(*bytes).substr(offset));
}

void MeshStream::decodeBatch(std::string_view bytes)
{
    wire::Batch batch;
    if (!batch.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        closeAndReport(StreamEnd::Malformed);
        return;
    }
    for (wire::Frame &encoded : *batch.mutable_frames()) {
        if (std::optional<Frame> frame = decode(&encoded))
            onFrame(std::move(*frame));
    }
}

/// Holds memory for the large batch at the start of the buffer, if there is one, and avoids that
/// the buffer grows step by step while it arrives. A run for which there is no memory is refused.
void MeshStream::prepareForLargeBatch()
{
    if (m_isClosed || m_batchMemory || m_readBuffer.size() < prefixSize)
        return;
    const std::size_t length = readLength(m_readBuffer);
    if (length < largeBodySize || length > maxBatchSize)
        return;
    HeldMemory memory(m_owner->m_settings.runMemory);
    if (!memory.grow(Bytes{length})) {
        const bool mayBeRun = m_readBuffer.size() < maxRunHeadSize;
        if (refuseLargeRun(length) || mayBeRun)
            return;
        memory = HeldMemory(nullptr); // Gossip, for example, isn't refused.
    }
    m_batchMemory.emplace(std::move(memory));
    m_readBuffer.reserve(prefixSize + length + sharedReadBuffer().size());
}

/// Answers the run at the start of the buffer, which is arriving in a batch of \a batchSize bytes,
/// that it didn't run, and skips the rest of it. Returns false if it isn't a run or its head hasn't
/// arrived.
bool MeshStream::refuseLargeRun(std::size_t batchSize)
{
    const std::optional<RunRequest> run
            = decodeRunHead(std::string_view(m_readBuffer).substr(prefixSize), batchSize);
    if (!run)
        return false;
    m_bytesToSkip = prefixSize + batchSize - m_readBuffer.size();
    std::string().swap(m_readBuffer);
    post(makeRefusal(*run, Error::QueueFull, true));
    m_owner->scheduleFlush(shared_from_this());
    return true;
}

void MeshStream::onFrame(Frame frame)
{
    if (m_isClosed)
        return;
    if (const auto *hello = std::get_if<Hello>(&frame)) {
        onHello(hello->peer);
        return;
    }
    if (std::holds_alternative<Ping>(frame)) {
        post(Pong{});
        m_owner->scheduleFlush(shared_from_this());
        return;
    }
    if (std::holds_alternative<Pong>(frame))
        return;
    if (const auto *answer = std::get_if<Answer>(&frame))
        m_unanswered.erase({answer->request, answer->attempt});
    m_owner->onFrame(this, std::move(frame));
}

void MeshStream::onHello(const PeerRef &peer)
{
    const bool isExpected = !isOutgoing() || m_peer.incarnation == Incarnation{}
                            || m_peer.instance == peer.instance;
    if (!isExpected) {
        closeAndReport(StreamEnd::Malformed); // Another instance listens at the address by now.
        return;
    }
    if (!isOutgoing())
        m_peer = peer;
    m_wasOpen = true;
    m_lastPing = m_lastReceived;
    flush();
    m_owner->onOpened(this);
}

bool MeshStream::keepAlive(const MeshSettings &settings, TimePoint now)
{
    if (!m_wasOpen)
        return now - m_startTime <= settings.connectTimeout;
    if (m_unanswered.empty())
        return !m_pongDueSince || now - *m_pongDueSince <= settings.idleSilenceTimeout;
    const TimePoint quietSince = std::max(m_lastReceived, m_unansweredSince);
    if (now - quietSince > settings.silenceTimeout)
        return false;
    if (now - quietSince > settings.pingAfter && now - m_lastPing > settings.pingAfter) {
        m_lastPing = now;
        if (!m_pongDueSince)
            m_pongDueSince = now;
        post(Ping{});
        flush();
    }
    return true;
}

std::vector<AttemptRef> MeshStream::takeUnanswered()
{
    const std::set<AttemptRef> unanswered = std::exchange(m_unanswered, {});
    return {unanswered.begin(), unanswered.end()};
}

void MeshStream::close()
{
    m_isClosed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void MeshStream::closeAndReport(StreamEnd end)
{
    if (m_isClosed)
        return;
    close();
    m_owner->onEnded(this, end);
}

} // namespace buckthornford
