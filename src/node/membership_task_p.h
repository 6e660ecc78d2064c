#pragma once

#include "node/messages_p.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace buckthornford {

/// The task that owns the table of members and the streams for gossip.
class MembershipTask : public Task<MembershipMessage>, private LinkClientEvents
{
public:
    /// Whom the task tells of what it learns.
    struct Callbacks
    {
        std::function<void(ViewChanged)> view;
        std::function<void(ConfigurationArrived)> configuration;
        std::function<void(ReaderRoleChanged)> reader;
        std::function<void(PoisonEventsReceived)> strikes;
    };

    MembershipTask(Member self, std::vector<std::string> seeds,
                   std::map<std::string, std::string> dial, std::uint64_t seed,
                   Callbacks listeners);
    ~MembershipTask() override;

protected:
    void handle(MembershipMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    struct Channel
    {
        std::shared_ptr<FrameSink> sink;
        PeerRef peer;
    };

    void onFrame(const InstanceId &peer, Frame frame) override;
    void onEnded(const InstanceId &peer, StreamId channel, bool wasOpen) override;

    void on(IncomingStreamOpened &&message, TimePoint now);
    void on(IncomingFrame &&message, TimePoint now);
    void on(IncomingStreamClosed &&message, TimePoint now);
    void on(PeerFrame &&message, TimePoint now);
    void on(PeerStreamClosed &&message, TimePoint now);
    void on(SelfChanged &&message, TimePoint now);
    void on(ConfigurationArrived &&message, TimePoint now);
    void on(PoisonEventsReceived &&message, TimePoint now);
    void on(MembersRequest &&message, TimePoint now);

    void receive(const PeerRef &from, const Gossip &gossip, FrameSink *replySink, TimePoint now);
    void acceptConfiguration(const Configuration &configuration,
                             const std::optional<InstanceId> &except, TimePoint now);
    void send(const Membership::OutgoingGossips &sendings, TimePoint now);
    void publishChanges();

    PeerRef m_self;
    Membership m_membership;
    LinkClient m_link;
    Callbacks m_listeners;
    std::unordered_map<StreamId, Channel> m_channels;
    std::uint64_t m_toldChange = 0;
    std::optional<bool> m_toldReader;
};

} // namespace buckthornford
