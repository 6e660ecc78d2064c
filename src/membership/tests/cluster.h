#pragma once

/// Simulated fleet for the tests of Membership.

#include "membership/membership.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace buckthornford {

inline TimePoint at(std::int64_t milliseconds)
{
    return TimePoint{std::chrono::milliseconds(milliseconds)};
}

inline Member makeMember(int number, std::uint64_t incarnation = 1)
{
    Member member;
    const std::string name = "n" + std::to_string(number);
    member.peer
            = {InstanceId{name}, Incarnation{incarnation}, "10.0.0.1:" + std::to_string(number)};
    member.zone = ZoneName{number % 2 == 0 ? "a" : "b"};
    member.service = ServiceName{"s"};
    return member;
}

/// Membership tables that deliver their messages to each other at once, except between nodes that
/// are partitioned from each other.
class Cluster
{
public:
    static constexpr Duration tombstoneLifetime = std::chrono::seconds(20);

    /// Node i is in region i modulo \a regionCount; with one region the nodes name none.
    explicit Cluster(int count, int regionCount = 1)
        : m_regionCount(regionCount)
    {
        for (int i = 0; i < count; ++i)
            add(i, 1);
    }

    void add(int number, std::uint64_t incarnation)
    {
        Membership::Settings settings;
        settings.seed = static_cast<std::uint64_t>(number) + 1;
        settings.tombstoneLifetime = tombstoneLifetime;
        Member self = makeMember(number, incarnation);
        if (m_regionCount > 1)
            self.region = RegionName{"r" + std::to_string(number % m_regionCount)};
        nodes[self.peer.instance] = std::make_unique<Membership>(
                self, std::vector<std::string>{makeMember(0).peer.address}, settings);
    }

    Membership &node(int number) { return *nodes.at(makeMember(number).peer.instance); }

    void deliver(const PeerRef &from, Membership::OutgoingGossips messages, TimePoint now)
    {
        std::deque<std::pair<PeerRef, Membership::OutgoingGossip>> queue;
        for (auto &message : messages)
            queue.emplace_back(from, std::move(message));
        while (!queue.empty()) {
            const auto [sender, message] = queue.front();
            queue.pop_front();
            Membership *receiver = findNode(message.to);
            if (receiver == nullptr
                || isPartitioned(sender.instance, receiver->self().peer.instance)) {
                if (suspectsUnreachable) {
                    for (auto &next : nodes.at(sender.instance)->suspect(message.to.instance, now))
                        queue.emplace_back(sender, std::move(next));
                }
                continue;
            }
            ++deliveredMessages;
            if (sender.instance != receiver->self().peer.instance
                && regionOf(sender.instance) != receiver->self().region)
                onCrossRegion(message.gossip);
            if (!message.gossip.configuration.empty()
                && message.gossip.version > receiver->version())
                receiver->setConfiguration(message.gossip.version, message.gossip.configuration);
            for (auto &next : receiver->receive(sender, message.gossip, now))
                queue.emplace_back(receiver->self().peer, std::move(next));
        }
    }

    void tick(std::int64_t begin, std::int64_t end)
    {
        for (std::int64_t now = begin; now < end; now += 100) {
            for (auto &[instance, node] : nodes)
                deliver(node->self().peer, node->tick(at(now)), at(now));
        }
    }

    MemberState stateSeenBy(int observer, int number)
    {
        for (const Member &member : node(observer).members()) {
            if (member.peer.instance == makeMember(number).peer.instance)
                return member.state;
        }
        return MemberState::Left;
    }

    std::map<InstanceId, std::unique_ptr<Membership>> nodes;
    std::function<bool(const InstanceId &, const InstanceId &)> isPartitioned
            = [](const InstanceId &, const InstanceId &) { return false; };
    /// A node to which a message can't be delivered is suspected, as when no stream to it opens.
    bool suspectsUnreachable = false;
    std::size_t deliveredMessages = 0;
    /// Called with each message that crosses regions.
    std::function<void(const Gossip &)> onCrossRegion = [](const Gossip &) {};

private:
    RegionName regionOf(const InstanceId &instance) const
    {
        const auto found = nodes.find(instance);
        return found == nodes.end() ? RegionName{} : found->second->self().region;
    }

    Membership *findNode(const PeerRef &peer)
    {
        for (auto &[instance, node] : nodes) {
            if (instance == peer.instance || node->self().peer.address == peer.address)
                return node.get();
        }
        return nullptr;
    }

    int m_regionCount;
};

} // namespace buckthornford
