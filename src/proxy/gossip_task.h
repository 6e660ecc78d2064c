#pragma once

/// The task that owns the table of members and tells other nodes of changes.

#include "membership/membership.h"
#include "mesh/mesh.h"
#include "proxy/adapter.h"
#include "proxy/proxy_task.h"

#include <functional>
#include <variant>

namespace buckthornford {

/// Gossip from a peer; with \a channel on a stream that the peer opened.
struct GossipArrived
{
    PeerRef from;
    std::optional<ChannelId> channel;
    Gossip gossip;
};

struct GossipPeerEnded
{
    InstanceId peer;
    bool wasOpen = false;
};

/// Peer doors that the store listed.
struct SeedsFound
{
    std::vector<std::string> addresses;
};

/// A configuration that this node has taken, as its text.
struct ConfigurationHeld
{
    Revision revision;
    std::string text;
};

using GossipMessage = std::variant<GossipArrived, GossipPeerEnded, SeedsFound, ConfigurationHeld,
                                   NodeCondition, StrikesTaken>;

/// Whom the task tells of what it learns.
struct GossipOutputs
{
    std::function<void(MeshMessage)> mesh;
    std::function<void(MembersChanged)> members;
    std::function<void(std::string)> configuration; ///< text of a newer one that a peer has
    std::function<void(StrikesTaken)> strikes;
    std::function<void(InstanceId)> forgotten; ///< what is stored of this node is to be removed
};

class GossipTask : public LoopTask<GossipMessage>
{
public:
    GossipTask(EventLoop *loop, Member self, std::vector<std::string> seeds, std::uint64_t seed,
               GossipOutputs outputs);

    /// Other nodes that are known to live.
    std::size_t liveCount() const { return m_liveCount; }

protected:
    void handle(GossipMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;
    void settle(TimePoint now) override;

private:
    void on(GossipArrived &&message, TimePoint now);
    void on(GossipPeerEnded &&message, TimePoint now);
    void on(SeedsFound &&message, TimePoint now);
    void on(ConfigurationHeld &&message, TimePoint now);
    void on(NodeCondition &&message, TimePoint now);
    void on(StrikesTaken &&message, TimePoint now);
    void send(const Membership::Sendings &sendings);

    Membership m_membership;
    GossipOutputs m_outputs;
    std::uint64_t m_toldChange = 0;
    std::size_t m_liveCount = 0;
};

} // namespace buckthornford
