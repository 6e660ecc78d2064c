#pragma once

/// The entry node's part: picks the target's node and owns deadline, retry budget and answer.
/// No socket, no clock, no codec; driven by values, returns actions.

#include "balancing/balancing.h"
#include "call/call.h"
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

/// A request as it comes through a door.
struct CallRequest
{
    Work work;
    std::optional<Duration> timeout;
    std::optional<ExecutionId> parent; ///< the execution that makes the call
    bool isFromUpstream = false;
    std::optional<TraceContext> trace;
};

/// How a request ended.
struct CallResult
{
    Answer answer;
    AttemptNumber attempts; ///< sent, hedges included
    Span span;
    Duration duration{0};  ///< since the request entered
    InstanceId lastTarget; ///< of the last attempt, if there was one
};

struct SendRun
{
    PeerRef to;
    RunRequest run;
};

struct SendCancel
{
    PeerRef to;
    RequestId request;
    AttemptNumber attempt;
};

struct FinishCall
{
    RequestId request;
    CallResult result;
};

using DispatchAction = std::variant<SendRun, SendCancel, FinishCall>;
using DispatchActions = std::vector<DispatchAction>;

/// How an entry behaves; the policies are rows of a table.
struct DispatchPolicy
{
    LoadBalancerKind router = LoadBalancerKind::TwoChoices;
    RetryChoice (*chooseRetry)(const EndedAttempt &) = buckthornford::chooseRetry;
    std::optional<Tokens> retriesPerHop; ///< at each hop, in place of the chain's budget
    bool hedges = true;
    bool usesIdempotencyKeys = true;
    /// Times that a request may be placed anew after a target's node refused it unsent; such a
    /// refusal costs no retry.
    std::uint32_t freeReroutes = 0;
    bool retryRatioPerService = false; ///< in place of one for each caller
    /// Whether upstreams pass the context of a request on to their calls, so that these share its
    /// class, caller, revision and retries. Else a call is a request of its own, and takes only
    /// rank and deadline of the execution that makes it, if that is known.
    bool propagatesContext = true;
    double minHedgeDelayShare = 0.0; ///< of the time that the caller gives, the soonest for a hedge
    /// Longest time after which a caller who is turned away unserved is asked to come again;
    /// 0 to leave it to the caller.
    Duration maxRetryAfter{0};
};

struct DispatchSettings
{
    NodeLocation location;
    DispatchPolicy policy;
    RetryRatioLimiter::Settings ratio;
    Duration keyLife{std::chrono::seconds(60)};
    Depth maxDepth{16};
    std::uint64_t seed = 1;
    double sampledShare = 0.01;             ///< of the traces that start here
    const PoisonDetector *poison = nullptr; ///< contents that are refused; none if not set
};

/// A live node as the directory of members knows it.
struct DirectoryEntry
{
    PeerRef peer;
    ServiceName service;
};

class CallDispatcher
{
public:
    explicit CallDispatcher(DispatchSettings settings);

    /// Replaces the view of the other nodes: \a targets serve, \a directory are all that live.
    void setView(const std::vector<Target> &targets, std::vector<DirectoryEntry> directory,
                 TimePoint now);

    DispatchActions startCall(RequestId id, CallRequest request,
                              const ConfigurationHistory &history, TimePoint now, WallTime wall);
    DispatchActions onAnswer(const InstanceId &from, Answer answer, TimePoint now, WallTime wall);

    /// The stream to \a peer broke; attempts on it may or may not have arrived.
    DispatchActions onPeerLost(const InstanceId &peer, TimePoint now, WallTime wall);

    /// No stream to \a peer could be opened; attempts on it were not sent.
    DispatchActions onPeerUnreachable(const InstanceId &peer, TimePoint now, WallTime wall);

    /// One stream to \a peer has ended without answers to \a unanswered; they were not sent unless
    /// \a wasOpen. Other attempts at that peer go on.
    DispatchActions onStreamEnded(const InstanceId &peer, bool wasOpen,
                                  const std::vector<AttemptRef> &unanswered, TimePoint now,
                                  WallTime wall);

    /// The caller went away.
    DispatchActions cancel(RequestId id, TimePoint now, WallTime wall);

    /// Does what is due: deadlines and hedges.
    DispatchActions tick(TimePoint now, WallTime wall);
    TimePoint nextWake(TimePoint otherwise) const;

    /// An execution of \a rank at this node's upstream starts; its calls draw on what it was lent.
    void onExecutionStarted(ExecutionId id, const RunRequest &run, Rank rank, TimePoint deadline);

    /// Cancels the calls that the execution has open.
    void cancelCallsOf(ExecutionId id, TimePoint now, WallTime wall, DispatchActions *actions);

    /// It ended; calls that it left open are cancelled.
    ChainResult onExecutionEnded(ExecutionId id, TimePoint now, WallTime wall,
                                 DispatchActions *actions);

    /// Makes \a count keys at targets of \a service. Error::UnknownService or Error::NoTarget.
    Result<std::vector<std::string>> makeKeys(const ServiceName &service, std::size_t count,
                                              TimePoint now, WallTime wall);

    std::size_t openCalls() const { return m_calls.size(); }

    /// Sets the share of retries for what is saved from now on.
    void setRetryRatio(const RetryRatioLimiter::Settings &ratio) { m_ratio.setSettings(ratio); }

    /// Attempts that went out after the first of their call.
    std::uint64_t retryCount() const { return m_retries; }

    /// Returns the work of an open call or nullptr.
    const Work *findWork(RequestId id) const;

private:
    struct Attempt
    {
        AttemptNumber number;
        PeerRef peer;
        TimePoint sent;
        Tokens lent;
    };
    struct Call
    {
        RequestId id;
        Work work;
        TimePoint entered;
        TimePoint deadline;
        Rank rank;
        double spillShare = 0.0;
        double hedgeShare = 0.0;
        Revision revision;
        Depth depth;
        RetryBudget budget;
        bool ownKey = false;
        bool mayHaveRun = false; ///< an attempt ended without a known outcome
        bool isRepeat = false;   ///< \see Run::isRepeat, for the next attempt
        std::optional<ExecutionId> parent;
        TraceContext trace;
        std::uint64_t parentSpan = 0;
        WallTime enteredWall;
        std::vector<Attempt> open;
        std::vector<InstanceId> tried;
        std::uint32_t attempts = 0;
        std::uint32_t freePlacements = 0; ///< used so far
        std::optional<Answer> failure;    ///< of the upstream, in case nothing better comes
        Duration queueWait{0};
    };
    struct Chain
    {
        RunRequest run;
        TimePoint deadline;
        Rank rank;
        RetryBudget budget;
        bool failedForGood = false;
        std::vector<RequestId> calls;
    };
    struct Timer
    {
        RequestId id;
        bool isDeadline = true;
    };

    std::optional<Error> fillFromParent(Call *call, const CallRequest &request,
                                        const Configuration &configuration);
    std::optional<Error> joinChain(Call *call, ExecutionId parent);
    std::optional<Error> fillFromPreset(Call *call, const CallRequest &request,
                                        const Configuration &configuration, TimePoint now);
    void startTimers(const Call &call, TimePoint now);
    void sendFirst(Call *call, DispatchActions *actions, TimePoint now, WallTime wall);
    void sendToAny(Call *call, DispatchActions *actions, TimePoint now, WallTime wall);
    void send(Call *call, const PeerRef &peer, DispatchActions *actions, TimePoint now);
    std::optional<PeerRef> alternateFor(const Call &call, const PeerRef &target, TimePoint now);
    void hedge(Call *call, DispatchActions *actions, TimePoint now);
    void endAttempt(Call *call, const Attempt &attempt, Answer answer, bool wasSent,
                    DispatchActions *actions, TimePoint now, WallTime wall);
    void goOn(Call *call, RetryChoice choice, const Attempt &attempt, Answer answer,
              DispatchActions *actions, TimePoint now, WallTime wall);
    bool mayRetry(Call *call, RetryChoice choice, const Answer &answer);
    const std::string &ratioScope(const Call &call) const;
    Duration returnDelay(const Call &call, TimePoint now);
    bool isPoisonous(const Work &work) const;
    void finish(Call *call, Answer answer, DispatchActions *actions, TimePoint now, WallTime wall);
    void finishRefused(Call *call, Error reason, Outcome outcome, DispatchActions *actions,
                       TimePoint now, WallTime wall);
    DispatchActions endAttemptsOn(const InstanceId &peer, Outcome outcome, Error reason,
                                  bool wasSent, TimePoint now, WallTime wall);
    void endUnanswered(const InstanceId &peer, AttemptRef ref, bool wasSent,
                       DispatchActions *actions, TimePoint now, WallTime wall);
    const DirectoryEntry *lookUp(const InstanceId &instance) const;
    PickRequest pickRequest(const Call &call) const;

    DispatchSettings m_settings;
    std::unique_ptr<LoadBalancer> m_router;
    RetryRatioLimiter m_ratio;
    std::unordered_map<InstanceId, DirectoryEntry> m_directory;
    std::unordered_map<RequestId, Call> m_calls;
    std::unordered_map<ExecutionId, Chain> m_chains;
    std::multimap<TimePoint, Timer> m_timers;
    double m_hedgeCredit = 0.0;
    std::mt19937_64 m_random;
    std::uint64_t m_retries = 0;
};

} // namespace buckthornford
