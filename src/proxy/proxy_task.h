#pragma once

/// The task that owns a node's decisions: the entry for the callers beside it and the gate of the
/// upstream beside it.

#include "gate/gate.h"
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
    DoorRequest request;
};

struct CallerGone
{
    RequestId id;
};

struct PeerAnswered
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

struct RunArrived
{
    ChannelId channel;
    Frame frame;
};

struct ChannelEnded
{
    ChannelId channel;
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

struct UpstreamReported
{
    UpstreamNews news;
};

struct MembersChanged
{
    std::vector<Member> members;
};

struct ConfigurationTaken
{
    Configuration configuration;
};

struct StrikesTaken
{
    std::vector<Strike> strikes;
    std::optional<InstanceId> from; ///< who sent them; not set for this node's own
};

/// The settings of the process have changed.
struct SettingsChanged
{
    ServiceName callerService;
};

/// The process has been told to stop.
struct StopWanted
{};

using ProxyMessage = std::variant<CallArrived, CallerGone, PeerAnswered, PeerStreamEnded,
                                  RunArrived, ChannelEnded, ExecutionEnded, UpstreamProbed,
                                  UpstreamReported, MembersChanged, ConfigurationTaken,
                                  StrikesTaken, SettingsChanged, StopWanted>;

/// What a node says of itself to the others.
struct NodeCondition
{
    MemberState state = MemberState::Joining;
    Slots slots;
    ServiceName service;

    friend bool operator==(const NodeCondition &, const NodeCondition &) = default;
};

/// Whom the task tells of what it decides.
struct ProxyOutputs
{
    std::function<void(DoorAnswer)> answer;
    std::function<void(MeshMessage)> mesh;
    std::function<void(UpstreamMessage)> upstream;
    std::function<void()> probeUpstream;
    std::function<void(NodeCondition)> condition;
    std::function<void(StrikesTaken)> strikes;
    EventLog *log = nullptr; ///< not null
};

struct ProxySettings
{
    Place place;
    PeerRef self;
    ServiceName callerService; ///< of the callers beside this node
    EntryPolicy entry;
    GatePolicy gate;
    double retryRatio = 0.1;  ///< retries of a service per request to it, over the whole fleet
    double retrySlack = 20.0; ///< retries beyond the ratio, over the whole fleet and one window
    Duration drainSpread{std::chrono::milliseconds(700)};  ///< until others know that it leaves
    Duration drainLimit{std::chrono::milliseconds(2000)};  ///< until nothing waiting may start
    Duration stopRefusal{std::chrono::milliseconds(4200)}; ///< after a stop, until callers are
                                                           ///< turned away, so that the rest ends
    std::uint64_t seed = 1;
};

class ProxyTask : public LoopTask<ProxyMessage>
{
public:
    ProxyTask(EventLoop *loop, const ProxySettings &settings, const Adapter &adapter,
              ProxyOutputs outputs);

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
    void on(CallerGone &&message, TimePoint now);
    void on(PeerAnswered &&message, TimePoint now);
    void on(PeerStreamEnded &&message, TimePoint now);
    void on(RunArrived &&message, TimePoint now);
    void on(ChannelEnded &&message, TimePoint now);
    void on(ExecutionEnded &&message, TimePoint now);
    void on(UpstreamProbed &&message, TimePoint now);
    void on(UpstreamReported &&message, TimePoint now);
    void on(MembersChanged &&message, TimePoint now);
    void on(ConfigurationTaken &&message, TimePoint now);
    void on(StrikesTaken &&message, TimePoint now);
    void on(SettingsChanged &&message, TimePoint now);
    void on(StopWanted &&message, TimePoint now);

    void carryOut(EntryActions &&actions, TimePoint now);
    void carryOut(SendRun &&action, TimePoint now);
    void carryOut(SendCancel &&action, TimePoint now);
    void carryOut(FinishCall &&action, TimePoint now);
    void carryOut(GateActions &&actions, TimePoint now);
    void carryOut(StartExecution &&action, TimePoint now);
    void carryOut(CancelExecution &&action, TimePoint now);
    void carryOut(Reply &&action, TimePoint now);

    void logEnd(const FinishCall &action, TimePoint now);
    void logAttempt(const InstanceId &target, const Answer &answer, TimePoint now);
    void logUpstream(std::string_view event, TimePoint now);
    std::string_view callerId(RequestId id) const;
    void refuseCall(RequestId id, const IncomingCall &call, Error reason, TimePoint now);
    void runHere(const Run &run, ReplyTo from, TimePoint now);
    void finishExecution(UpstreamResult result, TimePoint now);
    bool isNews(const UpstreamNews &news) const;
    void leave(TimePoint now);
    void drain(TimePoint now);
    void noteStrikes(const Work &work, std::uint64_t crash, TimePoint now);
    void noteCompletion(const Work &work, TimePoint now);
    void tellCondition();
    MemberState state() const;

    /// Clocks of machines may step by minutes; decisions here use no wall time.
    static constexpr WallTime noWallTime{0};

    ProxySettings m_settings;
    Adapter m_adapter;
    ProxyOutputs m_outputs;
    PoisonBook m_poison;
    Entry m_entry;
    Gate m_gate;
    ConfigurationHistory m_history;
    ServiceChooser m_chooser;
    std::optional<UpstreamNews> m_upstream; ///< the newest report of the present instance
    std::optional<TimePoint> m_leaveTime;   ///< since when the upstream leaves
    std::optional<TimePoint> m_stopTime;    ///< since when the process stops
    std::optional<NodeCondition> m_told;
    std::unordered_map<ExecutionId, Work> m_running;
    std::unordered_map<std::string, ExecutionId> m_runningNames; ///< as callers name the requests
    std::vector<UpstreamResult> m_lost; ///< wait for the probe that tells crash from mishap
    std::unordered_map<RequestId, std::string> m_callerIds; ///< as callers name their requests
    RequestMetrics m_entryMetrics;
    RequestMetrics m_gateMetrics;
};

} // namespace buckthornford
