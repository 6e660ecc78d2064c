#include "node/membership_task_p.h"

namespace buckthornford {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(100);

Membership::Settings membershipSettings(std::uint64_t seed)
{
    Membership::Settings settings;
    settings.seed = seed;
    return settings;
}

LinkClient::Settings linkSettings(std::map<std::string, std::string> dialOverrides)
{
    LinkClient::Settings settings;
    // A neighbour is suspected when its stream falls silent, so the stream is pinged permanently.
    settings.pingInterval = std::chrono::milliseconds(1000);
    settings.silenceTimeout = std::chrono::milliseconds(2500);
    settings.dialOverrides = std::move(dialOverrides);
    return settings;
}

} // namespace

MembershipTask::MembershipTask(Member self, std::vector<std::string> seeds,
                               std::map<std::string, std::string> dialOverrides, std::uint64_t seed,
                               Callbacks callbacks)
    : m_self(self.peer)
    , m_membership(std::move(self), std::move(seeds), membershipSettings(seed))
    , m_link(m_self, this, linkSettings(std::move(dialOverrides)))
    , m_callbacks(std::move(callbacks))
{}

MembershipTask::~MembershipTask()
{
    stop();
}

void MembershipTask::onFrame(const InstanceId &peer, Frame frame)
{
    post(PeerFrame{peer, std::move(frame)});
}

void MembershipTask::onEnded(const InstanceId &peer, StreamId stream, bool wasOpen)
{
    post(PeerStreamClosed{peer, stream, wasOpen});
}

void MembershipTask::handle(MembershipMessage &&message, TimePoint now)
{
    std::visit(
            [this, now](auto &&alternative) {
                on(std::forward<decltype(alternative)>(alternative), now);
            },
            std::move(message));
}

TimePoint MembershipTask::tick(TimePoint now)
{
    send(m_membership.tick(now), now);
    m_link.tick(now);
    publishChanges();
    return now + tickInterval;
}

void MembershipTask::on(IncomingStreamOpened &&message, TimePoint)
{
    m_incomingStreams[message.stream].sink = std::move(message.sink);
}

void MembershipTask::on(IncomingFrame &&message, TimePoint now)
{
    const auto found = m_incomingStreams.find(message.stream);
    if (found == m_incomingStreams.end())
        return;
    if (const auto *hello = std::get_if<Hello>(&message.frame))
        found->second.peer = hello->peer;
    if (const auto *gossip = std::get_if<Gossip>(&message.frame)) {
        // The copy keeps the sink alive if the stream is removed while the gossip is processed.
        const IncomingStream stream = found->second;
        receive(stream.peer, *gossip, stream.sink.get(), now);
    }
}

void MembershipTask::on(IncomingStreamClosed &&message, TimePoint)
{
    m_incomingStreams.erase(message.stream);
}

void MembershipTask::on(PeerFrame &&message, TimePoint now)
{
    const auto *gossip = std::get_if<Gossip>(&message.frame);
    if (gossip == nullptr)
        return;
    PeerRef from;
    from.instance = message.peer;
    receive(from, *gossip, nullptr, now);
}

void MembershipTask::on(PeerStreamClosed &&message, TimePoint now)
{
    if (!m_link.removeStream(message.peer, message.stream))
        return;
    // If a stream that was open breaks, the peer is suspected only if a new one cannot be opened.
    send(message.wasOpen ? m_membership.syncWith(message.peer)
                         : m_membership.suspect(message.peer, now),
         now);
}

void MembershipTask::on(SelfChanged &&message, TimePoint now)
{
    send(m_membership.announce(message.state, message.slots, message.service), now);
}

void MembershipTask::on(ConfigurationArrived &&message, TimePoint now)
{
    acceptConfiguration(message.configuration, std::nullopt, now);
}

/// The node task posts only events that are new to this node. They are passed on to neighbours.
void MembershipTask::on(PoisonEventsReceived &&message, TimePoint now)
{
    send(m_membership.disseminate(message.events, message.from), now);
}

void MembershipTask::on(MembersRequest &&message, TimePoint)
{
    message.reply->post(m_membership.members());
}

void MembershipTask::receive(const PeerRef &from, const Gossip &gossip, FrameSink *replySink,
                             TimePoint now)
{
    const Membership::OutgoingGossips gossips = m_membership.receive(from, gossip, now);
    for (const Membership::OutgoingGossip &outgoing : gossips) {
        const bool isReply = outgoing.to.instance == from.instance;
        if (isReply && replySink != nullptr)
            replySink->post(outgoing.gossip);
        else if (isReply)
            m_link.sendIfOpen(from.instance, outgoing.gossip, now);
        else
            m_link.send(outgoing.to, outgoing.gossip, now);
    }
    if (!gossip.poisonEvents.empty())
        m_callbacks.poisonEvents({gossip.poisonEvents, from.instance});
    if (gossip.configuration.empty() || gossip.version <= m_membership.version())
        return;
    const Result<Configuration> configuration = parseConfiguration(gossip.configuration);
    if (configuration)
        acceptConfiguration(configuration.value(), from.instance, now);
}

void MembershipTask::acceptConfiguration(const Configuration &configuration,
                                         const std::optional<InstanceId> &except, TimePoint now)
{
    if (configuration.revision <= m_membership.revision())
        return;
    send(m_membership.disseminate(configuration, except), now);
    m_callbacks.configuration({configuration});
}

void MembershipTask::send(const Membership::OutgoingGossips &gossips, TimePoint now)
{
    for (const Membership::OutgoingGossip &outgoing : gossips)
        m_link.send(outgoing.to, outgoing.gossip, now);
}

void MembershipTask::publishChanges()
{
    if (m_publishedChange == m_membership.changeCount())
        return;
    m_publishedChange = m_membership.changeCount();
    m_callbacks.view({m_membership.members()});
    const bool isReader = m_membership.isConfigurationReader();
    if (m_publishedReaderRole != isReader) {
        m_publishedReaderRole = isReader;
        m_callbacks.readerRole({isReader});
    }
}

} // namespace buckthornford
