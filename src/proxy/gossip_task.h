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
    std::optional<StreamId> stream;
    Gossip gossip;
};

struct GossipStreamEnded
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
struct ConfigurationAccepted
{
    Revision revision;
    std::string text;
};

using GossipMessage = std::variant<GossipArrived, GossipStreamEnded, SeedsFound,
                                   ConfigurationAccepted, NodeStatus, PoisonEventsArrived>;

/// Whom the task tells of what it learns.
struct GossipCallbacks
{
    std::function<void(MeshMessage)> mesh;
    std::function<void(MembersChanged)> members;
    std::function<void(std::string)> configuration; ///< text of a newer one that a peer has
    std::function<void(PoisonEventsArrived)> poisonEvents;
    std::function<void(InstanceId)> nodeExpired; ///< what is stored of this node is to be removed
};

class GossipTask : public LoopTask<GossipMessage>
{
public:
    GossipTask(EventLoop *loop, Member self, std::vector<std::string> seeds, std::uint64_t seed,
               GossipCallbacks outputs);

    /// Other nodes that are known to live.
    std::size_t liveCount() const { return m_liveCount; }

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
    void send(const Membership::OutgoingGossips &sendings);

    Membership m_membership;
    GossipCallbacks m_callbacks;
    std::uint64_t m_publishedChange = 0;
    std::size_t m_liveCount = 0;
};

} // namespace buckthornford
