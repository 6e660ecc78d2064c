#pragma once

#include "node/messages_p.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace buckthornford {

/// Owns the table of members and the streams for gossip.
class MembershipTask : public Task<MembershipMessage>, private LinkClientEvents
{
public:
    /// Called on the task's thread when something has changed that other tasks need.
    struct Callbacks
    {
        std::function<void(ViewChanged)> view;
        std::function<void(ConfigurationArrived)> configuration;
        std::function<void(ReaderRoleChanged)> readerRole;
        std::function<void(PoisonEventsReceived)> poisonEvents;
    };

    MembershipTask(Member self, std::vector<std::string> seeds,
                   std::map<std::string, std::string> dialOverrides, std::uint64_t seed,
                   Callbacks callbacks);
    ~MembershipTask() override;

protected:
    void handle(MembershipMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    struct IncomingStream
    {
        std::shared_ptr<FrameSink> sink;
        PeerRef peer;
    };

    void onFrame(const InstanceId &peer, Frame frame) override;
    void onEnded(const InstanceId &peer, StreamId stream, bool wasOpen) override;

    void on(IncomingStreamOpened &&message, TimePoint now);
    void on(IncomingFrame &&message, TimePoint now);
    void on(IncomingStreamClosed &&message, TimePoint now);
    void on(PeerFrame &&message, TimePoint now);
    void on(PeerStreamClosed &&message, TimePoint now);
    void on(SelfChanged &&message, TimePoint now);
    void on(ConfigurationArrived &&message, TimePoint now);
    void on(PoisonEventsReceived &&message, TimePoint now);
    void on(MembersRequest &&message, TimePoint now);

    /// Handles \a gossip of \a from. \a replySink is the sink of the incoming stream that it came
    /// on; null if it came on an outgoing one.
    void receive(const PeerRef &from, const Gossip &gossip, FrameSink *replySink, TimePoint now);
    /// Publishes \a configuration if it is newer, and sends it to all neighbours but \a except.
    void acceptConfiguration(const Configuration &configuration,
                             const std::optional<InstanceId> &except, TimePoint now);
    void send(const Membership::OutgoingGossips &gossips, TimePoint now);
    void publishChanges();

    PeerRef m_self;
    Membership m_membership;
    LinkClient m_link;
    Callbacks m_callbacks;
    std::unordered_map<StreamId, IncomingStream> m_incomingStreams;
    std::uint64_t m_publishedChange = 0;
    std::optional<bool> m_publishedReaderRole;
};

} // namespace buckthornford
