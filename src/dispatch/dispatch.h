#pragma once

/// The caller's side of a node: picks a target for each call and owns the call's deadline, retries,
/// hedges and answer. Free of sockets, clocks and encodings: it takes values and the current time
/// and returns the actions that its owner carries out.

#include "balancing/balancing.h"
#include "call/call.h"
#include "chain_load/chain_load.h"
#include "idempotency/idempotency.h"
#include "poison/poison.h"
#include "preset/preset.h"
#include "retry/retry.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <variant>
#include <vector>

namespace buckthornford {

/// A request that arrived from a caller or from this node's upstream.
struct CallRequest
{
    Work work;
    std::optional<Duration> timeout;
    std::optional<ExecutionId> parent; ///< the execution at this node's upstream that made the call
    bool isFromUpstream = false;
    std::optional<TraceContext> trace;
    /// When executions for the call have to end, if that is earlier than the call's deadline asks.
    TimePoint executionsDueBy = TimePoint::max();
};

/// How a call ended.
struct CallResult
{
    Answer answer;
    AttemptNumber attempts; ///< number of attempts sent, including hedges
    Span span;
    Duration duration{0};  ///< since the first request of the call chain arrived
    InstanceId lastTarget; ///< target of the last attempt; empty if nothing was sent
};

/// Send \a run to the node \a to.
struct SendRun
{
    PeerRef to;
    RunRequest run;
};

/// Tell the node \a to that the answer to this attempt is no longer needed.
struct SendCancel
{
    PeerRef to;
    RequestId request;
    AttemptNumber attempt;
};

/// Give the caller its result; the call is closed.
struct FinishCall
{
    RequestId request;
    CallResult result;
};

using DispatchAction = std::variant<SendRun, SendCancel, FinishCall>;
using DispatchActions = std::vector<DispatchAction>;

/// How a dispatcher behaves. The policies that are chosen by name are rows of a table, in
/// src/node/policy.cpp.
struct DispatchPolicy
{
    LoadBalancerKind loadBalancer = LoadBalancerKind::TwoChoices;
    RetryChoice (*chooseRetry)(const EndedAttempt &) = buckthornford::chooseRetry;
    /// If set, the retries that each hop may make, in place of the chain's retry budget.
    std::optional<Tokens> retriesPerHop;
    bool hedges = true;
    bool usesIdempotencyKeys = true;
    /// How often a call may be rerouted to another target after an attempt that did not reach an
    /// upstream. Such a reroute costs no retry token.
    std::uint32_t freeReroutes = 0;
    bool retryRatioPerService = false; ///< limit retries per called service instead of per caller
    /// Whether upstreams propagate the context of a request to the calls they make. If so, a call
    /// inherits class, caller, configuration revision and retry budget from the execution that
    /// makes it. If not, a call is a new request and inherits only rank and deadline, if the
    /// execution is known.
    bool propagatesContext = true;
    /// Refuses calls of callers that the services further down could not finish.
    bool limitsChainStarts = false;
    /// Cancels the open calls of an execution when it ends. Not needed where a caller that leaves
    /// is noticed: an upstream that gives its work up leaves the calls for it, and one that works
    /// on needs their answers.
    bool cancelsCallsOfEndedExecutions = true;
    double minHedgeDelayShare = 0.0; ///< earliest hedge, as a share of the time to the deadline
    /// Longest delay after which a caller whose call did not run is asked to send it again; 0
    /// leaves the delay to the caller.
    Duration maxRetryAfter{0};
};

struct DispatchSettings
{
    NodeLocation location;
    DispatchPolicy policy;
    RetryRatioLimiter::Settings ratio;
    Duration keyLife{std::chrono::seconds(60)}; ///< lifetime of idempotency keys made here
    Depth maxDepth{16};                         ///< calls deeper in their chain are refused
    std::uint64_t seed = 1;                     ///< of the random choices
    double sampledShare = 0.01;             ///< share of the traces started here that are sampled
    const PoisonDetector *poison = nullptr; ///< knows the contents to refuse; nullptr refuses none
};

/// A live node and the service that it serves.
struct DirectoryEntry
{
    PeerRef peer;
    ServiceName service;
};

/// Dispatches the calls of callers and of this node's upstream to targets.
class CallDispatcher
{
public:
    explicit CallDispatcher(DispatchSettings settings);

    /// Replaces what is known of the other nodes: \a targets can be picked, \a directory lists all
    /// live nodes, which may own idempotency keys even if they can't be picked.
    void setView(const std::vector<Target> &targets, std::vector<DirectoryEntry> directory,
                 TimePoint now);

    /// Starts a call under the configuration that is active at \a wall or, if the context is
    /// propagated, under the revision of its chain.
    DispatchActions startCall(RequestId id, CallRequest request,
                              const ConfigurationHistory &history, TimePoint now, WallTime wall);

    /// Handles the answer to one attempt; answers to ended or unknown attempts are ignored.
    DispatchActions onAnswer(const InstanceId &from, Answer answer, TimePoint now, WallTime wall);

    /// The stream to \a peer broke; the attempts sent on it may have arrived.
    DispatchActions onPeerLost(const InstanceId &peer, TimePoint now, WallTime wall);

    /// No stream to \a peer could be opened; the attempts for it were not sent.
    DispatchActions onPeerUnreachable(const InstanceId &peer, TimePoint now, WallTime wall);

    /// One stream to \a peer ended without answers to \a unanswered. If \a wasOpen, these attempts
    /// may have arrived, else they were not sent. Attempts on other streams to the peer continue.
    DispatchActions onStreamEnded(const InstanceId &peer, bool wasOpen,
                                  const std::vector<AttemptRef> &unanswered, TimePoint now,
                                  WallTime wall);

    /// Ends the call because nobody waits for its answer any more.
    DispatchActions cancel(RequestId id, TimePoint now, WallTime wall);

    /// Ends calls whose deadline has passed and sends the hedges that are due.
    DispatchActions tick(TimePoint now, WallTime wall);

    /// Brings the deadlines of all open calls forward to \a callsDueBy at the latest, and those of
    /// their further attempts to \a executionsDueBy, because the node stops.
    void endCallsBy(TimePoint callsDueBy, TimePoint executionsDueBy);

    /// Returns when tick() is due next, at the latest \a otherwise.
    TimePoint nextWake(TimePoint otherwise) const;

    /// An execution of \a rank starts at this node's upstream. Calls that it makes inherit from
    /// \a run and spend the retry budget lent with it.
    void onExecutionStarted(ExecutionId id, const RunRequest &run, Rank rank, TimePoint deadline);

    /// Cancels the open calls of the execution.
    void cancelCallsOf(ExecutionId id, TimePoint now, WallTime wall, DispatchActions *actions);

    /// Ends the execution and, if the policy says so, cancels its open calls. Returns its remaining
    /// retry budget and whether one of its calls did not complete.
    ChainResult onExecutionEnded(ExecutionId id, TimePoint now, WallTime wall,
                                 DispatchActions *actions);

    /// Makes \a count idempotency keys, each owned by a target of \a service. Fails with
    /// Error::UnknownService or Error::NoTarget.
    Result<std::vector<std::string>> makeKeys(const ServiceName &service, std::size_t count,
                                              TimePoint now, WallTime wall);

    std::size_t openCalls() const { return m_calls.size(); }

    /// Sets the retry ratio; retries that are already earned stay.
    void setRetryRatio(const RetryRatioLimiter::Settings &ratio)
    {
        m_retryRatio.setSettings(ratio);
    }

    /// Number of attempts after the first of their call: retries, reroutes and hedges.
    std::uint64_t retryCount() const { return m_retryCount; }

    /// Returns the highest utilization along the calls that executions of \a operation make from
    /// this node.
    Utilization loadBelow(const OperationName &operation, TimePoint now) const
    {
        return m_downstreamLoad.below(operation, now);
    }

    /// Returns when a caller that has \a timeLeft should send a request that did not run again:
    /// early enough to be served before its deadline, and random, so that callers refused together
    /// do not return together.
    Duration chooseRetryAfter(Duration timeLeft);

    /// Returns the work of an open call or nullptr.
    const Work *findWork(RequestId id) const;

private:
    /// An attempt that has no answer yet.
    struct Attempt
    {
        AttemptNumber number;
        PeerRef peer;
        TimePoint sentAt;
        Tokens lentTokens; ///< part of the retry budget that was sent along
    };

    struct Call
    {
        RequestId id;
        Work work;
        TimePoint chainStart; ///< when the first request of the call chain arrived
        TimePoint deadline;
        TimePoint executionsDueBy = TimePoint::max(); ///< CallRequest::executionsDueBy
        Rank rank;
        double spillShare = 0.0;
        double hedgeShare = 0.0;
        Revision revision;
        Depth depth;
        RetryBudget budget;
        bool hasGeneratedKey = false; ///< the key is made here, for each target anew
        bool mayHaveRun = false;      ///< an attempt ended with an unknown outcome
        bool isRepeat = false;        ///< RunRequest::isRepeat of the next attempt
        std::optional<ExecutionId> parent;
        TraceContext trace;
        std::uint64_t parentSpan = 0;
        WallTime startWallTime; ///< when this call arrived
        std::vector<Attempt> openAttempts;
        std::vector<InstanceId> triedTargets;
        std::uint32_t attemptCount = 0;
        std::uint32_t rerouteCount = 0;        ///< without a retry token; at most freeReroutes
        std::optional<Answer> upstreamFailure; ///< last one; the result if no attempt completes
        Duration queueWait{0};                 ///< sum over all answers
    };

    /// A running execution at this node's upstream and the calls that it makes.
    struct LocalExecution
    {
        RunRequest run; ///< without its body
        TimePoint deadline;
        Rank rank;
        RetryBudget budget;
        bool failedPermanently = false;
        std::vector<RequestId> calls; ///< open ones
    };

    /// The deadline of a call, or the time to hedge it.
    struct Timer
    {
        RequestId id;
        bool isDeadline = true;
    };

    /// Takes class, caller, deadline, revision, retry budget and trace from the execution that
    /// makes the call. Error::ExecutionEnded or Error::DepthExceeded.
    std::optional<Error> inheritContext(Call *call, const CallRequest &request,
                                        const Configuration &configuration);
    /// Takes rank and deadline from \a parent, for a call without a propagated context.
    std::optional<Error> inheritRankAndDeadline(Call *call, ExecutionId parent);
    /// Sets up a call without a propagated context by the rule of its class. Error::UnknownClass.
    std::optional<Error> applyClassRule(Call *call, const CallRequest &request,
                                        const Configuration &configuration, TimePoint now);
    bool mayStartChain(const Call &call, TimePoint now);
    void startTimers(const Call &call, TimePoint now);
    /// Sends to the owner of the caller's key, or to a picked target if there is no such key.
    void sendByKey(Call *call, DispatchActions *actions, TimePoint now, WallTime wall);
    void sendToPickedTarget(Call *call, DispatchActions *actions, TimePoint now, WallTime wall);
    void send(Call *call, const PeerRef &peer, DispatchActions *actions, TimePoint now);
    /// Returns by when an execution for \a call has to end.
    static TimePoint executionDeadline(const Call &call);
    /// Returns the node to which \a target may move the caller's key if it refuses the run.
    std::optional<PeerRef> findAlternate(const Call &call, const PeerRef &target, TimePoint now);
    /// Sends a second attempt beside the open one, if hedge credit and retry budget allow it.
    void hedge(Call *call, DispatchActions *actions, TimePoint now);
    void handleAttemptEnd(Call *call, const Attempt &attempt, Answer answer,
                          bool maySendToSameTarget, DispatchActions *actions, TimePoint now,
                          WallTime wall);
    void retryOrFinish(Call *call, RetryChoice choice, const Attempt &attempt, Answer answer,
                       DispatchActions *actions, TimePoint now, WallTime wall);
    /// Takes what the next attempt costs: a reroute or a retry. Returns whether it was available.
    bool tryAcquireRetry(Call *call, RetryChoice choice, const Answer &answer);
    const std::string &retryRatioScope(const Call &call) const;
    bool isPoisonous(const Work &work) const;
    void finishCall(Call *call, Answer answer, DispatchActions *actions, TimePoint now,
                    WallTime wall);
    /// Finishes a call without an answer from a target.
    void finishWithError(Call *call, Error reason, Outcome outcome, DispatchActions *actions,
                         TimePoint now, WallTime wall);
    DispatchActions endAttemptsAtPeer(const InstanceId &peer, Outcome outcome, Error reason,
                                      bool wasSent, TimePoint now, WallTime wall);
    void endUnansweredAttempt(const InstanceId &peer, AttemptRef ref, bool wasSent,
                              DispatchActions *actions, TimePoint now, WallTime wall);
    const DirectoryEntry *findNode(const InstanceId &instance) const;
    PickRequest makePickRequest(const Call &call) const;

    DispatchSettings m_settings;
    std::unique_ptr<LoadBalancer> m_balancer;
    RetryRatioLimiter m_retryRatio;
    DownstreamLoad m_downstreamLoad;
    ChainStartLimiter m_chainStartLimiter;
    std::unordered_map<InstanceId, DirectoryEntry> m_directory;
    std::unordered_map<RequestId, Call> m_calls;
    std::unordered_map<ExecutionId, LocalExecution> m_executions;
    std::multimap<TimePoint, Timer> m_timers;
    double m_hedgeCredit = 0.0; ///< hedges that may be sent
    std::mt19937_64 m_random;
    std::uint64_t m_retryCount = 0;
};

} // namespace buckthornford
