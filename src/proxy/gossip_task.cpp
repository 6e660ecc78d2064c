#include "proxy/gossip_task.h"

#include <algorithm>

namespace buckthornford {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(250);

Membership::Settings membershipSettings(std::uint64_t seed)
{
    Membership::Settings settings;
    settings.seed = seed;
    return settings;
}

} // namespace

GossipTask::GossipTask(EventLoop *loop, Member self, std::vector<std::string> seeds,
                       std::uint64_t seed, GossipCallbacks callbacks)
    : LoopTask(loop)
    , m_membership(std::move(self), std::move(seeds), membershipSettings(seed))
    , m_callbacks(std::move(callbacks))
{}

void GossipTask::handle(GossipMessage &&message, TimePoint now)
{
    std::visit(
            [this, now](auto &&alternative) {
                on(std::forward<decltype(alternative)>(alternative), now);
            },
            std::move(message));
}

TimePoint GossipTask::tick(TimePoint now)
{
    send(m_membership.tick(now));
    for (const InstanceId &instance : m_membership.takeExpiredMembers())
        m_callbacks.nodeExpired(instance);
    return std::min(now + tickInterval,
                    m_membership.configurationFetchTime().value_or(TimePoint::max()));
}

/// Publishes the members at most once per batch of messages.
void GossipTask::onBatchHandled(TimePoint)
{
    if (m_publishedChange == m_membership.changeCount())
        return;
    m_publishedChange = m_membership.changeCount();
    std::vector<Member> members = m_membership.members();
    m_liveCount = 0;
    for (const Member &member : members) {
        const bool isOther = member.peer.instance != m_membership.self().peer.instance;
        m_liveCount += isOther && member.isLive() ? 1 : 0;
    }
    m_callbacks.members({std::move(members)});
    m_callbacks.fleet({m_liveCount, m_membership.isConfigurationReader()});
    const std::optional<UpstreamDeparture> &departure = m_membership.self().departure;
    if (departure && departure != m_publishedDeparture) {
        m_publishedDeparture = departure;
        m_callbacks.departure(*departure);
    }
}

void GossipTask::on(GossipArrived &&message, TimePoint now)
{
    const Gossip &gossip = message.gossip;
    if (!gossip.configuration.empty() && gossip.version > m_membership.version())
        m_callbacks.configuration(gossip.configuration, gossip.version.era);
    if (!gossip.poisonEvents.empty())
        m_callbacks.poisonEvents({gossip.poisonEvents, message.from.instance});
    for (const Membership::OutgoingGossip &outgoing :
         m_membership.receive(message.from, gossip, now)) {
        const bool isReply = outgoing.to.instance == message.from.instance;
        if (isReply && message.stream)
            m_callbacks.mesh(SendOnIncomingStream{*message.stream, outgoing.gossip});
        else
            m_callbacks.mesh(SendToPeer{outgoing.to, outgoing.gossip});
    }
    if (const auto fetchTime = m_membership.configurationFetchTime())
        wakeBy(*fetchTime);
}

void GossipTask::on(GossipStreamEnded &&message, TimePoint now)
{
    // The end of an open stream alone raises no suspicion: the sync opens a new stream, and only if
    // that one fails to open is the peer suspected.
    send(message.wasOpen ? m_membership.syncWith(message.peer)
                         : m_membership.suspect(message.peer, now));
}

void GossipTask::on(SeedsFound &&message, TimePoint)
{
    m_membership.addSeeds(std::move(message.addresses));
}

void GossipTask::on(ConfigurationAccepted &&message, TimePoint now)
{
    m_membership.setConfiguration(message.version, std::move(message.text));
    wakeBy(now);
}

void GossipTask::on(NodeStatus &&message, TimePoint)
{
    send(m_membership.announce(message.state, message.slots, message.service, message.departure));
}

void GossipTask::on(PoisonEventsArrived &&message, TimePoint)
{
    send(m_membership.disseminate(message.events, message.from));
}

void GossipTask::send(const Membership::OutgoingGossips &gossips)
{
    for (const Membership::OutgoingGossip &outgoing : gossips)
        m_callbacks.mesh(SendToPeer{outgoing.to, outgoing.gossip});
}

} // namespace buckthornford
