#pragma once

/// Admission control for the one upstream beside this node: decides which requests run, wait or
/// are refused, and tracks how each execution ends. It has no socket, clock or codec: callers pass
/// in values and the current time, and carry out the actions that it returns.

#include "admission/admission.h"
#include "call/call.h"
#include "chain_load/chain_load.h"
#include "idempotency/idempotency.h"
#include "poison/poison.h"
#include "preset/preset.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace buckthornford {

/// Behaviour of an admission controller; the named policies are rows of a table.
struct AdmissionPolicy
{
    LimiterKind limiter = LimiterKind::Adaptive;
    QueueOrder order = QueueOrder::Ranked;
    bool deduplicatesKeys = true;           ///< requests with an idempotency key run at most once
    bool refusesUnmeetableDeadlines = true; ///< such requests never take a slot
    bool reservesSlotsForShortWork = true;  ///< long operations leave a share of the slots free
    /// With an empty queue, starts work that has less time left than it usually needs.
    bool relaxesDeadlineCheckWhenQueueEmpty = false;
    /// Longest time in the queue of a request that starts a chain, as a share of its class's
    /// objective; 0 for no limit.
    double maxQueueWaitShare = 0.0;
};

struct AdmissionSettings
{
    InstanceId self;
    Incarnation incarnation;
    AdmissionPolicy policy;
    IdempotencyTable::Settings idempotency;
    std::size_t queueCapacity = 512;
    const PoisonDetector *poison = nullptr; ///< finds contents to refuse; nullptr: none are
};

/// Load that an upstream reports, in executions.
struct UpstreamLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// How an execution ended at the upstream.
struct UpstreamResult
{
    enum class End {
        Answered,       ///< a complete response, whatever its status
        Shed,           ///< refused by the upstream before it ran
        NotSent,        ///< the connection could not be opened, so nothing was sent
        ConnectionLost, ///< the connection broke after the request was sent
        Truncated,      ///< the response ended early
        TimedOut,       ///< no response before the deadline
        Cancelled,      ///< cancelled by this node
    };

    ExecutionId execution;
    End end = End::Answered;
    int status = 0;
    std::string contentType;
    std::string body;
    Duration latency{0};
    std::uint64_t upstreamStartId = 0; ///< identifies the upstream process that was asked
    bool hasUpstreamCrashed = false;   ///< with End::ConnectionLost: the process itself ended
    HttpHeaders headers;               ///< end-to-end fields of the response
    RefusedResponse refused;           ///< what came that was not taken for a response
    std::optional<UpstreamLoad> load;
};

/// Asks the upstream to run \a run.
struct StartExecution
{
    ExecutionId execution;
    RunRequest run;
    Rank rank;
    TimePoint deadline;
};

/// Asks the upstream to cancel an execution, whose end is still passed to onExecutionEnded().
struct CancelExecution
{
    ExecutionId execution;
};

/// Sends \a answer to one waiter.
struct Reply
{
    ReplyTo to;
    Answer answer;
    OperationName operation{}; ///< that the answer is about; empty if the request wasn't read
};

using AdmissionAction = std::variant<StartExecution, CancelExecution, Reply>;
using AdmissionActions = std::vector<AdmissionAction>;

class AdmissionController
{
public:
    explicit AdmissionController(AdmissionSettings settings);

    /// Admits work to an upstream that announces \a slots. \a isNew says that its process is new,
    /// so that estimates of the previous one are dropped.
    void attachUpstream(Slots slots, bool isNew, TimePoint now);

    /// Records that the upstream reports \a executions in progress. Reports arrive late and may
    /// be wrong, so they can only raise the load that is advertised to other nodes, and expire.
    void setReportedLoad(std::uint32_t executions, TimePoint now);

    /// Refuses queued work because the upstream is gone. Running executions end on their own.
    AdmissionActions detachUpstream(TimePoint now);

    /// Refuses new work; queued and running work completes.
    void startDraining() { m_draining = true; }
    void stopDraining() { m_draining = false; }
    bool isDraining() const { return m_draining; }
    bool isIdle() const { return m_executions.empty(); }
    bool hasUpstream() const { return m_hasUpstream; }

    /// Runs, queues or refuses \a run; its answer goes to \a replyTo.
    AdmissionActions submit(const RunRequest &run, ReplyTo replyTo, const Preset &preset,
                            TimePoint now, WallTime wall);
    /// Withdraws the request of \a replyTo, unless others wait for the same execution.
    AdmissionActions cancel(ReplyTo replyTo, TimePoint now);
    AdmissionActions onExecutionEnded(UpstreamResult result, ChainResult chain, TimePoint now);
    AdmissionActions tick(TimePoint now, WallTime wall);

    /// Refuses all queued requests, so that other targets can run them.
    AdmissionActions refuseQueued(Error reason);

    /// Brings the deadlines of all queued requests forward to \a deadline at the latest, because
    /// the node stops.
    void endQueuedBy(TimePoint deadline);

    /// Cancels the queued and the idempotent requests of \a stream, which has ended. They can run
    /// again at another target; other running requests continue.
    AdmissionActions cancelStream(std::uint64_t stream, TimePoint now);

    std::uint32_t inFlight() const { return m_inFlight; }
    std::size_t queued() const { return m_queue.size(); }

    LoadReport load() const;

    /// Returns the work that is offered to the upstream, relative to its slots.
    Utilization demand(TimePoint now) const;

    const IdempotencyTable &idempotencyTable() const { return m_idempotency; }

private:
    struct Execution
    {
        RunRequest run;
        ReplyTo replyTo;
        Rank rank;
        TimePoint arrived;
        TimePoint started;
        TimePoint deadline;
        double shortShare = 0.0;
        TimePoint latestStart{}; ///< if still queued by then, the request is refused
        bool isRunning = false;
        bool isLong = false;
    };

    std::optional<Error> refusalReason(const Execution &execution, TimePoint now) const;
    bool cannotMeetDeadline(const QueuedRequest &request, TimePoint now) const;
    QueuedRequest makeQueuedRequest(ExecutionId id, const Execution &execution) const;
    void startQueued(AdmissionActions *actions, TimePoint now);
    bool mayStart(const QueuedRequest &request, TimePoint now) const;
    void refuse(ExecutionId id, Error reason, bool retryable, AdmissionActions *actions,
                bool reachedUpstream = false);
    void replyToWaiters(const Execution &execution, Answer answer, AdmissionActions *actions);
    void releaseSlot(const Execution &execution, const UpstreamResult &result, TimePoint now);
    Answer makeAnswer(const Execution &execution, UpstreamResult result, ChainResult chain) const;
    bool usesIdempotencyTable(const RunRequest &run) const;

    AdmissionSettings m_settings;
    std::unique_ptr<Limiter> m_limiter;
    AdmissionQueue m_queue;
    IdempotencyTable m_idempotency;
    CostEstimator m_costs;
    DemandMeter m_demand;
    ShortWorkReserve m_shortWorkReserve;
    std::unordered_map<ExecutionId, Execution> m_executions;
    std::map<ReplyTo, ExecutionId> m_executionsByReply;
    Revision m_tieBreakerRevision;
    std::uint64_t m_nextExecutionId;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_reportedLoad = 0;
    TimePoint m_loadReportTime;
    bool m_hasUpstream = false;
    bool m_draining = false;
};

} // namespace buckthornford
