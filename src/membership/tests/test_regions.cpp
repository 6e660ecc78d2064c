#define BOOST_TEST_MODULE regions
#include "membership/tests/cluster.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornford;

namespace {

constexpr int nodeCount = 195;
constexpr int regionCount = 3;

/// Counts the rows of other nodes' tables that \a cluster sends between regions.
std::shared_ptr<std::size_t> countRowsBetweenRegions(Cluster *cluster)
{
    auto rows = std::make_shared<std::size_t>(0);
    cluster->onCrossRegion = [rows](const Gossip &gossip) { *rows += gossip.members.size(); };
    return rows;
}

bool areAllServing(Cluster *cluster, int observer)
{
    for (int i = 0; i < nodeCount; ++i) {
        if (i != observer && cluster->stateSeenBy(observer, i) != MemberState::Serving)
            return false;
    }
    return true;
}

} // namespace

/// Links between regions are billed. Each node's ring had most of its neighbours in other regions,
/// so that one update crossed them about a thousand times in a fleet of 195 nodes.
BOOST_AUTO_TEST_CASE(anUpdateCrossesEachPairOfRegionsAFewTimes)
{
    Cluster cluster(nodeCount, regionCount);
    cluster.tick(0, 12000);
    const auto rows = countRowsBetweenRegions(&cluster);
    constexpr int updateCount = 20;
    for (int i = 0; i < updateCount; ++i) {
        Membership &node = cluster.node(i);
        cluster.deliver(node.self().peer, node.announce(MemberState::Serving, Slots{5}, {}),
                        at(12000));
    }
    constexpr std::size_t pairsOfRegions = 6; // of 3 regions, in both directions
    constexpr std::size_t maxCrossingsPerPair = 6;
    BOOST_TEST(*rows <= updateCount * pairsOfRegions * maxCrossingsPerPair);
    for (int observer = 0; observer < nodeCount; ++observer)
        BOOST_TEST((cluster.stateSeenBy(observer, 3) == MemberState::Serving));
}

/// Comparing tables costs as much whatever the number of nodes.
BOOST_AUTO_TEST_CASE(messagesBetweenRegionsInCalmDoNotGrowWithTheFleet)
{
    Cluster cluster(nodeCount, regionCount);
    cluster.tick(0, 12000);
    std::size_t messages = 0;
    cluster.onCrossRegion = [&messages](const Gossip &) { ++messages; };
    cluster.tick(12000, 22000);
    constexpr std::size_t maxPerSecondAndRegion = 8;
    constexpr std::size_t seconds = 10;
    constexpr std::size_t regions = regionCount;
    BOOST_TEST(messages <= seconds * regions * maxPerSecondAndRegion);
}

BOOST_AUTO_TEST_CASE(nodesOfAllRegionsFindEachOther)
{
    Cluster cluster(nodeCount, regionCount);
    for (int i = 0; i < nodeCount; ++i) {
        Membership &node = cluster.node(i);
        cluster.deliver(node.self().peer, node.announce(MemberState::Serving, Slots{5}, {}), at(0));
    }
    cluster.tick(0, 8000);
    for (int observer = 0; observer < nodeCount; ++observer)
        BOOST_TEST(areAllServing(&cluster, observer));
}

/// A third of all nodes is cut off, among them any that pass updates between regions.
BOOST_AUTO_TEST_CASE(updatesReachOtherRegionsWhileAThirdOfTheNodesIsCutOff)
{
    Cluster cluster(nodeCount, regionCount);
    cluster.tick(0, 12000);
    cluster.suspectsUnreachable = true;
    const auto isCutOff
            = [](const InstanceId &id) { return std::stoi(id.value().substr(1)) % 8 < 3; };
    cluster.isPartitioned = [&](const InstanceId &a, const InstanceId &b) {
        return a != b && (isCutOff(a) || isCutOff(b));
    };
    Membership &node = cluster.node(11); // Region 2, not cut off.
    cluster.deliver(node.self().peer, node.announce(MemberState::Leaving, Slots{5}, {}), at(12000));
    cluster.tick(12000, 16000);
    for (int observer = 0; observer < nodeCount; ++observer) {
        if (observer != 11 && !isCutOff(makeMember(observer).peer.instance))
            BOOST_TEST((cluster.stateSeenBy(observer, 11) == MemberState::Leaving));
    }
}

/// After a cut between regions has healed, with each side taken for dead by the other.
BOOST_AUTO_TEST_CASE(regionsRejoinAfterACutBetweenThem)
{
    constexpr int count = 24;
    Cluster cluster(count, regionCount);
    cluster.tick(0, 6000);
    const auto regionOf
            = [](const InstanceId &id) { return std::stoi(id.value().substr(1)) % regionCount; };
    cluster.isPartitioned
            = [&](const InstanceId &a, const InstanceId &b) { return regionOf(a) != regionOf(b); };
    for (int i = 0; i < count; ++i) {
        for (int j = 0; j < count; ++j) {
            if (i % regionCount != j % regionCount)
                cluster.deliver(cluster.node(i).self().peer,
                                cluster.node(i).suspect(makeMember(j).peer.instance, at(6000)),
                                at(6000));
        }
    }
    cluster.tick(6000, 9000);
    BOOST_TEST((cluster.stateSeenBy(1, 3) == MemberState::Dead));
    cluster.isPartitioned = [](const InstanceId &, const InstanceId &) { return false; };
    cluster.tick(9000, 40000);
    for (int i = 0; i < count; ++i) {
        for (int j = 0; j < count; ++j)
            BOOST_TEST((cluster.stateSeenBy(i, j) == MemberState::Joining));
    }
}
