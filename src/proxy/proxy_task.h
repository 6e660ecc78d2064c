#pragma once

/// The task that owns a node's decisions: the entry for the callers beside it and the gate of the
/// upstream beside it.

#include "admission_controller/admission_controller.h"
#include "link/link.h"
#include "mesh/mesh.h"
#include "proxy/adapter.h"
#include "telemetry/telemetry.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <variant>

namespace buckthornford {

struct CallArrived
{
    ServerRequest request;
};

struct CallerDisconnected
{
    RequestId id;
};

struct PeerFrameArrived
{
    InstanceId peer;
    Frame frame;
};

struct PeerStreamEnded
{
    InstanceId peer;
    bool wasOpen = false;
    std::vector<AttemptRef> unanswered;
};

struct IncomingFrameArrived
{
    StreamId stream;
    Frame frame;
};

struct IncomingStreamEnded
{
    StreamId stream;
};

struct ExecutionEnded
{
    UpstreamResult result;
};

/// Whether the upstream still accepts connections, asked after it had broken some.
struct UpstreamProbed
{
    bool isReachable = true;
};

struct AnnouncementArrived
{
    UpstreamAnnouncement announcement;
};

struct MembersChanged
{
    std::vector<Member> members;
};

struct ConfigurationChanged
{
    Configuration configuration;
};

struct PoisonEventsArrived
{
    std::vector<PoisonEvent> events;
    std::optional<InstanceId> from; ///< who sent them; not set for this node's own
};

/// The settings of the process have changed.
struct SettingsChanged
{
    ServiceName callerService;
};

/// The process has been told to stop.
struct StopRequest
{};

using ProxyMessage
        = std::variant<CallArrived, CallerDisconnected, PeerFrameArrived, PeerStreamEnded,
                       IncomingFrameArrived, IncomingStreamEnded, ExecutionEnded, UpstreamProbed,
                       AnnouncementArrived, MembersChanged, ConfigurationChanged,
                       PoisonEventsArrived, SettingsChanged, StopRequest>;

/// What a node says of itself to the others.
struct NodeStatus
{
    MemberState state = MemberState::Joining;
    Slots slots;
    ServiceName service;

    friend bool operator==(const NodeStatus &, const NodeStatus &) = default;
};

/// Whom the task tells of what it decides.
struct ProxyCallbacks
{
    std::function<void(ServerResponse)> answer;
    std::function<void(MeshMessage)> mesh;
    std::function<void(UpstreamMessage)> upstream;
    std::function<void()> probeUpstream;
    std::function<void(NodeStatus)> status;
    std::function<void(PoisonEventsArrived)> poisonEvents;
    EventLog *log = nullptr; ///< not null
};

struct ProxySettings
{
    NodeLocation location;
    PeerRef self;
    ServiceName callerService; ///< of the callers beside this node
    DispatchPolicy dispatch;
    AdmissionPolicy admission;
    double retryRatio = 0.1;  ///< retries of a service per request to it, over the whole fleet
    double retrySlack = 20.0; ///< retries beyond the ratio, over the whole fleet and one window
    Duration drainPropagationDelay{
            std::chrono::milliseconds(700)}; ///< until others know that it leaves
    Duration queueDrainTimeout{
            std::chrono::milliseconds(2000)}; ///< until nothing waiting may start
    Duration stopRefusalDelay{
            std::chrono::milliseconds(4200)}; ///< after a stop, until callers are
                                              ///< turned away, so that the rest ends
    std::uint64_t seed = 1;
};

class ProxyTask : public LoopTask<ProxyMessage>
{
public:
    ProxyTask(EventLoop *loop, const ProxySettings &settings, const Adapter &adapter,
              ProxyCallbacks outputs);

    /// Whether callers may be sent here.
    bool isReady() const { return !m_stopTime && m_history.newest() != nullptr; }

    /// Whether a stop cuts nothing any more.
    bool isIdle() const { return m_entry.openCalls() == 0 && m_gate.isIdle(); }

    /// Counters and histograms in the text exposition format (Prometheus 0.0.4).
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

    void logEnd(const FinishCall &action, TimePoint now);
    void logAttempt(const InstanceId &target, const Answer &answer, TimePoint now);
    void logUpstream(std::string_view event, TimePoint now);
    std::string_view callerId(RequestId id) const;
    void refuseCall(RequestId id, const IncomingCall &call, Error reason, TimePoint now);
    void runLocally(const RunRequest &run, ReplyTo from, TimePoint now);
    void finishExecution(UpstreamResult result, TimePoint now);
    bool isNewer(const UpstreamAnnouncement &news) const;
    void startUpstreamDrain(TimePoint now);
    void drain(TimePoint now);
    void recordCrash(const Work &work, std::uint64_t crash, TimePoint now);
    void recordCompletion(const Work &work, TimePoint now);
    void publishStatus();
    MemberState state() const;

    /// Clocks of machines may step by minutes; decisions here use no wall time.
    static constexpr WallTime noWallTime{0};

    ProxySettings m_settings;
    Adapter m_adapter;
    ProxyCallbacks m_callbacks;
    PoisonDetector m_poison;
    CallDispatcher m_entry;
    AdmissionController m_gate;
    ConfigurationHistory m_history;
    ServiceChooser m_chooser;
    std::optional<UpstreamAnnouncement> m_upstream; ///< the newest report of the present instance
    std::optional<TimePoint> m_upstreamDrainStart;  ///< since when the upstream leaves
    std::optional<TimePoint> m_stopTime;            ///< since when the process stops
    std::optional<NodeStatus> m_publishedStatus;
    std::unordered_map<ExecutionId, Work> m_running;
    std::unordered_map<std::string, ExecutionId>
            m_runningByCallerId; ///< as callers name the requests
    std::vector<UpstreamResult>
            m_awaitingProbe; ///< wait for the probe that tells crash from mishap
    std::unordered_map<RequestId, std::string> m_callerIds; ///< as callers name their requests
    RequestMetrics m_entryMetrics;
    RequestMetrics m_gateMetrics;
};

} // namespace buckthornford
