#pragma once

/// Which nodes there are, by gossip: no list, no coordinator.

#include "call/call.h"
#include "core/core.h"
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
    Joining, ///< no upstream has announced itself yet
    Serving,
    Leaving, ///< finishes what it has, takes nothing new

    Dead, ///< said by others: it didn't answer for long
    Left, ///< said by itself before it stopped
};

std::string_view memberStateName(MemberState state);

/// One node as gossip tells it. Only the node itself raises its version.
struct Member
{
    PeerRef peer;
    std::uint64_t version = 0;
    MemberState state = MemberState::Joining;
    bool suspected = false; ///< said by others: it doesn't answer
    ServiceName service;
    ZoneName zone;
    RegionName region;
    Slots slots;
    std::string callersAddress;
    std::string operatorAddress;

    bool isLive() const { return state < MemberState::Dead; }
    bool isServing() const { return state == MemberState::Serving; }

    /// The state's name, or "suspect".
    std::string_view displayState() const;
    friend bool operator==(const Member &, const Member &) = default;
};

/// Whether \a a is newer news than \a b of the same instance.
bool supersedes(const Member &a, const Member &b);

/// What nodes tell each other.
struct Gossip
{
    std::vector<Member> members;
    std::vector<std::uint64_t> bucketHashes; ///< of the sender's whole table; empty if not told
    bool wantsHashes = false;                ///< answer with your bucket hashes too
    Revision revision;                       ///< newest configuration that the sender has
    std::string configuration;               ///< JSON text; empty if not sent
    std::vector<PoisonEvent> poisonEvents;
};

/// The table of members and the decisions on whom to tell what. No socket, no clock.
class Membership
{
public:
    struct Settings
    {
        Duration suspicionTimeout{std::chrono::seconds(1)};   ///< from suspect to dead
        Duration tombstoneLifetime{std::chrono::minutes(60)}; ///< how long the dead are remembered
        Duration syncInterval{std::chrono::seconds(1)};       ///< between comparisons of tables
        Duration rejoinInterval{
                std::chrono::seconds(3)}; ///< between tries to reach the dead and seeds
        /// For which a newer configuration may come from the platform itself before it is asked of
        /// a peer.
        Duration configurationFetchDelay{std::chrono::milliseconds(100)};
        std::uint64_t seed = 1;
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

    /// Peer doors of further nodes to try.
    void addSeeds(std::vector<std::string> seeds);

    /// Changes what this node says of itself and tells the neighbours.
    OutgoingGossips announce(MemberState state, Slots slots, const ServiceName &service);

    /// Takes in what \a from sent. The first sending whose receiver is \a from, if any, is the
    /// reply.
    OutgoingGossips receive(const PeerRef &from, const Gossip &gossip, TimePoint now);

    /// A comparison for \a instance, to open a new stream to it; none if it isn't alive.
    OutgoingGossips syncWith(const InstanceId &instance) const;

    /// A neighbour doesn't answer.
    OutgoingGossips suspect(const InstanceId &instance, TimePoint now);

    /// Spreads strikes that were news here, to the neighbours, all but \a except.
    OutgoingGossips disseminate(const std::vector<PoisonEvent> &strikes,
                                const std::optional<InstanceId> &except) const;

    /// Spreads \a configuration to the neighbours, all but \a except.
    OutgoingGossips spread(const Configuration &configuration,
                           const std::optional<InstanceId> &except);

    OutgoingGossips tick(TimePoint now);

    /// The peers to keep a stream to: ring successors at distances 1, 2, 4 and so on.
    std::vector<PeerRef> neighbours() const;

    /// Hands over the nodes that have been gone for Settings::tombstone and what is stored of which
    /// this node has to remove; of all live nodes one gets each.
    std::vector<InstanceId> takeExpiredMembers() { return std::exchange(m_expiredMembers, {}); }

    /// Whether this node is one of the few in its availability zone that read the platform.
    bool isConfigurationReader() const;

    std::vector<Member> members() const;

    /// Counts changes; equal numbers mean an unchanged table.
    std::uint64_t changeCount() const { return m_changes; }

    /// This node has taken \a configuration; the next tick tells the neighbours its revision.
    void setConfiguration(Revision revision, std::string configuration);
    Revision revision() const { return m_revision; }

    /// When a configuration that a peer told of is to be asked for, if one is missing.
    std::optional<TimePoint> configurationFetchTime() const;

private:
    struct KnownMember
    {
        Member member;
        TimePoint since; ///< of the last change
    };

    /// A peer that has a newer configuration than this node.
    struct NewerConfiguration
    {
        PeerRef peer;
        Revision revision;
        TimePoint since; ///< when a newer one than this node's was heard of first
    };

    static constexpr std::size_t bucketCount = 64;

    bool merge(const Member &member, TimePoint now);
    void refute(const Member &rumour);
    std::vector<std::uint64_t> bucketHashes() const;
    std::vector<Member> membersInDifferingBuckets(const std::vector<std::uint64_t> &theirs) const;
    OutgoingGossips toNeighbours(Gossip gossip, const std::optional<InstanceId> &except) const;
    OutgoingGossips flood(const std::vector<Member> &news,
                          const std::optional<InstanceId> &except) const;
    Gossip syncMessage() const;
    void expireMembers(TimePoint now, std::vector<Member> *news);
    void contactLostMembers(OutgoingGossips *sendings);
    void startSync(OutgoingGossips *sendings);
    bool isSuccessorOf(const InstanceId &instance) const;
    void removeExpiredTombstones(TimePoint now);
    void recordPeerRevision(const PeerRef &from, Revision revision, TimePoint now);
    void advertiseRevision(OutgoingGossips *sendings);
    void requestConfiguration(OutgoingGossips *sendings, TimePoint now);
    static std::size_t bucketOf(const InstanceId &instance);

    Member m_self;
    std::vector<std::string> m_seeds;
    Settings m_settings;
    std::mt19937_64 m_random;
    std::map<InstanceId, KnownMember> m_others;
    std::uint64_t m_changes = 1;
    Revision m_revision;
    Revision m_advertisedRevision; ///< to the neighbours
    std::string m_configuration;
    std::optional<NewerConfiguration> m_newerConfiguration;
    std::vector<InstanceId> m_expiredMembers;
    TimePoint m_nextExchange;
    TimePoint m_nextRejoin;
};

} // namespace buckthornford
