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
class NodeTask : public Task<NodeMessage>, private LinkClientEvents
{
public:
    /// Whom the task tells of what it learns.
    struct Callbacks
    {
        std::function<void(SelfChanged)> self;
        std::function<void(PoisonEventsReceived)> strikes;
    };

    NodeTask(const NodeSettings &settings, const Policy &policy, const PeerRef &self,
             Callbacks listeners);
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
        RunRequest run;
        std::uint64_t parentSpan = 0; ///< of the entry that sent it
        WallTime started;
    };

    void onFrame(const InstanceId &peer, Frame frame) override;
    void onEnded(const InstanceId &peer, StreamId channel, bool wasOpen) override;

    void on(CallReceived &&message, TimePoint now);
    void on(CallAbandoned &&message, TimePoint now);
    void on(KeysRequest &&message, TimePoint now);
    void on(IncomingStreamOpened &&message, TimePoint now);
    void on(IncomingFrame &&message, TimePoint now);
    void on(IncomingStreamClosed &&message, TimePoint now);
    void on(PeerFrame &&message, TimePoint now);
    void on(PeerStreamClosed &&message, TimePoint now);
    void on(UpstreamJobEnded &&message, TimePoint now);
    void on(UpstreamAnnounced &&message, TimePoint now);
    void on(ViewChanged &&message, TimePoint now);
    void on(ConfigurationArrived &&message, TimePoint now);
    void on(PoisonEventsReceived &&message, TimePoint now);
    void on(DrainRequest &&message, TimePoint now);
    void on(OperatorQuery &&message, TimePoint now);

    void carryOut(DispatchActions &&actions, TimePoint now);
    void carryOut(SendRun &&action, TimePoint now);
    void carryOut(SendCancel &&action, TimePoint now);
    void carryOut(FinishCall &&action, TimePoint now);
    void carryOut(AdmissionActions &&actions, TimePoint now);
    void carryOut(StartExecution &&action, TimePoint now);
    void carryOut(CancelExecution &&action, TimePoint now);
    void carryOut(Reply &&action, TimePoint now);

    void runLocally(const RunRequest &run, ReplyTo from, TimePoint now);
    void recordCrash(const Work &work, std::uint64_t crash, TimePoint now);
    void recordCompletion(const Work &work, TimePoint now);
    void recordGateSpan(const Running &running, const UpstreamResult &result);
    void publishStatus();
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
    PoisonDetector m_poison;
    CallDispatcher m_entry;
    AdmissionController m_gate;
    ConfigurationHistory m_history;
    LinkClient m_link;
    UpstreamPool m_pool;
    UpstreamCanceller m_canceller;
    Callbacks m_listeners;
    std::optional<SelfChanged> m_told;
    std::optional<Upstream> m_upstream;
    std::optional<TimePoint> m_drainStart;
    bool m_upstreamLeaves = false; ///< the drain was asked for by the upstream
    std::unordered_map<RequestId, std::shared_ptr<ReplySlot<CallResult>>> m_replies;
    std::unordered_map<StreamId, std::shared_ptr<FrameSink>> m_channels;
    std::unordered_map<ExecutionId, Running> m_running;
    RequestMetrics m_entryMetrics;
    RequestMetrics m_gateMetrics;
    SpanBuffer m_spans;
    std::size_t m_memberCount = 0;
    TimePoint m_nextSecond;
};

} // namespace buckthornford
