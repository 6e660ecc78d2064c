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

constexpr Duration periodicWorkInterval = std::chrono::milliseconds(250);
/// Longest body at the doors that callers don't use; an announcement has some hundred bytes.
constexpr Bytes maxOwnDoorBody{1U << 20U};
constexpr Duration settingsReloadInterval = std::chrono::seconds(2);

/// Responds to HTTP requests without a task of its own; used for readiness, announcements and
/// metrics.
class SimpleHandler : public HttpServerEvents
{
public:
    /// Returns nothing if the response is posted to the server later.
    using Responder = std::function<std::optional<ServerResponse>(const ServerRequest &)>;

    explicit SimpleHandler(Responder responder)
        : m_responder(std::move(responder))
    {}

    void onRequest(ServerRequest request) override
    {
        if (std::optional<ServerResponse> response = m_responder(request))
            server->post(std::move(*response));
    }
    void onClientDisconnected(RequestId) override {}

    std::unique_ptr<HttpServerTask> server;

private:
    Responder m_responder;
};

} // namespace

/// Owns the tasks and passes socket events to them as messages.
struct ServiceNode::Private : HttpServerEvents, MeshEvents
{
    Private(const ServiceNodeSettings &nodeSettings, const Adapter &nodeAdapter,
            SettingsReader reader);

    Result<void> open();
    void startTasks();
    ProxyCallbacks proxyCallbacks();
    GossipCallbacks gossipCallbacks();
    StoreCallbacks storeCallbacks();

    void onRequest(ServerRequest request) override { proxy->post(CallArrived{std::move(request)}); }
    void onClientDisconnected(RequestId id) override { proxy->post(CallerDisconnected{id}); }

    void onPeerFrame(const PeerRef &peer, Frame frame) override;
    void onPeerStreamEnded(const InstanceId &peer, StreamEnd end, bool wasOpen,
                           std::vector<AttemptRef> unanswered) override;
    void onSilentStreamReplaced(const InstanceId &peer, TimePoint silentSince) override;
    void onIncomingFrame(StreamId stream, const PeerRef &from, Frame frame) override;
    void onIncomingStreamEnded(StreamId stream) override
    {
        proxy->post(IncomingStreamEnded{stream});
    }

    ServerResponse readinessResponse(const ServerRequest &request) const;
    std::optional<ServerResponse> handleAnnouncement(const ServerRequest &request);
    ServerResponse metricsResponse(const ServerRequest &request) const;

    void acceptConfiguration(const std::string &text, StoreEra era, std::string_view source);
    void probeUpstream();
    void logRefusedStoreResponse(std::string_view call, const RefusedResponse &refused,
                                 TimePoint now);
    void runPeriodicWork();
    void readSettings();
    void startStop();
    bool isIdle() const;
    void logStopped(bool wasIdle, TimePoint now);

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
    std::unique_ptr<HttpServerTask> callerServer;
    SimpleHandler readinessHandler{
            [this](const ServerRequest &request) { return readinessResponse(request); }};
    SimpleHandler announcementHandler{
            [this](const ServerRequest &request) { return handleAnnouncement(request); }};
    SimpleHandler metricsHandler{
            [this](const ServerRequest &request) { return metricsResponse(request); }};
    std::shared_ptr<MemoryBudget> requestMemory;
    Endpoint upstreamEndpoint;
    ConfigurationVersion acceptedVersion;
    std::uint64_t acceptedChecksum = 0; ///< of the accepted text
    std::optional<StopSchedule> stop;
    TimePoint nextSettingsReload;
};

ServiceNode::Private::Private(const ServiceNodeSettings &nodeSettings, const Adapter &nodeAdapter,
                              SettingsReader reader)
    : settings(nodeSettings)
    , adapter(nodeAdapter)
    , settingsReader(std::move(reader))
    , self{settings.instance, Incarnation{static_cast<std::uint64_t>(steadyWallNow().value())},
           settings.advertisedPeerEndpoint.value_or(settings.peersListenEndpoint).toString()}
    , requestMemory(std::make_shared<MemoryBudget>(settings.requestMemory))
{}

Result<void> ServiceNode::Private::open()
{
    MeshSettings meshSettings;
    meshSettings.runMemory = requestMemory;
    Result<std::unique_ptr<MeshTask>> peers
            = MeshTask::listen(&loop, settings.peersListenEndpoint, self, this, meshSettings);
    if (!peers)
        return peers.error();
    mesh = std::move(peers.value());
    struct ServerPlan
    {
        Endpoint endpoint;
        HttpServerEvents *events;
        std::unique_ptr<HttpServerTask> *server;
    };
    const std::array<ServerPlan, 4> plans{
            ServerPlan{settings.callersListenEndpoint, this, &callerServer},
            ServerPlan{settings.announcementsListenEndpoint, &announcementHandler,
                       &announcementHandler.server},
            ServerPlan{settings.readinessListenEndpoint, &readinessHandler,
                       &readinessHandler.server},
            ServerPlan{settings.metricsListenEndpoint, &metricsHandler, &metricsHandler.server}};
    for (const ServerPlan &plan : plans) {
        Result<std::unique_ptr<HttpServerTask>> server = HttpServerTask::listen(
                &loop, plan.endpoint, plan.events, plan.events == this ? requestMemory : nullptr);
        if (!server)
            return server.error();
        if (plan.events != this)
            server.value()->post(HttpServerLimits{.body = maxOwnDoorBody});
        *plan.server = std::move(server.value());
    }
    return success();
}

ProxyCallbacks ServiceNode::Private::proxyCallbacks()
{
    ProxyCallbacks callbacks;
    callbacks.respond
            = [this](ServerResponse response) { callerServer->post(std::move(response)); };
    callbacks.mesh = [this](MeshMessage message) { mesh->post(std::move(message)); };
    callbacks.upstream = [this](UpstreamMessage message) {
        if (const auto *change = std::get_if<UpstreamChanged>(&message))
            upstreamEndpoint = change->identity.address;
        upstream->post(std::move(message));
    };
    callbacks.probeUpstream = [this] { probeUpstream(); };
    callbacks.status = [this](NodeStatus status) { gossip->post(std::move(status)); };
    callbacks.poisonEvents
            = [this](PoisonEventsArrived poisonEvents) { gossip->post(std::move(poisonEvents)); };
    callbacks.acknowledge = [this](RequestId request) {
        announcementHandler.server->post(adapter.announcements->acknowledge(request));
    };
    callbacks.storeDeparture = [this](const UpstreamDeparture &departure) {
        if (store)
            store->post(StoreDeparture{toJsonText(departure)});
        else
            proxy->post(DepartureStored{});
    };
    callbacks.log = &log;
    return callbacks;
}

GossipCallbacks ServiceNode::Private::gossipCallbacks()
{
    GossipCallbacks callbacks;
    callbacks.mesh = [this](MeshMessage message) { mesh->post(std::move(message)); };
    callbacks.members = [this](MembersChanged members) { proxy->post(std::move(members)); };
    callbacks.fleet = [this](FleetChanged fleet) {
        if (store)
            store->post(fleet);
    };
    callbacks.configuration = [this](const std::string &text, StoreEra era) {
        acceptConfiguration(text, era, "peer");
    };
    callbacks.poisonEvents
            = [this](PoisonEventsArrived poisonEvents) { proxy->post(std::move(poisonEvents)); };
    callbacks.departure = [this](const UpstreamDeparture &departure) {
        proxy->post(DepartureReported{departure});
    };
    callbacks.nodeExpired = [this](const InstanceId &instance) {
        if (store)
            store->post(DeregisterNode{instance.value()});
    };
    return callbacks;
}

StoreCallbacks ServiceNode::Private::storeCallbacks()
{
    StoreCallbacks callbacks;
    callbacks.configuration = [this](const std::string &text, StoreEra era) {
        acceptConfiguration(text, era, "store");
    };
    callbacks.nodes = [this](const std::vector<StoredRow> &rows) {
        SeedsFound seeds;
        for (const StoredRow &row : rows)
            seeds.addresses.push_back(row.value);
        gossip->post(std::move(seeds));
    };
    callbacks.departureRead
            = [this](const std::string &text) { proxy->post(DepartureRead{parseDeparture(text)}); };
    callbacks.departureStored = [this] { proxy->post(DepartureStored{}); };
    callbacks.reachable = [this](bool isReachable) {
        log.write(LogCategory::Process, isReachable ? "store-reached" : "store-lost",
                  {{"revision", static_cast<std::int64_t>(acceptedVersion.revision.value())}},
                  monotonicNow());
    };
    callbacks.responseRefused = [this](std::string_view call, const RefusedResponse &refused) {
        logRefusedStoreResponse(call, refused, monotonicNow());
    };
    return callbacks;
}

void ServiceNode::Private::logRefusedStoreResponse(std::string_view call,
                                                   const RefusedResponse &refused, TimePoint now)
{
    if (!log.tryAcquire(LogCategory::Problem, now))
        return;
    const MessageFaultRow &row = faultRow(refused.fault);
    log.write(LogCategory::Problem, "store-answer-refused",
              {{"call", call},
               {"fault", row.name},
               {"why", row.message},
               {"status", std::int64_t{refused.status}},
               {"received_bytes", static_cast<std::int64_t>(refused.received.value())}},
              now);
}

void ServiceNode::Private::startTasks()
{
    const std::uint64_t seed = checksum(settings.instance.value());
    Member member;
    member.peer = self;
    member.zone = settings.zone;
    member.region = settings.region;
    member.service = settings.callerService;

    const ProxySettings proxySettings = makeProxySettings(settings, self, seed);
    proxy = std::make_unique<ProxyTask>(&loop, proxySettings, adapter, proxyCallbacks());
    gossip = std::make_unique<GossipTask>(&loop, std::move(member), settings.seeds, seed,
                                          gossipCallbacks());
    upstream = std::make_unique<UpstreamTask>(
            &loop, adapter.upstream.get(),
            [this](UpstreamResult result) { proxy->post(ExecutionEnded{std::move(result)}); });
    proxy->start();
    gossip->start();
    upstream->start();
    if (!settings.storeEndpoint)
        return;
    store = std::make_unique<StoreTask>(&loop, *settings.storeEndpoint, adapter.store,
                                        settings.isBootstrap, seed, storeCallbacks());
    store->start();
    store->post(RegisterSelf{settings.instance.value(), self.address});
}

void ServiceNode::Private::onPeerFrame(const PeerRef &peer, Frame frame)
{
    if (auto *received = std::get_if<Gossip>(&frame)) {
        gossip->post(GossipArrived{peer, std::nullopt, std::move(*received)});
        return;
    }
    proxy->post(PeerFrameArrived{peer.instance, std::move(frame)});
}

void ServiceNode::Private::onPeerStreamEnded(const InstanceId &peer, StreamEnd end, bool wasOpen,
                                             std::vector<AttemptRef> unanswered)
{
    const TimePoint now = monotonicNow();
    if (log.tryAcquire(LogCategory::Problem, now))
        log.write(LogCategory::Problem, "peer-stream-ended",
                  {{"peer", peer.value()},
                   {"reason", streamEndName(end)},
                   {"was_open", wasOpen},
                   {"unanswered", static_cast<std::int64_t>(unanswered.size())}},
                  now);
    proxy->post(PeerStreamEnded{peer, wasOpen, std::move(unanswered)});
    gossip->post(GossipStreamEnded{peer, wasOpen});
}

void ServiceNode::Private::onSilentStreamReplaced(const InstanceId &peer, TimePoint silentSince)
{
    const TimePoint now = monotonicNow();
    if (log.tryAcquire(LogCategory::Problem, now))
        log.write(LogCategory::Problem, "connections-suspected",
                  {{"peer", peer.value()}, {"silent_ms", toMilliseconds(now - silentSince)}}, now);
    mesh->post(ConnectionsSuspected{silentSince});
    upstream->post(ConnectionsSuspected{silentSince});
    if (store)
        store->post(ConnectionsSuspected{silentSince});
}

void ServiceNode::Private::onIncomingFrame(StreamId stream, const PeerRef &from, Frame frame)
{
    if (auto *received = std::get_if<Gossip>(&frame))
        gossip->post(GossipArrived{from, stream, std::move(*received)});
    else
        proxy->post(IncomingFrameArrived{stream, std::move(frame)});
}

ServerResponse ServiceNode::Private::readinessResponse(const ServerRequest &request) const
{
    ServerResponse response;
    response.id = request.id;
    response.status = proxy && proxy->isReady() ? 200 : 503;
    return response;
}

std::optional<ServerResponse> ServiceNode::Private::handleAnnouncement(const ServerRequest &request)
{
    const Result<UpstreamAnnouncement> announcement = adapter.announcements->read(request);
    if (announcement) {
        proxy->post(AnnouncementArrived{request.id, announcement.value()});
        return std::nullopt; // The task acknowledges it.
    }
    ServerResponse response;
    response.id = request.id;
    response.status = errorRow(errorOf(announcement.error())).httpStatus;
    log.write(
            LogCategory::Problem, "announcement-refused",
            {{"target", request.target}, {"reason", errorRow(errorOf(announcement.error())).name}},
            monotonicNow());
    return response;
}

ServerResponse ServiceNode::Private::metricsResponse(const ServerRequest &request) const
{
    ServerResponse response;
    response.id = request.id;
    response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    response.body = proxy->metricsText()
                    + counterText("buckthornford_peer_bytes_total", mesh->sentBytes())
                    + counterText("buckthornford_upstream_connections_total",
                                  upstream->openedConnectionCount())
                    + counterText("buckthornford_store_calls_total", store ? store->callCount() : 0)
                    + counterText("buckthornford_log_lines_left_out_total", log.droppedCount())
                    + counterText("buckthornford_refused_for_memory_total",
                                  requestMemory->refusedCount());
    return response;
}

/// Takes the configuration \a text, which the store held in \a era, if its version is newer than
/// the one in use. A revision never reverts. The same revision comes with another text only if the
/// store has lost the first one; the text of the newer era was acknowledged last. \a source is for
/// the log.
void ServiceNode::Private::acceptConfiguration(const std::string &text, StoreEra era,
                                               std::string_view source)
{
    const Result<Configuration> configuration = adapter.store->parseConfiguration(text);
    if (!configuration) {
        log.write(LogCategory::Process, "configuration-refused",
                  {{"reason", errorRow(errorOf(configuration.error())).name},
                   {"kept_revision", static_cast<std::int64_t>(acceptedVersion.revision.value())}},
                  monotonicNow());
        return;
    }
    const ConfigurationVersion version{configuration.value().revision, era};
    if (version <= acceptedVersion)
        return;
    const std::uint64_t textChecksum = checksum(text);
    const bool isSameText
            = version.revision == acceptedVersion.revision && textChecksum == acceptedChecksum;
    acceptedVersion = version;
    acceptedChecksum = textChecksum;
    gossip->post(ConfigurationAccepted{version, text});
    if (isSameText)
        return;
    log.write(LogCategory::Process, "configuration-taken",
              {{"revision", static_cast<std::int64_t>(version.revision.value())},
               {"store_era", static_cast<std::int64_t>(era.value())},
               {"source", source}},
              monotonicNow());
    callerServer->post(adapter.store->callerLimits(text));
    if (store)
        store->post(ConfigurationKnown{});
    proxy->post(ConfigurationChanged{configuration.value()});
}

void ServiceNode::Private::probeUpstream()
{
    probe(&loop, upstreamEndpoint,
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
    if (now >= nextSettingsReload) {
        nextSettingsReload = now + settingsReloadInterval;
        readSettings();
    }
    log.flush();
    TimePoint next = now + periodicWorkInterval;
    if (stop) {
        const bool isDone = now >= stop->earliestEnd() && isIdle();
        if (isDone || now >= stop->latestEnd()) {
            logStopped(isDone, now);
            loop.stop();
            return;
        }
        next = std::min(next, stop->latestEnd());
    }
    timer.expires_at(next);
    timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            runPeriodicWork();
    });
}

void ServiceNode::Private::startStop()
{
    const TimePoint now = monotonicNow();
    stop = StopSchedule::startingAt(now, settings.stopGracePeriod);
    log.write(LogCategory::Process, "stopping", {{"instance", settings.instance.value()}}, now);
    callerServer->post(DrainConnections{});
    proxy->post(StopRequest{*stop});
    if (store)
        store->post(DeregisterSelf{});
}

/// Returns whether nothing is in progress, on its way between the tasks or not yet passed to a
/// socket.
bool ServiceNode::Private::isIdle() const
{
    const bool hasMessages = proxy->hasMessages() || callerServer->hasMessages()
                             || mesh->hasMessages() || upstream->hasMessages();
    return !hasMessages && proxy->isIdle() && callerServer->unansweredCount() == 0
           && mesh->unsentStreamCount() == 0;
}

/// Logs why the process ends, with what it leaves open.
void ServiceNode::Private::logStopped(bool wasIdle, TimePoint now)
{
    proxy->logUnansweredCalls(now);
    log.write(LogCategory::Process, "stopped",
              {{"instance", settings.instance.value()},
               {"reason", wasIdle ? "idle" : "grace-over"},
               {"since_stop_ms", toMilliseconds(now - stop->signalTime())},
               {"open_calls", static_cast<std::int64_t>(proxy->openCalls())},
               {"executions", static_cast<std::int64_t>(proxy->runningExecutions())},
               {"responses", static_cast<std::int64_t>(callerServer->unansweredCount())},
               {"unsent_streams", static_cast<std::int64_t>(mesh->unsentStreamCount())}},
              now);
}

Result<std::unique_ptr<ServiceNode>> ServiceNode::create(const ServiceNodeSettings &settings,
                                                         const Adapter &adapter,
                                                         SettingsReader reader)
{
    auto d = std::make_unique<Private>(settings, adapter, std::move(reader));
    const Result<void> listening = d->open();
    if (!listening)
        return listening.error();
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
                    else if (!m_d->stop)
                        m_d->startStop();
                    awaitSignal();
                });
    };
    awaitSignal();
    m_d->runPeriodicWork();
    m_d->loop.run();
    m_d->log.flush();
}

} // namespace buckthornford
