#include "membership/membership.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace buckthornford {

namespace {

constexpr std::size_t readersPerZone = 2;
/// Seeds that a node without neighbours contacts in each sync interval.
constexpr std::size_t maxSeedsPerSync = 8;
/// Expected number of nodes in the whole fleet that contact lost members in each
/// Membership::Settings::rejoinInterval.
constexpr std::size_t contactingNodesPerInterval = 20;
/// Nodes of a region that pass updates on to other regions; more than one, since some may be gone.
constexpr std::size_t bridgesPerRegion = 3;
/// Expected number of nodes of a region that compare their table with one of another region in each
/// Membership::Settings::syncInterval. They repair what the bridges miss.
constexpr std::size_t crossRegionSyncsPerInterval = 3;

/// Ranks reports of the same incarnation and version: left over dead over suspected over the rest.
int severity(const Member &member)
{
    static constexpr std::array<int, 5> severities{0, 0, 0, 2, 3};
    return std::max(severities[static_cast<std::size_t>(member.state)], member.suspected ? 1 : 0);
}

std::uint64_t ringPosition(const InstanceId &instance)
{
    return checksum("ring/" + instance.value());
}

/// Orders the nodes of a region; the first ones are its bridges.
std::uint64_t bridgePosition(const InstanceId &instance)
{
    return checksum("bridge/" + instance.value());
}

/// Replaces \a known by \a departure if that is newer. Returns whether it was.
bool keepNewest(const std::optional<UpstreamDeparture> &departure,
                std::optional<UpstreamDeparture> *known)
{
    if (!departure || !isNews(*departure, *known))
        return false;
    *known = departure;
    return true;
}

PeerRef seedPeer(const std::string &address)
{
    return {InstanceId{"@" + address}, Incarnation{0}, address};
}

} // namespace

std::string_view memberStateName(MemberState state)
{
    static constexpr std::array<std::string_view, 5> names{"joining", "serving", "leaving", "dead",
                                                           "left"};
    return names[static_cast<std::size_t>(state)];
}

std::string_view Member::displayState() const
{
    return suspected && isLive() ? "suspect" : memberStateName(state);
}

bool supersedes(const Member &a, const Member &b)
{
    const auto key = [](const Member &member) {
        return std::tuple(member.peer.incarnation, member.version, severity(member));
    };
    return key(a) > key(b);
}

Membership::Membership(Member self, std::vector<std::string> seeds, Settings settings)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_settings(settings)
    , m_random(settings.seed)
{
    std::erase(m_seeds, m_self.peer.address);
}

void Membership::addSeeds(std::vector<std::string> seeds)
{
    for (std::string &seed : seeds) {
        const bool isKnown = std::find(m_seeds.begin(), m_seeds.end(), seed) != m_seeds.end();
        if (!isKnown && seed != m_self.peer.address)
            m_seeds.push_back(std::move(seed));
    }
    m_nextSync = {}; // The next tick may contact the new seeds.
}

std::size_t Membership::bucketOf(const InstanceId &instance)
{
    return checksum(instance.value()) % bucketCount;
}

Membership::OutgoingGossips Membership::announce(MemberState state, Slots slots,
                                                 const ServiceName &service,
                                                 const std::optional<UpstreamDeparture> &departure)
{
    m_self.state = state;
    m_self.slots = slots;
    m_self.service = service;
    keepNewest(departure, &m_self.departure);
    ++m_self.version;
    ++m_changeCount;
    return disseminateMembers({m_self}, std::nullopt);
}

/// Makes this node's own entry supersede \a claim, a report that this node is suspected or dead, or
/// that has an incarnation or version which this node does not remember.
void Membership::refute(const Member &claim)
{
    // The incarnation comes from the clock at the start, which may have stepped back since the
    // earlier start that other nodes remember.
    m_self.peer.incarnation = std::max(m_self.peer.incarnation, claim.peer.incarnation);
    m_self.version = std::max(m_self.version, claim.version) + 1;
    ++m_changeCount;
}

/// Merges a report of this node itself, which may be older. Returns whether its own entry has
/// changed and is to be passed on.
bool Membership::receiveOwnEntry(const Member &entry)
{
    const bool hasNews = keepNewest(entry.departure, &m_self.departure);
    const bool isRefuted = supersedes(entry, m_self);
    if (hasNews || isRefuted)
        refute(isRefuted ? entry : m_self);
    return hasNews || isRefuted;
}

/// Merges a report of another node. Returns the new entry if it has changed, null if not.
const Member *Membership::merge(const Member &member, TimePoint now)
{
    const auto found = m_others.find(member.peer.instance);
    if (found == m_others.end()) {
        ++m_changeCount;
        return &m_others.emplace(member.peer.instance, KnownMember{member, now})
                        .first->second.member;
    }
    KnownMember &known = found->second;
    std::optional<UpstreamDeparture> departure = known.member.departure;
    const bool hasNews = keepNewest(member.departure, &departure);
    const bool isNewer = supersedes(member, known.member);
    if (!hasNews && !isNewer)
        return nullptr;
    if (isNewer)
        known = {member, now};
    known.member.departure = std::move(departure);
    ++m_changeCount;
    return &known.member;
}

Membership::OutgoingGossips Membership::receive(const PeerRef &from, const Gossip &gossip,
                                                TimePoint now)
{
    std::vector<Member> updates;
    for (const Member &member : gossip.members) {
        if (member.peer.instance != m_self.peer.instance) {
            if (const Member *merged = merge(member, now))
                updates.push_back(*merged);
        } else if (receiveOwnEntry(member)) {
            updates.push_back(m_self);
        }
    }
    if (gossip.configuration.empty())
        recordPeerVersion(from, gossip.version, now);
    Gossip reply;
    if (!gossip.bucketHashes.empty())
        reply.members = membersInDifferingBuckets(gossip.bucketHashes);
    if (gossip.wantsHashes && !reply.members.empty())
        reply.bucketHashes = bucketHashes();
    const bool asksForConfiguration = gossip.wantsConfiguration || !gossip.bucketHashes.empty();
    if (gossip.version < m_version && asksForConfiguration)
        reply.configuration = m_configuration;
    reply.version = m_version;
    OutgoingGossips messages;
    if (!reply.members.empty() || !reply.configuration.empty())
        messages.push_back({from, std::move(reply)});
    if (!updates.empty()) {
        OutgoingGossips relayed = disseminateMembers(updates, from.instance);
        std::move(relayed.begin(), relayed.end(), std::back_inserter(messages));
    }
    return messages;
}

Membership::OutgoingGossips Membership::syncWith(const InstanceId &instance) const
{
    const auto found = m_others.find(instance);
    if (found == m_others.end() || !found->second.member.isLive())
        return {};
    return {{found->second.member.peer, syncMessage()}};
}

Membership::OutgoingGossips Membership::suspect(const InstanceId &instance, TimePoint now)
{
    const auto found = m_others.find(instance);
    if (found == m_others.end() || found->second.member.suspected || !found->second.member.isLive())
        return {};
    Member suspectedMember = found->second.member;
    suspectedMember.suspected = true;
    merge(suspectedMember, now);
    return disseminateMembers({suspectedMember}, std::nullopt);
}

Membership::OutgoingGossips Membership::disseminate(const std::vector<PoisonEvent> &events,
                                                    const std::optional<InstanceId> &except) const
{
    Gossip gossip;
    gossip.poisonEvents = events;
    return messagesForNeighbours(std::move(gossip), except);
}

Membership::OutgoingGossips
Membership::messagesForNeighbours(Gossip gossip, const std::optional<InstanceId> &except) const
{
    gossip.version = m_version;
    OutgoingGossips messages;
    for (const PeerRef &peer : neighbours()) {
        if (peer.instance != except)
            messages.push_back({peer, gossip});
    }
    return messages;
}

std::vector<PeerRef> Membership::neighbours() const
{
    std::vector<PeerRef> peers = ringNeighbours();
    std::vector<PeerRef> bridges = bridgePeers();
    std::move(bridges.begin(), bridges.end(), std::back_inserter(peers));
    return peers;
}

std::vector<PeerRef> Membership::ringNeighbours() const
{
    std::vector<std::pair<std::uint64_t, const Member *>> ring;
    for (const auto &[instance, known] : m_others) {
        if (known.member.isLive() && known.member.region == m_self.region)
            ring.emplace_back(ringPosition(instance), &known.member);
    }
    std::sort(ring.begin(), ring.end());
    const std::uint64_t own = ringPosition(m_self.peer.instance);
    const auto start = static_cast<std::size_t>(
            std::lower_bound(ring.begin(), ring.end(), std::pair(own, (const Member *)nullptr))
            - ring.begin());
    std::vector<PeerRef> peers;
    for (std::size_t distance = 1; distance <= ring.size(); distance *= 2)
        peers.push_back(ring[(start + distance - 1) % ring.size()].second->peer);
    return peers;
}

/// Bridges of the same order in different regions are each other's peers. Empty if this node is no
/// bridge of its region.
std::vector<PeerRef> Membership::bridgePeers() const
{
    using Position = std::pair<std::uint64_t, const Member *>;
    std::map<RegionName, std::vector<Position>> regions;
    const auto add = [&regions](const Member &member) {
        if (member.isLive() && !member.suspected)
            regions[member.region].emplace_back(bridgePosition(member.peer.instance), &member);
    };
    add(m_self);
    for (const auto &[instance, known] : m_others)
        add(known.member);
    for (auto &[region, positions] : regions) {
        std::sort(positions.begin(), positions.end());
        positions.resize(std::min(positions.size(), bridgesPerRegion));
    }
    std::vector<PeerRef> peers;
    const std::vector<Position> &own = regions[m_self.region];
    const auto self = std::find_if(own.begin(), own.end(), [this](const Position &position) {
        return position.second == &m_self;
    });
    if (self == own.end())
        return peers;
    const auto index = static_cast<std::size_t>(self - own.begin());
    for (const auto &[region, positions] : regions) {
        if (region != m_self.region)
            peers.push_back(positions[index % positions.size()].second->peer);
    }
    return peers;
}

std::vector<PeerRef> Membership::peersOfOtherRegions() const
{
    std::vector<PeerRef> peers;
    for (const auto &[instance, known] : m_others) {
        if (known.member.isLive() && known.member.region != m_self.region)
            peers.push_back(known.member.peer);
    }
    return peers;
}

/// Returns the number of live nodes in this node's region, itself included.
std::size_t Membership::regionSize() const
{
    const auto others = std::count_if(m_others.begin(), m_others.end(), [this](const auto &other) {
        return other.second.member.isLive() && other.second.member.region == m_self.region;
    });
    return static_cast<std::size_t>(others) + 1;
}

bool Membership::isConfigurationReader() const
{
    const auto position = [](const InstanceId &instance) {
        return std::pair(checksum("reader/" + instance.value()), instance);
    };
    const auto own = position(m_self.peer.instance);
    const auto nodesBefore = std::count_if(
            m_others.begin(), m_others.end(), [&](const auto &other) {
                const Member &member = other.second.member;
                return member.isLive() && member.zone == m_self.zone && position(other.first) < own;
            });
    return nodesBefore < static_cast<std::ptrdiff_t>(readersPerZone);
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> all{m_self};
    for (const auto &[instance, known] : m_others)
        all.push_back(known.member);
    return all;
}

std::vector<std::uint64_t> Membership::bucketHashes() const
{
    std::vector<std::uint64_t> hashes(bucketCount, 0);
    const auto add = [&hashes](const Member &member) {
        std::string text
                = member.peer.instance.value() + '/' + toHex(member.peer.incarnation.value()) + '/'
                  + std::to_string(member.version) + '/' + std::to_string(severity(member));
        if (member.departure)
            text += '/' + std::to_string(member.departure->start.value());
        hashes[bucketOf(member.peer.instance)] ^= checksum(text);
    };
    add(m_self);
    for (const auto &[instance, known] : m_others)
        add(known.member);
    return hashes;
}

std::vector<Member>
Membership::membersInDifferingBuckets(const std::vector<std::uint64_t> &theirs) const
{
    std::vector<Member> found;
    const std::vector<std::uint64_t> ours = bucketHashes();
    if (theirs.size() != ours.size())
        return found;
    for (const Member &member : members()) {
        const std::size_t bucket = bucketOf(member.peer.instance);
        if (theirs[bucket] != ours[bucket])
            found.push_back(member);
    }
    return found;
}

Membership::OutgoingGossips
Membership::disseminateMembers(const std::vector<Member> &updates,
                               const std::optional<InstanceId> &except) const
{
    Gossip gossip;
    gossip.members = updates;
    return messagesForNeighbours(std::move(gossip), except);
}

Gossip Membership::syncMessage() const
{
    Gossip gossip;
    gossip.members = {m_self};
    gossip.bucketHashes = bucketHashes();
    gossip.wantsHashes = true;
    gossip.version = m_version;
    return gossip;
}

void Membership::ageMembers(TimePoint now, std::vector<Member> *updates)
{
    std::vector<Member> died;
    for (const auto &[instance, known] : m_others) {
        if (known.member.suspected && known.member.isLive()
            && now - known.lastChange >= m_settings.suspicionTimeout) {
            died.push_back(known.member);
            died.back().state = MemberState::Dead;
        }
    }
    for (const Member &member : died) {
        merge(member, now);
        updates->push_back(member);
    }
    removeExpiredTombstones(now);
}

void Membership::removeExpiredTombstones(TimePoint now)
{
    for (auto it = m_others.begin(); it != m_others.end();) {
        const KnownMember &known = it->second;
        if (known.member.isLive() || now - known.lastChange < m_settings.tombstoneLifetime) {
            ++it;
            continue;
        }
        if (isSuccessorOf(it->first))
            m_expiredMembers.push_back(it->first);
        it = m_others.erase(it);
        ++m_changeCount;
    }
}

/// Returns whether no other live node follows \a instance more closely on the ring.
bool Membership::isSuccessorOf(const InstanceId &instance) const
{
    const auto distance = [from = ringPosition(instance)](const InstanceId &to) {
        return ringPosition(to) - from; // Unsigned: wraps around the ring.
    };
    const std::uint64_t own = distance(m_self.peer.instance);
    return std::none_of(m_others.begin(), m_others.end(), [&](const auto &other) {
        return other.second.member.isLive() && distance(other.first) < own;
    });
}

/// Contacts one dead member and one seed, since a network partition may have healed.
void Membership::contactLostMembers(OutgoingGossips *messages)
{
    // A few attempts per interval suffice for the whole fleet, so the probability that this node
    // makes one falls as the fleet grows.
    const std::size_t fleetSize = m_others.size() + 1;
    if (m_random() % fleetSize >= contactingNodesPerInterval)
        return;
    std::vector<PeerRef> deadPeers;
    for (const auto &[instance, known] : m_others) {
        if (known.member.state == MemberState::Dead)
            deadPeers.push_back(known.member.peer);
    }
    const auto sendToRandomPeer = [&](const std::vector<PeerRef> &peers) {
        if (!peers.empty())
            messages->push_back({peers[m_random() % peers.size()], syncMessage()});
    };
    sendToRandomPeer(deadPeers);
    std::vector<PeerRef> seeds;
    for (const std::string &address : m_seeds)
        seeds.push_back(seedPeer(address));
    sendToRandomPeer(seeds);
}

void Membership::startSync(OutgoingGossips *messages)
{
    std::vector<PeerRef> peers = ringNeighbours();
    // At least half of the comparisons stay in a small region.
    const std::size_t choices = std::max(regionSize(), 2 * crossRegionSyncsPerInterval);
    const bool crossesRegions = peers.empty() || m_random() % choices < crossRegionSyncsPerInterval;
    if (crossesRegions) {
        std::vector<PeerRef> others = peersOfOtherRegions();
        if (!others.empty())
            peers = std::move(others);
    }
    if (peers.empty()) {
        std::vector<std::string> some;
        std::sample(m_seeds.begin(), m_seeds.end(), std::back_inserter(some), maxSeedsPerSync,
                    m_random);
        for (const std::string &address : some)
            messages->push_back({seedPeer(address), syncMessage()});
        return;
    }
    messages->push_back({peers[m_random() % peers.size()], syncMessage()});
}

Membership::OutgoingGossips Membership::tick(TimePoint now)
{
    std::vector<Member> updates;
    ageMembers(now, &updates);
    OutgoingGossips messages;
    if (!updates.empty())
        messages = disseminateMembers(updates, std::nullopt);
    advertiseVersion(&messages);
    requestConfiguration(&messages, now);
    if (now >= m_nextSync) {
        m_nextSync = now + m_settings.syncInterval;
        startSync(&messages);
    }
    if (now >= m_nextRejoin) {
        m_nextRejoin = now + m_settings.rejoinInterval;
        contactLostMembers(&messages);
    }
    return messages;
}

} // namespace buckthornford
