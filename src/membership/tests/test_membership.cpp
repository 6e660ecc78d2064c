#define BOOST_TEST_MODULE membership
#include "membership/membership.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <memory>

using namespace buckthornford;

namespace {

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint{std::chrono::milliseconds(milliseconds)};
}

Member makeMember(int number, std::uint64_t incarnation = 1)
{
    Member member;
    const std::string name = "n" + std::to_string(number);
    member.peer
            = {InstanceId{name}, Incarnation{incarnation}, "10.0.0.1:" + std::to_string(number)};
    member.zone = ZoneName{number % 2 == 0 ? "a" : "b"};
    member.service = ServiceName{"s"};
    return member;
}

/// Some tables that hand their messages to each other at once, unless a pair is cut.
class Group
{
public:
    static constexpr Duration tombstone = std::chrono::seconds(20);

    explicit Group(int count)
    {
        for (int i = 0; i < count; ++i)
            add(i, 1);
    }

    void add(int number, std::uint64_t incarnation)
    {
        Membership::Settings settings;
        settings.seed = static_cast<std::uint64_t>(number) + 1;
        settings.tombstoneLifetime = tombstone;
        const Member self = makeMember(number, incarnation);
        nodes[self.peer.instance] = std::make_unique<Membership>(
                self, std::vector<std::string>{makeMember(0).peer.address}, settings);
    }

    Membership &node(int number) { return *nodes.at(makeMember(number).peer.instance); }

    void deliver(const PeerRef &from, Membership::OutgoingGossips sendings, TimePoint now)
    {
        std::deque<std::pair<PeerRef, Membership::OutgoingGossip>> queue;
        for (auto &sending : sendings)
            queue.emplace_back(from, std::move(sending));
        while (!queue.empty()) {
            const auto [sender, sending] = queue.front();
            queue.pop_front();
            Membership *target = find(sending.to);
            if (target == nullptr || isCut(sender.instance, target->self().peer.instance))
                continue;
            ++delivered;
            if (!sending.gossip.configuration.empty()
                && sending.gossip.revision > target->revision())
                target->setConfiguration(sending.gossip.revision, sending.gossip.configuration);
            for (auto &next : target->receive(sender, sending.gossip, now))
                queue.emplace_back(target->self().peer, std::move(next));
        }
    }

    void tick(std::int64_t begin, std::int64_t end)
    {
        for (std::int64_t now = begin; now < end; now += 100) {
            for (auto &[instance, node] : nodes)
                deliver(node->self().peer, node->tick(at(now)), at(now));
        }
    }

    MemberState seen(int by, int number)
    {
        for (const Member &member : node(by).members()) {
            if (member.peer.instance == makeMember(number).peer.instance)
                return member.state;
        }
        return MemberState::Left;
    }

    std::map<InstanceId, std::unique_ptr<Membership>> nodes;
    std::function<bool(const InstanceId &, const InstanceId &)> isCut
            = [](const InstanceId &, const InstanceId &) { return false; };
    std::size_t delivered = 0;

private:
    Membership *find(const PeerRef &peer)
    {
        for (auto &[instance, node] : nodes) {
            if (instance == peer.instance || node->self().peer.address == peer.address)
                return node.get();
        }
        return nullptr;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(nodesFindEachOtherFromOneSeed)
{
    Group group(20);
    group.tick(0, 8000);
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(group.node(i).members().size() == 20);
}

BOOST_AUTO_TEST_CASE(newsOfOneNodeReachesAllAtOnce)
{
    Group group(40);
    group.tick(0, 8000);
    auto &leaving = group.node(7);
    group.deliver(leaving.self().peer, leaving.announce(MemberState::Leaving, {}, {}), at(8000));
    for (int i = 0; i < 40; ++i)
        BOOST_TEST((group.seen(i, 7) == MemberState::Leaving));
}

BOOST_AUTO_TEST_CASE(aFalseSuspicionIsRefuted)
{
    Group group(10);
    group.tick(0, 6000);
    group.deliver(group.node(1).self().peer,
                  group.node(1).suspect(makeMember(2).peer.instance, at(6000)), at(6000));
    group.tick(6000, 9000);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST((group.seen(i, 2) == MemberState::Joining));
}

BOOST_AUTO_TEST_CASE(theDeadAreForgottenAndAnOldIncarnationDoesNotReturn)
{
    Group group(10);
    group.tick(0, 6000);
    const Member old = group.node(3).self();
    group.nodes.erase(old.peer.instance);
    group.deliver(group.node(1).self().peer, group.node(1).suspect(old.peer.instance, at(6000)),
                  at(6000));
    group.tick(6000, 9000);
    BOOST_TEST((group.seen(5, 3) == MemberState::Dead));
    group.add(3, 2);
    group.tick(9000, 15000);
    BOOST_TEST((group.seen(5, 3) == MemberState::Joining));
    Gossip late;
    late.members = {old};
    group.node(5).receive(group.node(1).self().peer, late, at(15000));
    for (const Member &member : group.node(5).members()) {
        if (member.peer.instance == old.peer.instance)
            BOOST_TEST((member.peer.incarnation == Incarnation{2}));
    }
}

/// What was stored of a node that is gone for good is removed, and by one node only.
BOOST_AUTO_TEST_CASE(oneNodeSeesToWhatIsLeftOfTheDead)
{
    Group group(10);
    group.tick(0, 6000);
    const InstanceId gone = makeMember(3).peer.instance;
    group.nodes.erase(gone);
    group.deliver(group.node(1).self().peer, group.node(1).suspect(gone, at(6000)), at(6000));
    group.tick(6000, 9000);
    for (auto &[instance, node] : group.nodes)
        BOOST_TEST(node->takeExpiredMembers().empty());
    group.tick(9000, 40000);
    std::size_t removals = 0;
    for (auto &[instance, node] : group.nodes) {
        for (const InstanceId &forgotten : node->takeExpiredMembers())
            removals += forgotten == gone ? 1 : 0;
    }
    BOOST_TEST(removals == 1U);
}

/// The clock that numbers starts may have stepped back.
BOOST_AUTO_TEST_CASE(aStartWithALowerNumberIsBelievedAllTheSame)
{
    Group group(10);
    group.add(10, 9);
    group.tick(0, 6000);
    group.nodes.erase(makeMember(10).peer.instance);
    group.add(10, 2);
    group.node(10).announce(MemberState::Serving, Slots{5}, ServiceName{"s"});
    group.tick(6000, 9000);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST((group.seen(i, 10) == MemberState::Serving));
}

BOOST_AUTO_TEST_CASE(aHealedCutIsForgotten)
{
    Group group(12);
    group.tick(0, 6000);
    const auto side = [](const InstanceId &id) { return std::stoi(id.value().substr(1)) % 2; };
    group.isCut = [&](const InstanceId &a, const InstanceId &b) { return side(a) != side(b); };
    for (int i = 0; i < 12; ++i) {
        for (int j = 0; j < 12; ++j) {
            if (i % 2 != j % 2)
                group.deliver(group.node(i).self().peer,
                              group.node(i).suspect(makeMember(j).peer.instance, at(6000)),
                              at(6000));
        }
    }
    group.tick(6000, 9000);
    BOOST_TEST((group.seen(2, 3) == MemberState::Dead));
    BOOST_TEST((group.seen(2, 4) == MemberState::Joining));
    group.isCut = [](const InstanceId &, const InstanceId &) { return false; };
    group.tick(9000, 40000);
    for (int i = 0; i < 12; ++i) {
        for (int j = 0; j < 12; ++j)
            BOOST_TEST((group.seen(i, j) == MemberState::Joining));
    }
}

/// The store answers one node only, such as the first that asks after an outage.
BOOST_AUTO_TEST_CASE(aConfigurationThatOneNodeReadReachesAllWithinASecond)
{
    Group group(24);
    group.tick(0, 8000);
    group.node(5).setConfiguration(Revision{7}, "text");
    group.tick(8000, 9000);
    for (int i = 0; i < 24; ++i)
        BOOST_TEST(group.node(i).revision().value() == 7U);
}

BOOST_AUTO_TEST_CASE(fewReadThePlatform)
{
    Group group(40);
    group.tick(0, 8000);
    int readers = 0;
    for (int i = 0; i < 40; ++i)
        readers += group.node(i).isConfigurationReader() ? 1 : 0;
    BOOST_TEST(readers == 4); // two in each of two zones
}

BOOST_AUTO_TEST_CASE(aNodeHasFewNeighbours)
{
    Group group(100);
    group.tick(0, 8000);
    BOOST_TEST(group.node(5).neighbours().size() <= 7);
}

namespace {

int naiveSeverity(const Member &member)
{
    if (member.state == MemberState::Left)
        return 3;
    if (member.state == MemberState::Dead)
        return 2;
    return member.suspected ? 1 : 0;
}

} // namespace

/// The naive merge keeps the greatest of all news, whatever their order.
BOOST_AUTO_TEST_CASE(theOrderOfNewsDoesNotMatter)
{
    BOOST_TEST(rc::check("any order of the same news ends in the same table", [] {
        auto rows = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
                rc::gen::tuple(rc::gen::inRange(1, 5), rc::gen::inRange(1, 4),
                               rc::gen::inRange(0, 4), rc::gen::inRange(0, 10)));
        std::map<std::string, std::tuple<std::uint64_t, std::uint64_t, int>> naive;
        Membership table(makeMember(0), {}, {});
        for (const auto &[number, incarnation, version, state] : rows) {
            Member member = makeMember(number, static_cast<std::uint64_t>(incarnation));
            member.version = static_cast<std::uint64_t>(version);
            member.state = static_cast<MemberState>(state / 2);
            member.suspected = state % 2 == 1;
            Gossip gossip;
            gossip.members = {member};
            table.receive(makeMember(9).peer, gossip, at(0));
            const int severity = naiveSeverity(member);
            auto &best = naive[member.peer.instance.value()];
            best = std::max(best, {member.peer.incarnation.value(), member.version, severity});
        }
        for (const Member &member : table.members()) {
            if (member.peer.instance == makeMember(0).peer.instance)
                continue;
            const int severity = naiveSeverity(member);
            const std::tuple found(member.peer.incarnation.value(), member.version, severity);
            RC_ASSERT(found == naive.at(member.peer.instance.value()));
        }
    }));
}
