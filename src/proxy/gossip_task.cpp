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
                       std::uint64_t seed, GossipOutputs outputs)
    : LoopTask(loop)
    , m_membership(std::move(self), std::move(seeds), membershipSettings(seed))
    , m_outputs(std::move(outputs))
{}

void GossipTask::handle(GossipMessage &&message, TimePoint now)
{
    std::visit([this, now](auto &&kind) { on(std::forward<decltype(kind)>(kind), now); },
               std::move(message));
}

TimePoint GossipTask::tick(TimePoint now)
{
    send(m_membership.tick(now));
    for (const InstanceId &instance : m_membership.takeForgotten())
        m_outputs.forgotten(instance);
    return std::min(now + tickInterval, m_membership.configurationDue().value_or(TimePoint::max()));
}

/// Tells of changes once for all messages that came together.
void GossipTask::settle(TimePoint)
{
    if (m_toldChange == m_membership.changeCount())
        return;
    m_toldChange = m_membership.changeCount();
    std::vector<Member> members = m_membership.members();
    m_liveCount = 0;
    for (const Member &member : members) {
        const bool isOther = member.peer.instance != m_membership.self().peer.instance;
        m_liveCount += isOther && member.isLive() ? 1 : 0;
    }
    m_outputs.members({std::move(members)});
}

void GossipTask::on(GossipArrived &&message, TimePoint now)
{
    const Gossip &gossip = message.gossip;
    if (!gossip.configuration.empty() && gossip.revision > m_membership.revision())
        m_outputs.configuration(gossip.configuration);
    if (!gossip.strikes.empty())
        m_outputs.strikes({gossip.strikes, message.from.instance});
    for (const Membership::Sending &sending : m_membership.receive(message.from, gossip, now)) {
        const bool isReply = sending.to.instance == message.from.instance;
        if (isReply && message.channel)
            m_outputs.mesh(SendOnChannel{*message.channel, sending.gossip});
        else
            m_outputs.mesh(SendToPeer{sending.to, sending.gossip});
    }
    if (const auto due = m_membership.configurationDue())
        wakeBy(*due);
}

void GossipTask::on(GossipPeerEnded &&message, TimePoint now)
{
    // After a stream that worked has broken, only a failing new one is a reason for suspicion.
    send(message.wasOpen ? m_membership.greet(message.peer)
                         : m_membership.suspect(message.peer, now));
}

void GossipTask::on(SeedsFound &&message, TimePoint)
{
    m_membership.addSeeds(std::move(message.addresses));
}

void GossipTask::on(ConfigurationHeld &&message, TimePoint now)
{
    m_membership.setRevision(message.revision, std::move(message.text));
    wakeBy(now);
}

void GossipTask::on(NodeCondition &&message, TimePoint)
{
    send(m_membership.announce(message.state, message.slots, message.service));
}

void GossipTask::on(StrikesTaken &&message, TimePoint)
{
    send(m_membership.spread(message.strikes, message.from));
}

void GossipTask::send(const Membership::Sendings &sendings)
{
    for (const Membership::Sending &sending : sendings)
        m_outputs.mesh(SendToPeer{sending.to, sending.gossip});
}

} // namespace buckthornford
