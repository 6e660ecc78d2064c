#pragma once

#include "node/messages_p.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace buckthornford {

/// The task that owns the table of members and the streams for gossip.
class MembershipTask : public Task<MembershipMessage>, private ClientEvents
{
public:
    /// Whom the task tells of what it learns.
    struct Listeners
    {
        std::function<void(ViewChanged)> view;
        std::function<void(ConfigurationArrived)> configuration;
        std::function<void(ReaderChosen)> reader;
        std::function<void(StrikesArrived)> strikes;
    };

    MembershipTask(Member self, std::vector<std::string> seeds,
                   std::map<std::string, std::string> dial, std::uint64_t seed,
                   Listeners listeners);
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
    void onEnded(const InstanceId &peer, ChannelId channel, bool wasOpen) override;

    void on(ChannelOpened &&message, TimePoint now);
    void on(ChannelFrame &&message, TimePoint now);
    void on(ChannelClosed &&message, TimePoint now);
    void on(PeerFrame &&message, TimePoint now);
    void on(PeerEnded &&message, TimePoint now);
    void on(SelfChanged &&message, TimePoint now);
    void on(ConfigurationArrived &&message, TimePoint now);
    void on(StrikesArrived &&message, TimePoint now);
    void on(MembersWanted &&message, TimePoint now);

    void receive(const PeerRef &from, const Gossip &gossip, FrameSink *replySink, TimePoint now);
    void acceptConfiguration(const Configuration &configuration,
                             const std::optional<InstanceId> &except, TimePoint now);
    void send(const Membership::Sendings &sendings, TimePoint now);
    void tellListeners();

    PeerRef m_self;
    Membership m_membership;
    LinkClient m_link;
    Listeners m_listeners;
    std::unordered_map<ChannelId, Channel> m_channels;
    std::uint64_t m_toldChange = 0;
    std::optional<bool> m_toldReader;
};

} // namespace buckthornford
