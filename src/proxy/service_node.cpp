#include "proxy/service_node.h"

#include "proxy/gossip_task.h"
#include "proxy/node_policy_p.h"
#include "proxy/proxy_task.h"
#include "store/store.h"
#include "telemetry/event_log.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace buckthornford {

namespace {

constexpr Duration housekeepingInterval = std::chrono::milliseconds(250);
constexpr Duration settingsInterval = std::chrono::seconds(2);
/// Callers need two failed readiness checks, a second apart, to go elsewhere.
constexpr Duration shortestStop = std::chrono::milliseconds(2600);
/// Left between the last chance to end in order and the kill.
constexpr Duration stopMargin = std::chrono::milliseconds(700);

/// Serves short answers that need no waiting, such as readiness and metrics.
class InstantDoor : public HttpServerEvents
{
public:
    using Answerer = std::function<ServerResponse(const ServerRequest &)>;

    explicit InstantDoor(Answerer answerer)
        : m_answerer(std::move(answerer))
    {}

    void onRequest(ServerRequest request) override { door->post(m_answerer(request)); }
    void onClientDisconnected(RequestId) override {}

    std::unique_ptr<HttpServerTask> door;

private:
    Answerer m_answerer;
};

} // namespace

/// Passes on what happens on sockets as messages to the tasks.
struct ServiceNode::Private : HttpServerEvents, MeshEvents
{
    Private(const ServiceNodeSettings &nodeSettings, const Adapter &nodeAdapter,
            SettingsReader reader);

    Result<void> open();
    void startTasks();
    ProxyCallbacks proxyOutputs();
    GossipCallbacks gossipOutputs();
    StoreCallbacks storeOutputs();

    void onRequest(ServerRequest request) override { proxy->post(CallArrived{std::move(request)}); }
    void onClientDisconnected(RequestId id) override { proxy->post(CallerDisconnected{id}); }

    void onPeerFrame(const PeerRef &peer, Frame frame) override;
    void onPeerStreamEnded(const InstanceId &peer, bool wasOpen,
                           std::vector<AttemptRef> unanswered) override;
    void onIncomingFrame(StreamId channel, const PeerRef &from, Frame frame) override;
    void onIncomingStreamEnded(StreamId channel) override
    {
        proxy->post(IncomingStreamEnded{channel});
    }

    ServerResponse answerReadiness(const ServerRequest &request) const;
    ServerResponse answerAnnouncement(const ServerRequest &request);
    ServerResponse answerMetrics(const ServerRequest &request) const;

    void takeConfiguration(const std::string &text);
    void probeUpstream();
    void runPeriodicWork();
    void readSettings();
    void beginStop();

    ServiceNodeSettings settings;
    Adapter adapter;
    SettingsReader settingsReader;
    PeerRef self;
    EventLoop loop{1};
    EventLog log{EventLog::Settings{}};
    boost::asio::signal_set signals{loop};
    boost::asio::steady_timer timer{loop};
    std::unique_ptr<ProxyTask> proxy;
    std::unique_ptr<GossipTask> gossip;
    std::unique_ptr<StoreTask> store;
    std::unique_ptr<UpstreamTask> upstream;
    std::unique_ptr<MeshTask> mesh;
    std::unique_ptr<HttpServerTask> callers;
    InstantDoor readiness{
            [this](const ServerRequest &request) { return answerReadiness(request); }};
    InstantDoor announcements{
            [this](const ServerRequest &request) { return answerAnnouncement(request); }};
    InstantDoor metrics{[this](const ServerRequest &request) { return answerMetrics(request); }};
    Endpoint upstreamAddress;
    Revision newest;
    std::optional<TimePoint> stopTime;
    TimePoint nextSettings;
};

ServiceNode::Private::Private(const ServiceNodeSettings &nodeSettings, const Adapter &nodeAdapter,
                              SettingsReader reader)
    : settings(nodeSettings)
    , adapter(nodeAdapter)
    , settingsReader(std::move(reader))
    , self{settings.instance, Incarnation{static_cast<std::uint64_t>(steadyWallNow().value())},
           settings.advertisedPeerEndpoint.value_or(settings.peersListenEndpoint).toString()}
{}

Result<void> ServiceNode::Private::open()
{
    Result<std::unique_ptr<MeshTask>> peers
            = MeshTask::listen(&loop, settings.peersListenEndpoint, self, this, MeshSettings{});
    if (!peers)
        return peers.error();
    mesh = std::move(peers.value());
    struct DoorPlan
    {
        Endpoint endpoint;
        HttpServerEvents *events;
        std::unique_ptr<HttpServerTask> *door;
    };
    const std::array<DoorPlan, 4> plans{
            DoorPlan{settings.callersListenEndpoint, this, &callers},
            DoorPlan{settings.announcementsListenEndpoint, &announcements, &announcements.door},
            DoorPlan{settings.readinessListenEndpoint, &readiness, &readiness.door},
            DoorPlan{settings.metricsListenEndpoint, &metrics, &metrics.door}};
    for (const DoorPlan &plan : plans) {
        Result<std::unique_ptr<HttpServerTask>> door
                = HttpServerTask::listen(&loop, plan.endpoint, plan.events);
        if (!door)
            return door.error();
        *plan.door = std::move(door.value());
    }
    return success();
}

ProxyCallbacks ServiceNode::Private::proxyOutputs()
{
    ProxyCallbacks outputs;
    outputs.answer = [this](ServerResponse answer) { callers->post(std::move(answer)); };
    outputs.mesh = [this](MeshMessage message) { mesh->post(std::move(message)); };
    outputs.upstream = [this](UpstreamMessage message) {
        if (const auto *change = std::get_if<UpstreamChanged>(&message))
            upstreamAddress = change->identity.address;
        upstream->post(std::move(message));
    };
    outputs.probeUpstream = [this] { probeUpstream(); };
    outputs.status = [this](NodeStatus condition) { gossip->post(std::move(condition)); };
    outputs.poisonEvents
            = [this](PoisonEventsArrived strikes) { gossip->post(std::move(strikes)); };
    outputs.log = &log;
    return outputs;
}

GossipCallbacks ServiceNode::Private::gossipOutputs()
{
    GossipCallbacks outputs;
    outputs.mesh = [this](MeshMessage message) { mesh->post(std::move(message)); };
    outputs.members = [this](MembersChanged members) {
        if (store)
            store->post(PeerCountChanged{gossip->liveCount()});
        proxy->post(std::move(members));
    };
    outputs.configuration = [this](const std::string &text) { takeConfiguration(text); };
    outputs.poisonEvents = [this](PoisonEventsArrived strikes) { proxy->post(std::move(strikes)); };
    outputs.nodeExpired = [this](const InstanceId &instance) {
        if (store)
            store->post(DeregisterNode{instance.value()});
    };
    return outputs;
}

StoreCallbacks ServiceNode::Private::storeOutputs()
{
    StoreCallbacks outputs;
    outputs.configuration = [this](const std::string &text) { takeConfiguration(text); };
    outputs.nodes = [this](const std::vector<StoredRow> &rows) {
        SeedsFound seeds;
        for (const StoredRow &row : rows)
            seeds.addresses.push_back(row.value);
        gossip->post(std::move(seeds));
    };
    outputs.reachable = [this](bool isReachable) {
        log.write(LogCategory::Process, isReachable ? "store-reached" : "store-lost",
                  {{"revision", static_cast<std::int64_t>(newest.value())}}, monotonicNow());
    };
    return outputs;
}

void ServiceNode::Private::startTasks()
{
    const std::uint64_t seed = checksum(settings.instance.value());
    Member member;
    member.peer = self;
    member.zone = settings.zone;
    member.region = settings.region;
    member.service = settings.callerService;

    const ProxySettings proxySettings = proxySettingsOf(settings, self, seed);
    proxy = std::make_unique<ProxyTask>(&loop, proxySettings, adapter, proxyOutputs());
    gossip = std::make_unique<GossipTask>(&loop, std::move(member), settings.seeds, seed,
                                          gossipOutputs());
    upstream = std::make_unique<UpstreamTask>(
            &loop, adapter.upstream.get(),
            [this](UpstreamResult result) { proxy->post(ExecutionEnded{std::move(result)}); });
    proxy->start();
    gossip->start();
    upstream->start();
    if (!settings.storeEndpoint)
        return;
    store = std::make_unique<StoreTask>(&loop, *settings.storeEndpoint, adapter.store,
                                        settings.isBootstrap, seed, storeOutputs());
    store->start();
    store->post(RegisterSelf{settings.instance.value(), self.address});
}

void ServiceNode::Private::onPeerFrame(const PeerRef &peer, Frame frame)
{
    if (auto *news = std::get_if<Gossip>(&frame)) {
        gossip->post(GossipArrived{peer, std::nullopt, std::move(*news)});
        return;
    }
    proxy->post(PeerFrameArrived{peer.instance, std::move(frame)});
}

void ServiceNode::Private::onPeerStreamEnded(const InstanceId &peer, bool wasOpen,
                                             std::vector<AttemptRef> unanswered)
{
    proxy->post(PeerStreamEnded{peer, wasOpen, std::move(unanswered)});
    gossip->post(GossipStreamEnded{peer, wasOpen});
}

void ServiceNode::Private::onIncomingFrame(StreamId channel, const PeerRef &from, Frame frame)
{
    if (auto *news = std::get_if<Gossip>(&frame))
        gossip->post(GossipArrived{from, channel, std::move(*news)});
    else
        proxy->post(IncomingFrameArrived{channel, std::move(frame)});
}

ServerResponse ServiceNode::Private::answerReadiness(const ServerRequest &request) const
{
    ServerResponse answer;
    answer.id = request.id;
    answer.status = proxy && proxy->isReady() ? 200 : 503;
    return answer;
}

ServerResponse ServiceNode::Private::answerAnnouncement(const ServerRequest &request)
{
    const Result<UpstreamAnnouncement> news = adapter.announcements->read(request);
    if (news) {
        proxy->post(AnnouncementArrived{news.value()});
        return adapter.announcements->acknowledge(request.id);
    }
    ServerResponse answer;
    answer.id = request.id;
    answer.status = errorRow(errorOf(news.error())).httpStatus;
    log.write(LogCategory::Problem, "announcement-refused",
              {{"target", request.target}, {"reason", errorRow(errorOf(news.error())).name}},
              monotonicNow());
    return answer;
}

ServerResponse ServiceNode::Private::answerMetrics(const ServerRequest &request) const
{
    ServerResponse answer;
    answer.id = request.id;
    answer.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    answer.body = proxy->metricsText()
                  + counterText("buckthornford_peer_bytes_total", mesh->sentBytes())
                  + counterText("buckthornford_upstream_connections_total",
                                upstream->openedConnectionCount())
                  + counterText("buckthornford_store_calls_total", store ? store->callCount() : 0)
                  + counterText("buckthornford_log_lines_left_out_total", log.droppedCount());
    return answer;
}

void ServiceNode::Private::takeConfiguration(const std::string &text)
{
    const Result<Configuration> configuration = adapter.store->parseConfiguration(text);
    if (!configuration) {
        log.write(LogCategory::Process, "configuration-refused",
                  {{"reason", errorRow(errorOf(configuration.error())).name},
                   {"kept_revision", static_cast<std::int64_t>(newest.value())}},
                  monotonicNow());
        return;
    }
    const Revision revision = configuration.value().revision;
    if (revision <= newest)
        return;
    newest = revision;
    log.write(LogCategory::Process, "configuration-taken",
              {{"revision", static_cast<std::int64_t>(revision.value())}}, monotonicNow());
    callers->post(adapter.store->callerLimits(text));
    gossip->post(ConfigurationAccepted{revision, text});
    proxy->post(ConfigurationChanged{configuration.value()});
}

void ServiceNode::Private::probeUpstream()
{
    probe(&loop, upstreamAddress,
          [this](bool isReachable) { proxy->post(UpstreamProbed{isReachable}); });
}

void ServiceNode::Private::readSettings()
{
    const std::optional<ServiceNodeSettings> changed = settingsReader();
    if (!changed || changed->callerService == settings.callerService)
        return;
    settings.callerService = changed->callerService;
    proxy->post(SettingsChanged{settings.callerService});
    log.write(LogCategory::Process, "settings-reloaded",
              {{"service", settings.callerService.value()}}, monotonicNow());
}

void ServiceNode::Private::runPeriodicWork()
{
    const TimePoint now = monotonicNow();
    if (now >= nextSettings) {
        nextSettings = now + settingsInterval;
        readSettings();
    }
    log.flush();
    if (stopTime) {
        const Duration stopping = now - *stopTime;
        const bool isDone = stopping >= shortestStop && proxy->isIdle();
        if (isDone || stopping >= settings.stopGracePeriod - stopMargin) {
            loop.stop();
            return;
        }
    }
    timer.expires_after(housekeepingInterval);
    timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            runPeriodicWork();
    });
}

void ServiceNode::Private::beginStop()
{
    const TimePoint now = monotonicNow();
    stopTime = now;
    log.write(LogCategory::Process, "stopping", {{"instance", settings.instance.value()}}, now);
    callers->post(DrainConnections{});
    proxy->post(StopRequest{});
    if (store)
        store->post(DeregisterSelf{});
}

Result<std::unique_ptr<ServiceNode>> ServiceNode::create(const ServiceNodeSettings &settings,
                                                         const Adapter &adapter,
                                                         SettingsReader reader)
{
    auto d = std::make_unique<Private>(settings, adapter, std::move(reader));
    const Result<void> opened = d->open();
    if (!opened)
        return opened.error();
    d->startTasks();
    return std::unique_ptr<ServiceNode>(new ServiceNode(std::move(d)));
}

ServiceNode::ServiceNode(std::unique_ptr<Private> d)
    : m_d(std::move(d))
{}

ServiceNode::~ServiceNode() = default;

void ServiceNode::run()
{
    m_d->log.write(LogCategory::Process, "started", {{"instance", m_d->settings.instance.value()}},
                   monotonicNow());
    m_d->signals.add(SIGTERM);
    m_d->signals.add(SIGINT);
    m_d->signals.add(SIGHUP);
    std::function<void()> awaitSignal = [this, &awaitSignal] {
        m_d->signals.async_wait(
                [this, &awaitSignal](const boost::system::error_code &error, int signal) {
                    if (error)
                        return;
                    if (signal == SIGHUP)
                        m_d->readSettings();
                    else if (!m_d->stopTime)
                        m_d->beginStop();
                    awaitSignal();
                });
    };
    awaitSignal();
    m_d->runPeriodicWork();
    m_d->loop.run();
    m_d->log.write(LogCategory::Process, "stopped", {{"instance", m_d->settings.instance.value()}},
                   monotonicNow());
    m_d->log.flush();
}

} // namespace buckthornford
