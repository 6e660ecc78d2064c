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

LinkClient::Settings linkSettings(std::map<std::string, std::string> dial)
{
    LinkClient::Settings settings;
    // A neighbour is judged by its stream, so it's pinged all the time.
    settings.pingInterval = std::chrono::milliseconds(1000);
    settings.silenceTimeout = std::chrono::milliseconds(2500);
    settings.dialOverrides = std::move(dial);
    return settings;
}

} // namespace

MembershipTask::MembershipTask(Member self, std::vector<std::string> seeds,
                               std::map<std::string, std::string> dial, std::uint64_t seed,
                               Callbacks listeners)
    : m_self(self.peer)
    , m_membership(std::move(self), std::move(seeds), membershipSettings(seed))
    , m_link(m_self, this, linkSettings(std::move(dial)))
    , m_listeners(std::move(listeners))
{}

MembershipTask::~MembershipTask()
{
    stop();
}

void MembershipTask::onFrame(const InstanceId &peer, Frame frame)
{
    post(PeerFrame{peer, std::move(frame)});
}

void MembershipTask::onEnded(const InstanceId &peer, StreamId channel, bool wasOpen)
{
    post(PeerStreamClosed{peer, channel, wasOpen});
}

void MembershipTask::handle(MembershipMessage &&message, TimePoint now)
{
    std::visit([this, now](auto &&kind) { on(std::forward<decltype(kind)>(kind), now); },
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
    m_channels[message.stream].sink = std::move(message.sink);
}

void MembershipTask::on(IncomingFrame &&message, TimePoint now)
{
    const auto found = m_channels.find(message.stream);
    if (found == m_channels.end())
        return;
    if (const auto *hello = std::get_if<Hello>(&message.frame))
        found->second.peer = hello->peer;
    if (const auto *gossip = std::get_if<Gossip>(&message.frame)) {
        // The sink may go away with the channel while the gossip is taken in.
        const Channel channel = found->second;
        receive(channel.peer, *gossip, channel.sink.get(), now);
    }
}

void MembershipTask::on(IncomingStreamClosed &&message, TimePoint)
{
    m_channels.erase(message.stream);
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
    // After a stream that worked has broken, only a failing new one is a reason for suspicion.
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

/// The node's task has found these to be news; others hear of them.
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
    const Membership::OutgoingGossips sendings = m_membership.receive(from, gossip, now);
    for (const Membership::OutgoingGossip &sending : sendings) {
        const bool isReply = sending.to.instance == from.instance;
        if (isReply && replySink != nullptr)
            replySink->post(sending.gossip);
        else if (isReply)
            m_link.sendIfOpen(from.instance, sending.gossip, now);
        else
            m_link.send(sending.to, sending.gossip, now);
    }
    if (!gossip.poisonEvents.empty())
        m_listeners.strikes({gossip.poisonEvents, from.instance});
    if (gossip.configuration.empty() || gossip.revision <= m_membership.revision())
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
    m_listeners.configuration({configuration});
}

void MembershipTask::send(const Membership::OutgoingGossips &sendings, TimePoint now)
{
    for (const Membership::OutgoingGossip &sending : sendings)
        m_link.send(sending.to, sending.gossip, now);
}

void MembershipTask::publishChanges()
{
    if (m_toldChange == m_membership.changeCount())
        return;
    m_toldChange = m_membership.changeCount();
    m_listeners.view({m_membership.members()});
    const bool isReader = m_membership.isConfigurationReader();
    if (m_toldReader != isReader) {
        m_toldReader = isReader;
        m_listeners.reader({isReader});
    }
}

} // namespace buckthornford
