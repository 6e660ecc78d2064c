#include "link/outbox_p.h"

#include "link/peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace buckthornford {

namespace {

/// Counts the streams that gRPC has not ended yet. LinkServer waits for them, as gRPC's shutdown
/// doesn't wait for OnDone.
class StreamCounter
{
public:
    void add()
    {
        const std::lock_guard lock(m_mutex);
        ++m_count;
    }

    void remove()
    {
        const std::lock_guard lock(m_mutex);
        --m_count;
        m_changed.notify_all();
    }

    void waitForAll()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_count == 0; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_count = 0;
};

/// A stream that another node opened. It holds a reference to itself until OnDone, which is gRPC's
/// last call.
class ServerStream : public grpc::ServerBidiReactor<wire::Batch, wire::Batch>,
                     public FrameSink,
                     public std::enable_shared_from_this<ServerStream>
{
public:
    ServerStream(LinkServerEvents *events, std::shared_ptr<StreamCounter> counter)
        : m_events(events)
        , m_counter(std::move(counter))
        , m_id(nextStreamId())
    {
        m_counter->add();
    }

    void start(const PeerRef &self)
    {
        m_selfReference = shared_from_this();
        m_events->onOpened(m_id, m_selfReference);
        post(Hello{self});
        StartRead(&m_receivedBatch);
    }

    void post(const Frame &frame) override
    {
        if (m_outbox.post(frame))
            StartWrite(m_outbox.batch());
    }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            // A write in progress must end before Finish(); OnWriteDone then calls finishOnce().
            if (!m_outbox.close())
                finishOnce();
            return;
        }
        for (wire::Frame &frame : *m_receivedBatch.mutable_frames())
            handleFrame(&frame);
        StartRead(&m_receivedBatch);
    }

    void OnWriteDone(bool ok) override
    {
        if (!ok) {
            m_outbox.close();
            m_outbox.onWritten();
            finishOnce();
            return;
        }
        if (m_outbox.onWritten())
            StartWrite(m_outbox.batch());
        else if (m_outbox.isClosed())
            finishOnce();
    }

    void OnCancel() override {}

    void OnDone() override
    {
        m_outbox.close();
        m_events->onClosed(m_id);
        const std::shared_ptr<StreamCounter> counter = m_counter;
        m_selfReference.reset();
        counter->remove();
    }

private:
    void handleFrame(wire::Frame *encoded)
    {
        std::optional<Frame> frame = decode(encoded);
        if (!frame)
            return;
        if (std::holds_alternative<Ping>(*frame))
            post(Pong{});
        else
            m_events->onFrame(m_id, std::move(*frame));
    }

    void finishOnce()
    {
        if (!m_isFinished.exchange(true))
            Finish(grpc::Status::OK);
    }

    LinkServerEvents *m_events;
    std::shared_ptr<StreamCounter> m_counter;
    StreamId m_id;
    wire::Batch m_receivedBatch;
    Outbox m_outbox;
    std::atomic<bool> m_isFinished{false};
    std::shared_ptr<ServerStream> m_selfReference;
};

/// The gRPC service PeerDoor: one ServerStream for each call of Link.
class PeerService : public wire::PeerDoor::CallbackService
{
public:
    PeerService(PeerRef self, LinkServerEvents *events)
        : m_self(std::move(self))
        , m_events(events)
    {}

    grpc::ServerBidiReactor<wire::Batch, wire::Batch> *
    Link(grpc::CallbackServerContext *) override // NOLINT(readability-identifier-naming)
    {
        auto stream = std::make_shared<ServerStream>(m_events, m_counter);
        stream->start(m_self);
        return stream.get();
    }

    void waitForStreams() { m_counter->waitForAll(); }

private:
    PeerRef m_self;
    LinkServerEvents *m_events;
    std::shared_ptr<StreamCounter> m_counter = std::make_shared<StreamCounter>();
};

} // namespace

struct LinkServer::Private
{
    Private(const PeerRef &self, LinkServerEvents *events)
        : service(self, events)
    {}

    PeerService service;
    std::unique_ptr<grpc::Server> server;
};

Result<std::unique_ptr<LinkServer>>
LinkServer::listen(const Endpoint &endpoint, const PeerRef &self, LinkServerEvents *events)
{
    auto d = std::make_unique<Private>(self, events);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(endpoint.toString(), grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(&d->service);
    d->server = builder.BuildAndStart();
    if (!d->server || port == 0)
        return Error::BindFailed;
    return std::unique_ptr<LinkServer>(new LinkServer(std::move(d)));
}

LinkServer::LinkServer(std::unique_ptr<Private> d)
    : m_d(std::move(d))
{}

LinkServer::~LinkServer()
{
    constexpr std::chrono::milliseconds gracePeriod{100};
    m_d->server->Shutdown(std::chrono::system_clock::now() + gracePeriod);
    m_d->service.waitForStreams();
}

} // namespace buckthornford
