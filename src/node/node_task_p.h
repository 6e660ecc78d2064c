#pragma once

#include "node/messages_p.h"
#include "node/node.h"
#include "node/policy_p.h"
#include "telemetry/telemetry.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace buckthornford {

/// The task that owns the entry, the gate and the streams on which this node sends work.
class NodeTask : public Task<NodeMessage>, private ClientEvents
{
public:
    /// Whom the task tells of what it learns.
    struct Listeners
    {
        std::function<void(SelfChanged)> self;
        std::function<void(StrikesArrived)> strikes;
    };

    NodeTask(const NodeSettings &settings, const Policy &policy, const PeerRef &self,
             Listeners listeners);
    ~NodeTask() override;

protected:
    void handle(NodeMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    struct Upstream
    {
        Announcement announcement;
        TimePoint lastHeard;
    };
    struct Running
    {
        Run run;
        std::uint64_t parentSpan = 0; ///< of the entry that sent it
        WallTime started;
    };

    void onFrame(const InstanceId &peer, Frame frame) override;
    void onEnded(const InstanceId &peer, ChannelId channel, bool wasOpen) override;

    void on(CallBegun &&message, TimePoint now);
    void on(CallerLeft &&message, TimePoint now);
    void on(KeysWanted &&message, TimePoint now);
    void on(ChannelOpened &&message, TimePoint now);
    void on(ChannelFrame &&message, TimePoint now);
    void on(ChannelClosed &&message, TimePoint now);
    void on(PeerFrame &&message, TimePoint now);
    void on(PeerEnded &&message, TimePoint now);
    void on(UpstreamEnded &&message, TimePoint now);
    void on(UpstreamAnnounced &&message, TimePoint now);
    void on(ViewChanged &&message, TimePoint now);
    void on(ConfigurationArrived &&message, TimePoint now);
    void on(StrikesArrived &&message, TimePoint now);
    void on(DrainWanted &&message, TimePoint now);
    void on(Question &&message, TimePoint now);

    void carryOut(EntryActions &&actions, TimePoint now);
    void carryOut(SendRun &&action, TimePoint now);
    void carryOut(SendCancel &&action, TimePoint now);
    void carryOut(FinishCall &&action, TimePoint now);
    void carryOut(GateActions &&actions, TimePoint now);
    void carryOut(StartExecution &&action, TimePoint now);
    void carryOut(CancelExecution &&action, TimePoint now);
    void carryOut(Reply &&action, TimePoint now);

    void runHere(const Run &run, ReplyTo from, TimePoint now);
    void noteCrash(const Work &work, std::uint64_t crash, TimePoint now);
    void noteCompletion(const Work &work, TimePoint now);
    void recordGateSpan(const Running &running, const UpstreamResult &result);
    void tellSelf();
    void drain(TimePoint now);
    bool isDrained(TimePoint now) const;
    MemberState state() const;

    std::string statusText() const;
    std::string metricsText() const;
    std::string spansText() const;
    std::string configurationText() const;
    std::string poisonText() const;

    NodeSettings m_settings;
    PeerRef m_self;
    PoisonBook m_poison;
    Entry m_entry;
    Gate m_gate;
    ConfigurationHistory m_history;
    LinkClient m_link;
    UpstreamPool m_pool;
    UpstreamCanceller m_canceller;
    Listeners m_listeners;
    std::optional<SelfChanged> m_told;
    std::optional<Upstream> m_upstream;
    std::optional<TimePoint> m_drainStart;
    bool m_upstreamLeaves = false; ///< the drain was asked for by the upstream
    std::unordered_map<RequestId, std::shared_ptr<ReplySlot<CallResult>>> m_replies;
    std::unordered_map<ChannelId, std::shared_ptr<FrameSink>> m_channels;
    std::unordered_map<ExecutionId, Running> m_running;
    RequestMetrics m_entryMetrics;
    RequestMetrics m_gateMetrics;
    SpanBuffer m_spans;
    std::size_t m_memberCount = 0;
    TimePoint m_nextSecond;
};

} // namespace buckthornford
