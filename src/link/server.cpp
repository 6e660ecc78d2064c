#include "link/outbox_p.h"

#include "link/peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace buckthornford {

namespace {

/// Counts the streams that gRPC has not ended yet; gRPC's shutdown doesn't wait for OnDone.
class StreamCount
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

    void waitForZero()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_count == 0; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_count = 0;
};

/// A stream that another node opened. gRPC calls OnDone last; until then the stream keeps itself.
class ServerStream : public grpc::ServerBidiReactor<wire::Batch, wire::Batch>,
                     public FrameSink,
                     public std::enable_shared_from_this<ServerStream>
{
public:
    ServerStream(LinkServerEvents *events, std::shared_ptr<StreamCount> count)
        : m_events(events)
        , m_count(std::move(count))
        , m_channel(nextStreamId())
    {
        m_count->add();
    }

    void begin(const PeerRef &self)
    {
        m_keep = shared_from_this();
        m_events->onOpened(m_channel, m_keep);
        post(Hello{self});
        StartRead(&m_in);
    }

    void post(const Frame &frame) override
    {
        if (m_outbox.post(frame))
            StartWrite(m_outbox.batch());
    }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            // A write in progress must end before the stream may be finished.
            if (!m_outbox.close())
                finishOnce();
            return;
        }
        for (wire::Frame &frame : *m_in.mutable_frames())
            receive(&frame);
        StartRead(&m_in);
    }

    void OnWriteDone(bool ok) override
    {
        if (!ok) {
            m_outbox.close();
            m_outbox.written();
            finishOnce();
            return;
        }
        if (m_outbox.written())
            StartWrite(m_outbox.batch());
        else if (m_outbox.isClosed())
            finishOnce();
    }

    void OnCancel() override {}

    void OnDone() override
    {
        m_outbox.close();
        m_events->onClosed(m_channel);
        const std::shared_ptr<StreamCount> count = m_count;
        m_keep.reset();
        count->remove();
    }

private:
    void receive(wire::Frame *encoded)
    {
        std::optional<Frame> frame = decode(encoded);
        if (!frame)
            return;
        if (std::holds_alternative<Ping>(*frame))
            post(Pong{});
        else
            m_events->onFrame(m_channel, std::move(*frame));
    }

    void finishOnce()
    {
        if (!m_finished.exchange(true))
            Finish(grpc::Status::OK);
    }

    LinkServerEvents *m_events;
    std::shared_ptr<StreamCount> m_count;
    StreamId m_channel;
    wire::Batch m_in;
    Outbox m_outbox;
    std::atomic<bool> m_finished{false};
    std::shared_ptr<ServerStream> m_keep;
};

class PeerDoor : public wire::PeerDoor::CallbackService
{
public:
    PeerDoor(PeerRef self, LinkServerEvents *events)
        : m_self(std::move(self))
        , m_events(events)
    {}

    grpc::ServerBidiReactor<wire::Batch, wire::Batch> *
    Link(grpc::CallbackServerContext *) override // NOLINT(readability-identifier-naming)
    {
        auto stream = std::make_shared<ServerStream>(m_events, m_count);
        stream->begin(m_self);
        return stream.get();
    }

    void waitForStreams() { m_count->waitForZero(); }

private:
    PeerRef m_self;
    LinkServerEvents *m_events;
    std::shared_ptr<StreamCount> m_count = std::make_shared<StreamCount>();
};

} // namespace

struct LinkServer::Private
{
    Private(const PeerRef &self, LinkServerEvents *events)
        : door(self, events)
    {}

    PeerDoor door;
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
    builder.RegisterService(&d->door);
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
    constexpr std::chrono::milliseconds grace{100};
    m_d->server->Shutdown(std::chrono::system_clock::now() + grace);
    m_d->door.waitForStreams();
}

} // namespace buckthornford
