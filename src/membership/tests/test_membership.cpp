#define BOOST_TEST_MODULE membership
#include "membership/tests/cluster.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>

using namespace buckthornford;

BOOST_AUTO_TEST_CASE(allNodesFindEachOtherFromOneSeed)
{
    Cluster cluster(20);
    cluster.tick(0, 8000);
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(cluster.node(i).members().size() == 20);
}

BOOST_AUTO_TEST_CASE(aStateChangeReachesAllNodesAtOnce)
{
    Cluster cluster(40);
    cluster.tick(0, 8000);
    auto &leaving = cluster.node(7);
    cluster.deliver(leaving.self().peer, leaving.announce(MemberState::Leaving, {}, {}), at(8000));
    for (int i = 0; i < 40; ++i)
        BOOST_TEST((cluster.stateSeenBy(i, 7) == MemberState::Leaving));
}

BOOST_AUTO_TEST_CASE(aFalseSuspicionIsRefutedByTheSuspectedNode)
{
    Cluster cluster(10);
    cluster.tick(0, 6000);
    cluster.deliver(cluster.node(1).self().peer,
                    cluster.node(1).suspect(makeMember(2).peer.instance, at(6000)), at(6000));
    cluster.tick(6000, 9000);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST((cluster.stateSeenBy(i, 2) == MemberState::Joining));
}

BOOST_AUTO_TEST_CASE(aLateReportOfAnOldIncarnationDoesNotReplaceTheNewOne)
{
    Cluster cluster(10);
    cluster.tick(0, 6000);
    const Member oldIncarnation = cluster.node(3).self();
    cluster.nodes.erase(oldIncarnation.peer.instance);
    cluster.deliver(cluster.node(1).self().peer,
                    cluster.node(1).suspect(oldIncarnation.peer.instance, at(6000)), at(6000));
    cluster.tick(6000, 9000);
    BOOST_TEST((cluster.stateSeenBy(5, 3) == MemberState::Dead));
    cluster.add(3, 2);
    cluster.tick(9000, 15000);
    BOOST_TEST((cluster.stateSeenBy(5, 3) == MemberState::Joining));
    Gossip lateGossip;
    lateGossip.members = {oldIncarnation};
    cluster.node(5).receive(cluster.node(1).self().peer, lateGossip, at(15000));
    for (const Member &member : cluster.node(5).members()) {
        if (member.peer.instance == oldIncarnation.peer.instance)
            BOOST_TEST((member.peer.incarnation == Incarnation{2}));
    }
}

/// The row that a dead node left in the store has to be removed, by one node only: before the
/// tombstone expires no node removes it, afterwards exactly one does.
BOOST_AUTO_TEST_CASE(exactlyOneNodeRemovesTheStoredRowOfAnExpiredNode)
{
    Cluster cluster(10);
    cluster.tick(0, 6000);
    const InstanceId gone = makeMember(3).peer.instance;
    cluster.nodes.erase(gone);
    cluster.deliver(cluster.node(1).self().peer, cluster.node(1).suspect(gone, at(6000)), at(6000));
    cluster.tick(6000, 9000);
    for (auto &[instance, node] : cluster.nodes)
        BOOST_TEST(node->takeExpiredMembers().empty());
    cluster.tick(9000, 40000);
    std::size_t removals = 0;
    for (auto &[instance, node] : cluster.nodes) {
        for (const InstanceId &expired : node->takeExpiredMembers())
            removals += expired == gone ? 1 : 0;
    }
    BOOST_TEST(removals == 1U);
}

/// Incarnations come from the clock at the start of a node, which may have stepped back before a
/// restart.
BOOST_AUTO_TEST_CASE(aRestartWithALowerIncarnationIsAccepted)
{
    Cluster cluster(10);
    cluster.add(10, 9);
    cluster.tick(0, 6000);
    cluster.nodes.erase(makeMember(10).peer.instance);
    cluster.add(10, 2);
    cluster.node(10).announce(MemberState::Serving, Slots{5}, ServiceName{"s"});
    cluster.tick(6000, 9000);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST((cluster.stateSeenBy(i, 10) == MemberState::Serving));
}

BOOST_AUTO_TEST_CASE(membersRejoinAfterAPartitionHeals)
{
    Cluster cluster(12);
    cluster.tick(0, 6000);
    const auto side = [](const InstanceId &id) { return std::stoi(id.value().substr(1)) % 2; };
    cluster.isPartitioned
            = [&](const InstanceId &a, const InstanceId &b) { return side(a) != side(b); };
    for (int i = 0; i < 12; ++i) {
        for (int j = 0; j < 12; ++j) {
            if (i % 2 != j % 2)
                cluster.deliver(cluster.node(i).self().peer,
                                cluster.node(i).suspect(makeMember(j).peer.instance, at(6000)),
                                at(6000));
        }
    }
    cluster.tick(6000, 9000);
    BOOST_TEST((cluster.stateSeenBy(2, 3) == MemberState::Dead));
    BOOST_TEST((cluster.stateSeenBy(2, 4) == MemberState::Joining));
    cluster.isPartitioned = [](const InstanceId &, const InstanceId &) { return false; };
    cluster.tick(9000, 40000);
    for (int i = 0; i < 12; ++i) {
        for (int j = 0; j < 12; ++j)
            BOOST_TEST((cluster.stateSeenBy(i, j) == MemberState::Joining));
    }
}

/// The store may answer one node only, such as the first that asks after an outage.
BOOST_AUTO_TEST_CASE(aConfigurationReadByOneNodeReachesAllWithinASecond)
{
    Cluster cluster(24);
    cluster.tick(0, 8000);
    cluster.node(5).setConfiguration({Revision{7}, StoreEra{1}}, "text");
    cluster.tick(8000, 9000);
    for (int i = 0; i < 24; ++i)
        BOOST_TEST(cluster.node(i).revision().value() == 7U);
}

/// A store that has come back from a copy gives revisions out again, and only some nodes read it.
BOOST_AUTO_TEST_CASE(theSameRevisionOfANewerEraReachesAllNodes)
{
    Cluster cluster(24);
    cluster.tick(0, 8000);
    const ConfigurationVersion lost{Revision{7}, StoreEra{1}};
    const ConfigurationVersion rewritten{Revision{7}, StoreEra{2}};
    for (int i = 0; i < 24; ++i)
        cluster.node(i).setConfiguration(lost, "lost");
    cluster.node(5).setConfiguration(rewritten, "rewritten");
    cluster.tick(8000, 9000);
    for (int i = 0; i < 24; ++i)
        BOOST_TEST((cluster.node(i).version() == rewritten));
}

BOOST_AUTO_TEST_CASE(twoNodesPerZoneReadTheConfiguration)
{
    Cluster cluster(40);
    cluster.tick(0, 8000);
    int readers = 0;
    for (int i = 0; i < 40; ++i)
        readers += cluster.node(i).isConfigurationReader() ? 1 : 0;
    BOOST_TEST(readers == 4); // Two in each of the two zones.
}

BOOST_AUTO_TEST_CASE(aNodeOf100HasAtMostSevenNeighbours)
{
    Cluster cluster(100);
    cluster.tick(0, 8000);
    BOOST_TEST(cluster.node(5).neighbours().size() <= 7);
}

namespace {

int expectedSeverity(const Member &member)
{
    if (member.state == MemberState::Left)
        return 3;
    if (member.state == MemberState::Dead)
        return 2;
    return member.suspected ? 1 : 0;
}

} // namespace

/// Compares the table with a model that keeps, for each instance, the update with the greatest
/// incarnation, version and severity.
BOOST_AUTO_TEST_CASE(theTableIsIndependentOfTheOrderOfUpdates)
{
    BOOST_TEST(rc::check("the table holds the greatest update of each instance in any order", [] {
        auto rows = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
                rc::gen::tuple(rc::gen::inRange(1, 5), rc::gen::inRange(1, 4),
                               rc::gen::inRange(0, 4), rc::gen::inRange(0, 10)));
        std::map<std::string, std::tuple<std::uint64_t, std::uint64_t, int>> expected;
        Membership table(makeMember(0), {}, {});
        for (const auto &[number, incarnation, version, state] : rows) {
            Member member = makeMember(number, static_cast<std::uint64_t>(incarnation));
            member.version = static_cast<std::uint64_t>(version);
            member.state = static_cast<MemberState>(state / 2);
            member.suspected = state % 2 == 1;
            Gossip gossip;
            gossip.members = {member};
            table.receive(makeMember(9).peer, gossip, at(0));
            const int severity = expectedSeverity(member);
            auto &greatest = expected[member.peer.instance.value()];
            greatest = std::max(greatest,
                                {member.peer.incarnation.value(), member.version, severity});
        }
        for (const Member &member : table.members()) {
            if (member.peer.instance == makeMember(0).peer.instance)
                continue;
            const int severity = expectedSeverity(member);
            const std::tuple found(member.peer.incarnation.value(), member.version, severity);
            RC_ASSERT(found == expected.at(member.peer.instance.value()));
        }
    }));
}
