#include "node/node.h"

#include "node/http_handlers_p.h"
#include "telemetry/telemetry.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace buckthornford {

namespace {

constexpr int operatorThreads = 8;
constexpr Duration drainPoll = std::chrono::milliseconds(100);

/// Hands what arrives on other nodes' streams to the task whose duty it is.
class ServerDispatch : public LinkServerEvents
{
public:
    ServerDispatch(NodeTask *node, MembershipTask *membership)
        : m_node(node)
        , m_membership(membership)
    {}

    void onOpened(StreamId channel, std::shared_ptr<FrameSink> sink) override
    {
        m_node->post(IncomingStreamOpened{channel, sink});
        m_membership->post(IncomingStreamOpened{channel, std::move(sink)});
    }

    void onFrame(StreamId channel, Frame frame) override
    {
        const bool isWork = std::holds_alternative<RunRequest>(frame)
                            || std::holds_alternative<Cancel>(frame);
        if (isWork)
            m_node->post(IncomingFrame{channel, std::move(frame)});
        else
            m_membership->post(IncomingFrame{channel, std::move(frame)});
    }

    void onClosed(StreamId channel) override
    {
        m_node->post(IncomingStreamClosed{channel});
        m_membership->post(IncomingStreamClosed{channel});
    }

private:
    NodeTask *m_node;
    MembershipTask *m_membership;
};

Member selfMember(const NodeSettings &settings)
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

std::optional<Endpoint> platformEndpoint(const NodeSettings &settings)
{
    const Result<Endpoint> endpoint = parseEndpoint(settings.tableAddress);
    return endpoint ? std::optional(endpoint.value()) : std::nullopt;
}

} // namespace

struct Node::Private
{
    explicit Private(const NodeSettings &nodeSettings)
        : settings(nodeSettings)
        , self(selfMember(settings))
        , node(settings, *findPolicy(settings.policy), self.peer,
               {[this](SelfChanged news) { membership.post(std::move(news)); },
                [this](PoisonEventsReceived news) { membership.post(std::move(news)); }})
        , membership(self, settings.seeds, settings.dialOverrides, settings.seed,
                     {[this](ViewChanged news) { node.post(std::move(news)); },
                      [this](ConfigurationArrived news) { node.post(std::move(news)); },
                      [this](ReaderRoleChanged news) { platform.post(news); },
                      [this](PoisonEventsReceived news) { node.post(std::move(news)); }})
        , platform(platformEndpoint(settings), settings.propagationDelay,
                   [this](ConfigurationArrived news) { membership.post(std::move(news)); })
        , dispatch(&node, &membership)
        , callersHandler({&node, &membership, &platform}, CallHandler::Kind::Callers,
                         settings.keyLife)
        , upstreamHandler({&node, &membership, &platform}, CallHandler::Kind::Upstream,
                          settings.keyLife)
        , operatorHandler({&node, &membership, &platform})
    {}

    Result<void> openServers();
    Result<std::unique_ptr<HttpServer>> openServer(const Endpoint &endpoint, int threads,
                                                   HttpHandler handler) const;
    bool isDrained();

    NodeSettings settings;
    Member self;
    NodeTask node;
    MembershipTask membership;
    ConfigurationTask platform;
    ServerDispatch dispatch;
    CallHandler callersHandler;
    CallHandler upstreamHandler;
    OperatorHandler operatorHandler;
    std::unique_ptr<LinkServer> peers;
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> upstream;
    std::unique_ptr<HttpServer> operators;
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
    auto peersResult = LinkServer::listen(settings.peersListenEndpoint, self.peer, &dispatch);
    if (!peersResult) {
        logEvent(LogLevel::Error, "bind-failed",
                 {{"endpoint", settings.peersListenEndpoint.toString()}});
        return peersResult.error();
    }
    peers = std::move(peersResult.value());
    auto callersResult = openServer(
            settings.callersListenEndpoint, settings.callerThreads,
            [this](const HttpRequest &request) { return callersHandler.handle(request); });
    if (!callersResult)
        return callersResult.error();
    callers = std::move(callersResult.value());
    auto upstreamResult = openServer(
            settings.upstreamListenEndpoint, settings.upstreamThreads,
            [this](const HttpRequest &request) { return upstreamHandler.handle(request); });
    if (!upstreamResult)
        return upstreamResult.error();
    upstream = std::move(upstreamResult.value());
    auto operatorsResult = openServer(
            settings.operatorsListenEndpoint, operatorThreads,
            [this](const HttpRequest &request) { return operatorHandler.handle(request); });
    if (!operatorsResult)
        return operatorsResult.error();
    operators = std::move(operatorsResult.value());
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
    d->platform.start();
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
    // Doors first: nothing new may reach the tasks.
    m_d->callers.reset();
    m_d->upstream.reset();
    m_d->operators.reset();
    m_d->peers.reset();
    m_d->platform.stop();
    m_d->node.stop();
    m_d->membership.stop();
}

void Node::leave()
{
    m_d->node.post(DrainRequest{true});
    while (!m_d->isDrained())
        std::this_thread::sleep_for(drainPoll);
    // Keys that name this node as their home may be sent until they expire; the record answers.
    std::this_thread::sleep_for(m_d->settings.keyLife);
    SelfChanged news;
    news.state = MemberState::Left;
    m_d->membership.post(news);
    std::this_thread::sleep_for(drainPoll);
}

} // namespace buckthornford
