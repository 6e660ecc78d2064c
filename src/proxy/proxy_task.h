#pragma once

/// The task that owns a node's decisions: the dispatcher for the callers beside it and the
/// admission controller of the upstream beside it.

#include "admission_controller/admission_controller.h"
#include "link/link.h"
#include "mesh/mesh.h"
#include "proxy/adapter.h"
#include "proxy/stop_schedule.h"
#include "telemetry/telemetry.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <variant>

namespace buckthornford {

/// A caller has sent a request.
struct CallArrived
{
    ServerRequest request;
};

/// The caller of a request has closed its connection.
struct CallerDisconnected
{
    RequestId id;
};

/// A frame has arrived on the outgoing stream to a peer.
struct PeerFrameArrived
{
    InstanceId peer;
    Frame frame;
};

/// The outgoing stream to a peer has ended.
struct PeerStreamEnded
{
    InstanceId peer;
    bool wasOpen = false; ///< the peer had sent its hello, so the attempts may have arrived
    std::vector<AttemptRef> unanswered;
};

/// A frame has arrived on an incoming stream.
struct IncomingFrameArrived
{
    StreamId stream;
    Frame frame;
};

/// An incoming stream has ended.
struct IncomingStreamEnded
{
    StreamId stream;
};

/// An execution at the upstream has ended.
struct ExecutionEnded
{
    UpstreamResult result;
};

/// Result of a probe of the upstream, made after a connection to it broke during an execution.
struct UpstreamProbed
{
    bool isReachable = true; ///< it accepts connections
};

/// The upstream beside this node has reported its state in \a request.
struct AnnouncementArrived
{
    RequestId request;
    UpstreamAnnouncement announcement;
};

/// What an earlier start of this node knew of its upstream's departure, from the store.
struct DepartureRead
{
    std::optional<UpstreamDeparture> departure; ///< not set if no departure was stored
};

/// A departure of an upstream beside this node that a peer remembers.
struct DepartureReported
{
    UpstreamDeparture departure;
};

/// The newest departure that this node knows is in the store.
struct DepartureStored
{};

/// The membership table has changed.
struct MembersChanged
{
    std::vector<Member> members; ///< all of them
};

/// This node has accepted a newer configuration.
struct ConfigurationChanged
{
    Configuration configuration;
};

/// Crashes or releases of request contents, from this node or a peer.
struct PoisonEventsArrived
{
    std::vector<PoisonEvent> events;
    std::optional<InstanceId> from; ///< the peer that sent them; not set for events of this node
};

/// The settings of the process have changed.
struct SettingsChanged
{
    ServiceName callerService;
};

/// The process has been told to stop.
struct StopRequest
{
    StopSchedule schedule;
};

using ProxyMessage
        = std::variant<CallArrived, CallerDisconnected, PeerFrameArrived, PeerStreamEnded,
                       IncomingFrameArrived, IncomingStreamEnded, ExecutionEnded, UpstreamProbed,
                       AnnouncementArrived, DepartureRead, DepartureReported, DepartureStored,
                       MembersChanged, ConfigurationChanged, PoisonEventsArrived, SettingsChanged,
                       StopRequest>;

/// What a node advertises about itself by gossip.
struct NodeStatus
{
    MemberState state = MemberState::Joining;
    Slots slots;
    ServiceName service;
    std::optional<UpstreamDeparture> departure; ///< newest of an upstream beside the node

    friend bool operator==(const NodeStatus &, const NodeStatus &) = default;
};

/// Called by ProxyTask on its event loop.
struct ProxyCallbacks
{
    std::function<void(ServerResponse)> respond;
    std::function<void(MeshMessage)> mesh;
    std::function<void(UpstreamMessage)> upstream;
    std::function<void()> probeUpstream;
    std::function<void(NodeStatus)> status;
    std::function<void(PoisonEventsArrived)> poisonEvents;
    /// Confirms an announcement to the upstream.
    std::function<void(RequestId)> acknowledge;
    /// Asks to store a departure; DepartureStored is the response.
    std::function<void(const UpstreamDeparture &)> storeDeparture;
    EventLog *log = nullptr; ///< not null
};

struct ProxySettings
{
    NodeLocation location;
    PeerRef self;
    ServiceName callerService; ///< service of the callers beside this node
    DispatchPolicy dispatch;
    AdmissionPolicy admission;
    double retryRatio = 0.1;  ///< retries of a service per request to it, over the whole fleet
    double retrySlack = 20.0; ///< retries beyond the ratio, over the whole fleet and one window
    /// From the start of a drain until other nodes know that this node leaves; new runs are then
    /// refused.
    Duration drainPropagationDelay{std::chrono::milliseconds(700)};
    /// From the start of a drain until queued requests are refused.
    Duration queueDrainTimeout{std::chrono::milliseconds(2000)};
    /// An earlier start of this node may have stored a departure: upstreams are taken into use only
    /// once that has been read, or after departureReadTimeout.
    bool readsDeparture = false;
    Duration departureReadTimeout{std::chrono::seconds(1)};
    /// Longest time until a departure is acknowledged that can't be stored. The upstream waits a
    /// second for it.
    Duration departureStoreTimeout{std::chrono::milliseconds(600)};
    /// From the departure of an upstream of which no start is known until no announcement that it
    /// sent before can be under way any more.
    Duration lateAnnouncementLimit{std::chrono::seconds(15)};
    std::uint64_t seed = 1;
};

/// The departure of an upstream that didn't tell its start.
struct UnknownStartDeparture
{
    std::string upstream; ///< id of the instance
    TimePoint until;      ///< announcements that arrive earlier may be of the start that has left
};

class ProxyTask : public LoopTask<ProxyMessage>
{
public:
    ProxyTask(EventLoop *loop, const ProxySettings &settings, const Adapter &adapter,
              ProxyCallbacks callbacks);

    /// Returns whether callers may send requests to this node.
    bool isReady() const { return !m_stop && m_history.newest() != nullptr; }

    /// Returns whether no call and no execution is open, so that a stop interrupts none.
    bool isIdle() const { return m_dispatcher.openCalls() == 0 && m_admission.isIdle(); }

    std::size_t openCalls() const { return m_dispatcher.openCalls(); }
    std::size_t runningExecutions() const { return m_runningWork.size(); }

    /// Logs each call that is open now, because the process ends without answering it.
    void logUnansweredCalls(TimePoint now) const;

    /// Returns counters and histograms in the text exposition format (Prometheus 0.0.4).
    std::string metricsText() const;

protected:
    void handle(ProxyMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    void on(CallArrived &&message, TimePoint now);
    void on(CallerDisconnected &&message, TimePoint now);
    void on(PeerFrameArrived &&message, TimePoint now);
    void on(PeerStreamEnded &&message, TimePoint now);
    void on(IncomingFrameArrived &&message, TimePoint now);
    void on(IncomingStreamEnded &&message, TimePoint now);
    void on(ExecutionEnded &&message, TimePoint now);
    void on(UpstreamProbed &&message, TimePoint now);
    void on(AnnouncementArrived &&message, TimePoint now);
    void on(DepartureRead &&message, TimePoint now);
    void on(DepartureReported &&message, TimePoint now);
    void on(DepartureStored &&message, TimePoint now);
    void on(MembersChanged &&message, TimePoint now);
    void on(ConfigurationChanged &&message, TimePoint now);
    void on(PoisonEventsArrived &&message, TimePoint now);
    void on(SettingsChanged &&message, TimePoint now);
    void on(StopRequest &&message, TimePoint now);

    void carryOut(DispatchActions &&actions, TimePoint now);
    void carryOut(SendRun &&action, TimePoint now);
    void carryOut(SendCancel &&action, TimePoint now);
    void carryOut(FinishCall &&action, TimePoint now);
    void carryOut(AdmissionActions &&actions, TimePoint now);
    void carryOut(StartExecution &&action, TimePoint now);
    void carryOut(CancelExecution &&action, TimePoint now);
    void carryOut(Reply &&action, TimePoint now);

    void logCallEnd(const FinishCall &action, TimePoint now);
    void logAttempt(const InstanceId &target, const Answer &answer, TimePoint now);
    void logRefusedAnswer(const UpstreamResult &result, TimePoint now);
    void logUpstreamEvent(std::string_view event, TimePoint now);
    void logOutdated(const UpstreamAnnouncement &announcement, TimePoint now);
    void logCallTakenWhileStopping(const IncomingCall &call, Duration timeout, TimePoint now);
    Duration sinceStop(TimePoint now) const;
    bool fitIntoStop(CallRequest *request, const Route &route, const Preset &preset,
                     TimePoint now) const;
    std::string_view callerRequestIdOf(RequestId id) const;
    void refuseCall(RequestId id, const IncomingCall &call, Error reason, TimePoint now);
    void runLocally(const RunRequest &run, ReplyTo from, TimePoint now);
    void finishExecution(UpstreamResult result, TimePoint now);
    bool isNewer(const UpstreamAnnouncement &announcement, TimePoint now) const;
    bool contradictsUpstream(const UpstreamAnnouncement &announcement) const;
    std::optional<UpstreamStart> startThatLeaves(const UpstreamAnnouncement &announcement) const;
    void useUpstream(const UpstreamAnnouncement &announcement, TimePoint now);
    void startUpstreamDrain(TimePoint now);
    bool adoptDeparture(const UpstreamDeparture &departure, TimePoint now);
    void recordDeparture(const UpstreamDeparture &departure, TimePoint now);
    void acknowledgeDeparture(RequestId request);
    void endDepartureRead(TimePoint now);
    void doDepartureWork(TimePoint now);
    void logDeparture(const UpstreamDeparture &departure, std::string_view source, TimePoint now);
    void advanceDrain(TimePoint now);
    void recordCrash(const Work &work, std::uint64_t crash, TimePoint now);
    void recordCompletion(const Work &work, TimePoint now);
    void publishStatus();
    MemberState state() const;

    /// Passed where an interface takes the wall time. The clocks of machines may step by minutes,
    /// so no decision here uses them.
    static constexpr WallTime unusedWallTime{0};

    ProxySettings m_settings;
    Adapter m_adapter;
    ProxyCallbacks m_callbacks;
    PoisonDetector m_poison;
    CallDispatcher m_dispatcher;
    AdmissionController m_admission;
    ConfigurationHistory m_history;
    ServiceChooser m_chooser;
    std::optional<UpstreamAnnouncement> m_upstream; ///< newest report of the current instance
    std::optional<TimePoint> m_upstreamDrainStart;  ///< when the upstream's drain started
    /// Newest departure of an upstream beside this node, in this start of the node or before.
    std::optional<UpstreamDeparture> m_departure;
    /// The last upstream that has left before this node knew a start of it.
    std::optional<UnknownStartDeparture> m_unknownStartDeparture;
    /// Until when announcements of serving upstreams wait for the departure stored before; not set
    /// once it is known.
    std::optional<TimePoint> m_departureReadDeadline;
    std::vector<UpstreamAnnouncement> m_heldAnnouncements; ///< that wait for it
    /// Until when the acknowledgements of a departure wait for the store; not set if none does.
    std::optional<TimePoint> m_departureStoreDeadline;
    std::vector<RequestId> m_heldAcknowledgements; ///< announcements of that departure
    std::optional<StopSchedule> m_stop;            ///< set once the process was told to stop
    std::optional<NodeStatus> m_publishedStatus;
    std::unordered_map<ExecutionId, Work> m_runningWork; ///< of the executions in progress
    /// Executions in progress, by the id that the caller gave the request.
    std::unordered_map<std::string, ExecutionId> m_runningByCallerRequestId;
    /// Executions whose connection was lost, until a probe tells whether the upstream crashed.
    std::vector<UpstreamResult> m_awaitingProbe;
    /// Ids that callers gave the open requests.
    std::unordered_map<RequestId, std::string> m_callerRequestIds;
    RequestMetrics m_dispatchMetrics;
    RequestMetrics m_admissionMetrics;
};

} // namespace buckthornford
