#pragma once

/// The task that owns the membership table and exchanges gossip with other nodes.

#include "membership/membership.h"
#include "mesh/mesh.h"
#include "proxy/adapter.h"
#include "proxy/proxy_task.h"
#include "store/store.h"

#include <functional>
#include <variant>

namespace buckthornford {

/// Gossip from a peer.
struct GossipArrived
{
    PeerRef from;
    std::optional<StreamId> stream; ///< the incoming stream it came on; not set for an outgoing one
    Gossip gossip;
};

/// The outgoing stream to a peer has ended.
struct GossipStreamEnded
{
    InstanceId peer;
    bool wasOpen = false; ///< the peer had sent its hello
};

/// Peer addresses of nodes that are registered in the store.
struct SeedsFound
{
    std::vector<std::string> addresses;
};

/// This node has accepted a configuration.
struct ConfigurationAccepted
{
    ConfigurationVersion version;
    std::string text; ///< the configuration as stored
};

using GossipMessage = std::variant<GossipArrived, GossipStreamEnded, SeedsFound,
                                   ConfigurationAccepted, NodeStatus, PoisonEventsArrived>;

/// Called by GossipTask on its event loop.
struct GossipCallbacks
{
    std::function<void(MeshMessage)> mesh;
    std::function<void(MembersChanged)> members; ///< all members, after any change
    std::function<void(FleetChanged)> fleet;     ///< what they mean for calls to the store
    /// Text of a newer configuration from a peer, and the era of the store that held it.
    std::function<void(const std::string &, StoreEra)> configuration;
    std::function<void(PoisonEventsArrived)> poisonEvents;
    /// Newest departure of an upstream beside this node that it or a peer remembers.
    std::function<void(const UpstreamDeparture &)> departure;
    std::function<void(InstanceId)> nodeExpired; ///< its registration in the store is to be removed
};

class GossipTask : public LoopTask<GossipMessage>
{
public:
    GossipTask(EventLoop *loop, Member self, std::vector<std::string> seeds, std::uint64_t seed,
               GossipCallbacks callbacks);

protected:
    void handle(GossipMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;
    void onBatchHandled(TimePoint now) override;

private:
    void on(GossipArrived &&message, TimePoint now);
    void on(GossipStreamEnded &&message, TimePoint now);
    void on(SeedsFound &&message, TimePoint now);
    void on(ConfigurationAccepted &&message, TimePoint now);
    void on(NodeStatus &&message, TimePoint now);
    void on(PoisonEventsArrived &&message, TimePoint now);
    void send(const Membership::OutgoingGossips &gossips);

    Membership m_membership;
    GossipCallbacks m_callbacks;
    std::uint64_t m_publishedChange = 0; ///< change count of the members published last
    std::size_t m_liveCount = 0;
    std::optional<UpstreamDeparture> m_publishedDeparture;
};

} // namespace buckthornford
