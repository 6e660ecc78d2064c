#pragma once

/// Membership of the fleet, kept by gossip: there is no central list and no coordinator.

#include "call/call.h"
#include "core/core.h"
#include "departure/departure.h"
#include "poison/poison.h"
#include "preset/preset.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace buckthornford {

enum class MemberState {
    Joining, ///< no upstream has announced itself to the node yet
    Serving,
    Leaving, ///< finishes its requests in flight and takes no new ones

    Dead, ///< reported by other nodes: suspected for the whole suspicion timeout
    Left, ///< reported by the node itself before it stopped
};

std::string_view memberStateName(MemberState state);

/// What gossip says about one node. Only the node itself increments its version.
struct Member
{
    PeerRef peer;
    std::uint64_t version = 0;
    MemberState state = MemberState::Joining;
    bool suspected = false; ///< reported by other nodes: it does not answer
    ServiceName service;
    ZoneName zone;
    RegionName region;
    Slots slots;
    std::string callersAddress;
    std::string operatorAddress;
    /// Newest departure of an upstream beside the node. Kept from one start of the node to the
    /// next, so that the node learns it from its peers.
    std::optional<UpstreamDeparture> departure;

    bool isLive() const { return state < MemberState::Dead; }
    bool isServing() const { return state == MemberState::Serving; }

    /// Returns the name of the state, or "suspect" for a live node that is suspected.
    std::string_view displayState() const;
    friend bool operator==(const Member &, const Member &) = default;
};

/// Returns whether \a a replaces \a b, another report about the same instance.
bool supersedes(const Member &a, const Member &b);

/// Names one text of the configuration. A store that has come back from a copy may give a revision
/// out again, with another text; that of the newer era replaces the other.
struct ConfigurationVersion
{
    Revision revision;
    StoreEra era; ///< of the store that held the text; 0 if not known

    friend auto operator<=>(const ConfigurationVersion &, const ConfigurationVersion &) = default;
};

/// A message between the membership tables of two nodes.
struct Gossip
{
    std::vector<Member> members;
    std::vector<std::uint64_t> bucketHashes; ///< of the sender's whole table; empty if not sent
    bool wantsHashes = false;                ///< asks the receiver for its bucket hashes
    ConfigurationVersion version;            ///< of the newest configuration that the sender has
    bool wantsConfiguration = false;         ///< asks the receiver for a newer one
    std::string configuration;               ///< JSON text; empty if not sent
    std::vector<PoisonEvent> poisonEvents;
};

/// The table of members, and the decisions which node to send what. It uses no socket and no
/// clock: its task sends the messages that it returns and passes in the time.
class Membership
{
public:
    struct Settings
    {
        /// From suspected to dead.
        Duration suspicionTimeout{std::chrono::seconds(1)};
        /// For which dead and left nodes are kept in the table.
        Duration tombstoneLifetime{std::chrono::minutes(60)};
        /// Between anti-entropy exchanges.
        Duration syncInterval{std::chrono::seconds(1)};
        /// Between attempts to contact dead nodes and seeds.
        Duration rejoinInterval{std::chrono::seconds(3)};
        /// After a peer has advertised a newer configuration: time for it to arrive from the
        /// platform or another peer before this node requests it from the peer.
        Duration configurationFetchDelay{std::chrono::milliseconds(30)};
        /// From a request for a newer configuration to the next one.
        Duration configurationRequestInterval{std::chrono::milliseconds(300)};
        std::uint64_t seed = 1; ///< of the random number generator
    };

    /// One message to send.
    struct OutgoingGossip
    {
        PeerRef to;
        Gossip gossip;
    };
    using OutgoingGossips = std::vector<OutgoingGossip>;

    Membership(Member self, std::vector<std::string> seeds, Settings settings);

    const Member &self() const { return m_self; }

    /// Adds peer addresses of nodes through which this node may join the fleet.
    void addSeeds(std::vector<std::string> seeds);

    /// Changes this node's own entry and advertises it to the neighbours. The entry keeps a newer
    /// departure than \a departure.
    OutgoingGossips announce(MemberState state, Slots slots, const ServiceName &service,
                             const std::optional<UpstreamDeparture> &departure = std::nullopt);

    /// Merges what \a from sent into the table. Returns the reply to \a from first, if there is
    /// one, and then the updates to relay to the neighbours.
    OutgoingGossips receive(const PeerRef &from, const Gossip &gossip, TimePoint now);

    /// Returns the anti-entropy message to send to \a instance over a new stream; nothing if
    /// \a instance is not alive.
    OutgoingGossips syncWith(const InstanceId &instance) const;

    /// Marks the neighbour \a instance, which does not answer, as suspected.
    OutgoingGossips suspect(const InstanceId &instance, TimePoint now);

    /// Sends \a events, which this node has just recorded for the first time, to all neighbours
    /// but \a except.
    OutgoingGossips disseminate(const std::vector<PoisonEvent> &events,
                                const std::optional<InstanceId> &except) const;

    /// Records \a configuration as the current one and sends it to all neighbours but \a except.
    OutgoingGossips disseminate(const Configuration &configuration,
                                const std::optional<InstanceId> &except);

    /// Does what is due at \a now: declares suspected nodes dead, advertises the revision, and
    /// starts anti-entropy exchanges and attempts to rejoin.
    OutgoingGossips tick(TimePoint now);

    /// Returns the peers to which updates are sent: successors at distances 1, 2, 4 and so on on
    /// the ring of the region's nodes and, for the few bridges of the region, one bridge of each
    /// other region.
    std::vector<PeerRef> neighbours() const;

    /// Returns the nodes whose tombstones have expired since the last call and whose stored rows
    /// this node has to remove. Only the live successor of such a node on the ring returns it.
    std::vector<InstanceId> takeExpiredMembers() { return std::exchange(m_expiredMembers, {}); }

    /// Returns whether this node is one of the few in its availability zone that read the
    /// configuration from the platform; the others hear of it from their peers.
    bool isConfigurationReader() const;

    std::vector<Member> members() const;

    /// Returns the number of changes so far; while it stays equal, the table is unchanged.
    std::uint64_t changeCount() const { return m_changeCount; }

    /// Records that this node now uses \a configuration; the next tick advertises \a version to the
    /// neighbours.
    void setConfiguration(ConfigurationVersion version, std::string configuration);
    ConfigurationVersion version() const { return m_version; }
    Revision revision() const { return m_version.revision; }

    /// Returns when to request the newer configuration that a peer advertised; nothing if there is
    /// none.
    std::optional<TimePoint> configurationFetchTime() const;

private:
    struct KnownMember
    {
        Member member;
        TimePoint lastChange;
    };

    /// A peer that has a newer configuration than this node.
    struct NewerConfiguration
    {
        PeerRef peer;
        ConfigurationVersion version;
        TimePoint fetchTime; ///< when to request it
    };

    static constexpr std::size_t bucketCount = 64;

    const Member *merge(const Member &member, TimePoint now);
    void refute(const Member &claim);
    bool receiveOwnEntry(const Member &entry);
    std::vector<std::uint64_t> bucketHashes() const;
    std::vector<Member> membersInDifferingBuckets(const std::vector<std::uint64_t> &theirs) const;
    std::vector<PeerRef> ringNeighbours() const;
    std::vector<PeerRef> bridgePeers() const;
    std::vector<PeerRef> peersOfOtherRegions() const;
    std::size_t regionSize() const;
    OutgoingGossips messagesForNeighbours(Gossip gossip,
                                          const std::optional<InstanceId> &except) const;
    OutgoingGossips disseminateMembers(const std::vector<Member> &updates,
                                       const std::optional<InstanceId> &except) const;
    Gossip syncMessage() const;
    void ageMembers(TimePoint now, std::vector<Member> *updates);
    void contactLostMembers(OutgoingGossips *messages);
    void startSync(OutgoingGossips *messages);
    bool isSuccessorOf(const InstanceId &instance) const;
    void removeExpiredTombstones(TimePoint now);
    void recordPeerVersion(const PeerRef &from, ConfigurationVersion version, TimePoint now);
    void advertiseVersion(OutgoingGossips *messages);
    void requestConfiguration(OutgoingGossips *messages, TimePoint now);
    static std::size_t bucketOf(const InstanceId &instance);

    Member m_self;
    std::vector<std::string> m_seeds;
    Settings m_settings;
    std::mt19937_64 m_random;
    std::map<InstanceId, KnownMember> m_others;
    std::uint64_t m_changeCount = 1;
    ConfigurationVersion m_version;
    ConfigurationVersion m_advertisedVersion; ///< newest that the neighbours were sent
    std::string m_configuration;              ///< JSON text of m_version
    std::optional<NewerConfiguration> m_newerConfiguration;
    std::vector<InstanceId> m_expiredMembers;
    TimePoint m_nextSync;
    TimePoint m_nextRejoin;
    TimePoint m_nextConfigurationRequest; ///< earliest time of the next request to a peer
};

} // namespace buckthornford
