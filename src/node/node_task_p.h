#pragma once

#include "node/messages_p.h"
#include "node/node.h"
#include "node/policy_p.h"
#include "telemetry/telemetry.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace buckthornford {

/// Owns the call dispatcher, the admission controller and the streams on which this node sends
/// requests.
class NodeTask : public Task<NodeMessage>, private LinkClientEvents
{
public:
    /// Called on the task's thread when something has changed that other tasks need.
    struct Callbacks
    {
        std::function<void(SelfChanged)> ownState;
        std::function<void(PoisonEventsReceived)> poisonEvents;
    };

    NodeTask(const NodeSettings &settings, const Policy &policy, const PeerRef &self,
             Callbacks callbacks);
    ~NodeTask() override;

protected:
    void handle(NodeMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    /// This node's upstream, as last announced.
    struct Upstream
    {
        Announcement announcement;
        TimePoint lastAnnounced;
    };
    /// An execution at the upstream that has not ended.
    struct RunningExecution
    {
        RunRequest run;
        std::uint64_t parentSpan = 0; ///< span of the call at the node that sent the request
        WallTime startTime;
    };

    void onFrame(const InstanceId &peer, Frame frame) override;
    void onEnded(const InstanceId &peer, StreamId stream, bool wasOpen) override;

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

    void runLocally(const RunRequest &run, ReplyTo replyTo, TimePoint now);
    void recordCrash(const Work &work, std::uint64_t crashId, TimePoint now);
    void recordCompletion(const Work &work, TimePoint now);
    void recordAdmissionSpan(const RunningExecution &running, const UpstreamResult &result);
    void publishStatus();
    void startDrainingWhenDue(TimePoint now);
    bool isDrained(TimePoint now) const;
    MemberState memberState() const;

    std::string statusText() const;
    std::string metricsText() const;
    std::string spansText() const;
    std::string configurationText() const;
    std::string poisonText() const;

    NodeSettings m_settings;
    PeerRef m_self;
    PoisonDetector m_poison;
    CallDispatcher m_dispatcher;
    AdmissionController m_admission;
    ConfigurationHistory m_history;
    LinkClient m_link;
    UpstreamPool m_pool;
    UpstreamCanceller m_canceller;
    Callbacks m_callbacks;
    std::optional<SelfChanged> m_publishedStatus; ///< what the membership task was last told
    std::optional<Upstream> m_upstream;
    std::optional<TimePoint> m_drainStartTime;
    bool m_isDrainRequestedByUpstream = false; ///< by announcing that it leaves
    std::unordered_map<RequestId, std::shared_ptr<ReplySlot<CallResult>>> m_callReplies;
    std::unordered_map<StreamId, std::shared_ptr<FrameSink>> m_incomingStreams;
    std::unordered_map<ExecutionId, RunningExecution> m_runningExecutions;
    RequestMetrics m_dispatchMetrics;
    RequestMetrics m_admissionMetrics;
    SpanBuffer m_spans;
    std::size_t m_liveNodeCount = 0;
    TimePoint m_nextSecond;
};

} // namespace buckthornford
