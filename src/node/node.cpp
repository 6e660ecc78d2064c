#include "node/node.h"

#include "node/doors_p.h"
#include "telemetry/telemetry.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace buckthornford {

namespace {

constexpr int operatorThreads = 8;
constexpr Duration drainPoll = std::chrono::milliseconds(100);

/// Hands what arrives on other nodes' streams to the task whose duty it is.
class ServerDispatch : public ServerEvents
{
public:
    ServerDispatch(NodeTask *node, MembershipTask *membership)
        : m_node(node)
        , m_membership(membership)
    {}

    void onOpened(ChannelId channel, std::shared_ptr<FrameSink> sink) override
    {
        m_node->post(ChannelOpened{channel, sink});
        m_membership->post(ChannelOpened{channel, std::move(sink)});
    }

    void onFrame(ChannelId channel, Frame frame) override
    {
        const bool isWork
                = std::holds_alternative<Run>(frame) || std::holds_alternative<Cancel>(frame);
        if (isWork)
            m_node->post(ChannelFrame{channel, std::move(frame)});
        else
            m_membership->post(ChannelFrame{channel, std::move(frame)});
    }

    void onClosed(ChannelId channel) override
    {
        m_node->post(ChannelClosed{channel});
        m_membership->post(ChannelClosed{channel});
    }

private:
    NodeTask *m_node;
    MembershipTask *m_membership;
};

Member selfMember(const NodeSettings &settings)
{
    Member self;
    const std::string address
            = settings.peerAddress.empty() ? settings.peers.toString() : settings.peerAddress;
    self.peer = {settings.instance,
                 Incarnation{static_cast<std::uint64_t>(steadyWallNow().value())}, address};
    self.zone = settings.zone;
    self.region = settings.region;
    self.callersAddress = settings.callers.toString();
    self.operatorAddress = settings.operators.toString();
    return self;
}

std::optional<Endpoint> platformEndpoint(const NodeSettings &settings)
{
    const Result<Endpoint> endpoint = parseEndpoint(settings.platform);
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
                [this](StrikesArrived news) { membership.post(std::move(news)); }})
        , membership(self, settings.seeds, settings.dial, settings.seed,
                     {[this](ViewChanged news) { node.post(std::move(news)); },
                      [this](ConfigurationArrived news) { node.post(std::move(news)); },
                      [this](ReaderChosen news) { platform.post(news); },
                      [this](StrikesArrived news) { node.post(std::move(news)); }})
        , platform(platformEndpoint(settings), settings.spread,
                   [this](ConfigurationArrived news) { membership.post(std::move(news)); })
        , dispatch(&node, &membership)
        , callersDoor({&node, &membership, &platform}, CallDoor::Kind::Callers, settings.keyLife)
        , upstreamDoor({&node, &membership, &platform}, CallDoor::Kind::Upstream, settings.keyLife)
        , operatorDoor({&node, &membership, &platform})
    {}

    Result<void> openDoors();
    Result<std::unique_ptr<HttpServer>> openDoor(const Endpoint &endpoint, int threads,
                                                 HttpHandler handler) const;
    bool isDrained();

    NodeSettings settings;
    Member self;
    NodeTask node;
    MembershipTask membership;
    PlatformTask platform;
    ServerDispatch dispatch;
    CallDoor callersDoor;
    CallDoor upstreamDoor;
    OperatorDoor operatorDoor;
    std::unique_ptr<LinkServer> peers;
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> upstream;
    std::unique_ptr<HttpServer> operators;
};

Result<std::unique_ptr<HttpServer>> Node::Private::openDoor(const Endpoint &endpoint, int threads,
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

Result<void> Node::Private::openDoors()
{
    auto peersResult = LinkServer::listen(settings.peers, self.peer, &dispatch);
    if (!peersResult) {
        logEvent(LogLevel::Error, "bind-failed", {{"endpoint", settings.peers.toString()}});
        return peersResult.error();
    }
    peers = std::move(peersResult.value());
    auto callersResult
            = openDoor(settings.callers, settings.callerThreads,
                       [this](const HttpRequest &request) { return callersDoor.handle(request); });
    if (!callersResult)
        return callersResult.error();
    callers = std::move(callersResult.value());
    auto upstreamResult
            = openDoor(settings.upstream, settings.upstreamThreads,
                       [this](const HttpRequest &request) { return upstreamDoor.handle(request); });
    if (!upstreamResult)
        return upstreamResult.error();
    upstream = std::move(upstreamResult.value());
    auto operatorsResult
            = openDoor(settings.operators, operatorThreads,
                       [this](const HttpRequest &request) { return operatorDoor.handle(request); });
    if (!operatorsResult)
        return operatorsResult.error();
    operators = std::move(operatorsResult.value());
    return success();
}

bool Node::Private::isDrained()
{
    auto reply = std::make_shared<ReplySlot<std::string>>();
    node.post(Question{Question::About::Status, reply});
    const auto text = reply->takeWithin(std::chrono::seconds(1));
    return text && nlohmann::json::parse(*text).value("drained", false);
}

Result<std::unique_ptr<Node>> Node::start(const NodeSettings &settings)
{
    auto d = std::make_unique<Private>(settings);
    d->membership.start();
    d->node.start();
    d->platform.start();
    const Result<void> opened = d->openDoors();
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
    m_d->node.post(DrainWanted{true});
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
