#include "node/node.h"

#include "node/http_handlers_p.h"
#include "telemetry/telemetry.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace buckthornford {

namespace {

constexpr int operatorThreads = 8;
constexpr Duration drainPollInterval = std::chrono::milliseconds(100);

/// Forwards frames on streams that peers opened: requests and cancellations to the node task, the
/// rest to the membership task.
class IncomingFrameForwarder : public LinkServerEvents
{
public:
    IncomingFrameForwarder(NodeTask *node, MembershipTask *membership)
        : m_node(node)
        , m_membership(membership)
    {}

    void onOpened(StreamId stream, std::shared_ptr<FrameSink> sink) override
    {
        m_node->post(IncomingStreamOpened{stream, sink});
        m_membership->post(IncomingStreamOpened{stream, std::move(sink)});
    }

    void onFrame(StreamId stream, Frame frame) override
    {
        const bool isNodeTaskFrame = std::holds_alternative<RunRequest>(frame)
                                     || std::holds_alternative<Cancel>(frame);
        if (isNodeTaskFrame)
            m_node->post(IncomingFrame{stream, std::move(frame)});
        else
            m_membership->post(IncomingFrame{stream, std::move(frame)});
    }

    void onClosed(StreamId stream) override
    {
        m_node->post(IncomingStreamClosed{stream});
        m_membership->post(IncomingStreamClosed{stream});
    }

private:
    NodeTask *m_node;
    MembershipTask *m_membership;
};

Member makeOwnMember(const NodeSettings &settings)
{
    Member self;
    const std::string address = settings.advertisedPeerAddress.empty()
                                        ? settings.peersListenEndpoint.toString()
                                        : settings.advertisedPeerAddress;
    self.peer = {settings.instance,
                 Incarnation{static_cast<std::uint64_t>(steadyWallNow().value())}, address};
    self.zone = settings.zone;
    self.region = settings.region;
    self.callersAddress = settings.callersListenEndpoint.toString();
    self.operatorAddress = settings.operatorsListenEndpoint.toString();
    return self;
}

std::optional<Endpoint> tableEndpoint(const NodeSettings &settings)
{
    const Result<Endpoint> endpoint = parseEndpoint(settings.tableAddress);
    return endpoint ? std::optional(endpoint.value()) : std::nullopt;
}

} // namespace

struct Node::Private
{
    explicit Private(const NodeSettings &nodeSettings)
        : settings(nodeSettings)
        , self(makeOwnMember(settings))
        , node(settings, *findPolicy(settings.policy), self.peer,
               {[this](SelfChanged change) { membership.post(std::move(change)); },
                [this](PoisonEventsReceived events) { membership.post(std::move(events)); }})
        , membership(self, settings.seeds, settings.dialOverrides, settings.seed,
                     {[this](ViewChanged change) { node.post(std::move(change)); },
                      [this](ConfigurationArrived arrival) { node.post(std::move(arrival)); },
                      [this](ReaderRoleChanged change) { configuration.post(change); },
                      [this](PoisonEventsReceived events) { node.post(std::move(events)); }})
        , configuration(
                  tableEndpoint(settings), settings.propagationDelay,
                  [this](ConfigurationArrived arrival) { membership.post(std::move(arrival)); })
        , forwarder(&node, &membership)
        , callersHandler({&node, &membership, &configuration}, CallHandler::Client::Callers,
                         settings.keyLife)
        , upstreamHandler({&node, &membership, &configuration}, CallHandler::Client::Upstream,
                          settings.keyLife)
        , operatorHandler({&node, &membership, &configuration})
    {}

    Result<void> openServers();
    Result<std::unique_ptr<HttpServer>> openServer(const Endpoint &endpoint, int threads,
                                                   HttpHandler handler) const;
    bool isDrained();

    NodeSettings settings;
    Member self;
    NodeTask node;
    MembershipTask membership;
    ConfigurationTask configuration;
    IncomingFrameForwarder forwarder;
    CallHandler callersHandler;
    CallHandler upstreamHandler;
    OperatorHandler operatorHandler;
    std::unique_ptr<LinkServer> peersServer;
    std::unique_ptr<HttpServer> callersServer;
    std::unique_ptr<HttpServer> upstreamServer;
    std::unique_ptr<HttpServer> operatorsServer;
};

Result<std::unique_ptr<HttpServer>> Node::Private::openServer(const Endpoint &endpoint, int threads,
                                                              HttpHandler handler) const
{
    HttpServerSettings serverSettings;
    serverSettings.endpoint = endpoint;
    serverSettings.threads = threads;
    serverSettings.maxBody = settings.maxBody;
    Result<std::unique_ptr<HttpServer>> server
            = HttpServer::listen(serverSettings, std::move(handler));
    if (!server)
        logEvent(LogLevel::Error, "bind-failed", {{"endpoint", endpoint.toString()}});
    return server;
}

Result<void> Node::Private::openServers()
{
    auto peersResult = LinkServer::listen(settings.peersListenEndpoint, self.peer, &forwarder);
    if (!peersResult) {
        logEvent(LogLevel::Error, "bind-failed",
                 {{"endpoint", settings.peersListenEndpoint.toString()}});
        return peersResult.error();
    }
    peersServer = std::move(peersResult.value());
    auto callersResult = openServer(
            settings.callersListenEndpoint, settings.callerThreads,
            [this](const HttpRequest &request) { return callersHandler.handle(request); });
    if (!callersResult)
        return callersResult.error();
    callersServer = std::move(callersResult.value());
    auto upstreamResult = openServer(
            settings.upstreamListenEndpoint, settings.upstreamThreads,
            [this](const HttpRequest &request) { return upstreamHandler.handle(request); });
    if (!upstreamResult)
        return upstreamResult.error();
    upstreamServer = std::move(upstreamResult.value());
    auto operatorsResult = openServer(
            settings.operatorsListenEndpoint, operatorThreads,
            [this](const HttpRequest &request) { return operatorHandler.handle(request); });
    if (!operatorsResult)
        return operatorsResult.error();
    operatorsServer = std::move(operatorsResult.value());
    return success();
}

bool Node::Private::isDrained()
{
    auto reply = std::make_shared<ReplySlot<std::string>>();
    node.post(OperatorQuery{OperatorQuery::Topic::Status, reply});
    const auto text = reply->takeWithin(std::chrono::seconds(1));
    return text && nlohmann::json::parse(*text).value("drained", false);
}

Result<std::unique_ptr<Node>> Node::start(const NodeSettings &settings)
{
    auto d = std::make_unique<Private>(settings);
    d->membership.start();
    d->node.start();
    d->configuration.start();
    const Result<void> opened = d->openServers();
    std::unique_ptr<Node> node(new Node(std::move(d)));
    if (!opened)
        return opened.error();
    return node;
}

Node::Node(std::unique_ptr<Private> d)
    : m_d(std::move(d))
{}

Node::~Node()
{
    // The servers end first, so that nothing new reaches the tasks.
    m_d->callersServer.reset();
    m_d->upstreamServer.reset();
    m_d->operatorsServer.reset();
    m_d->peersServer.reset();
    m_d->configuration.stop();
    m_d->node.stop();
    m_d->membership.stop();
}

void Node::leave()
{
    m_d->node.post(DrainRequest{true});
    while (!m_d->isDrained())
        std::this_thread::sleep_for(drainPollInterval);
    // Until they expire, callers may repeat requests with keys that this node owns. The idempotency
    // table answers them meanwhile.
    std::this_thread::sleep_for(m_d->settings.keyLife);
    SelfChanged change;
    change.state = MemberState::Left;
    m_d->membership.post(change);
    // Gives the membership task time to send this.
    std::this_thread::sleep_for(drainPollInterval);
}

} // namespace buckthornford
