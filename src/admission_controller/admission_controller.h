#pragma once

/// The sole gate of one upstream: decides admission and owns the truth about execution.
/// No socket, no clock, no codec; gates are driven by values and return actions.

#include "admission/admission.h"
#include "call/call.h"
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

/// How a gate behaves; the policies are rows of a table.
struct AdmissionPolicy
{
    LimiterKind limiter = LimiterKind::Adaptive;
    QueueOrder order = QueueOrder::Ranked;
    bool deduplicatesKeys = true;           ///< keyed requests run at most once
    bool refusesUnmeetableDeadlines = true; ///< what can't meet its deadline never takes a slot
    bool reservesSlotsForShortWork = true;  ///< long work leaves slots to short work
    bool relaxesDeadlineCheckWhenQueueEmpty
            = false; ///< without contention, runs what will hardly end in time
    /// Share of the class's objective for which a request may wait here; 0 for no bound.
    double maxQueueWaitShare = 0.0;
};

struct AdmissionSettings
{
    InstanceId self;
    Incarnation incarnation;
    AdmissionPolicy policy;
    IdempotencyTable::Settings record;
    std::size_t queueCapacity = 512;
    const PoisonDetector *poison = nullptr; ///< contents that are refused; none if not set
};

/// What an upstream says of its load.
struct UpstreamLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// How an execution ended at the upstream.
struct UpstreamResult
{
    enum class End {
        Answered,       ///< a whole answer, whatever its status
        Shed,           ///< refused by the upstream before it ran
        NotSent,        ///< the connection could not be opened, so nothing was sent
        ConnectionLost, ///< the connection broke after the request was sent
        Truncated,      ///< the answer broke off
        TimedOut,       ///< no answer before the deadline
        Cancelled,      ///< given up at this node's wish
    };

    ExecutionId execution;
    End end = End::Answered;
    int status = 0;
    std::string contentType;
    std::string body;
    Duration latency{0};
    std::uint64_t upstreamStartId = 0; ///< id of the upstream's start that was asked
    bool hasUpstreamCrashed = false;   ///< with End::Lost: the upstream itself is gone
    HttpHeaders headers;               ///< end-to-end fields of the answer
    std::optional<UpstreamLoad> load;
};

/// Ask the upstream to run \a run.
struct StartExecution
{
    ExecutionId execution;
    RunRequest run;
    Rank rank;
    TimePoint deadline;
};

/// Ask the upstream to give up; its end is reported all the same.
struct CancelExecution
{
    ExecutionId execution;
};

struct Reply
{
    ReplyTo to;
    Answer answer;
};

using AdmissionAction = std::variant<StartExecution, CancelExecution, Reply>;
using AdmissionActions = std::vector<AdmissionAction>;

class AdmissionController
{
public:
    explicit AdmissionController(AdmissionSettings settings);

    /// The upstream is there and has \a slots; \a isNew if it has started anew.
    void attachUpstream(Slots slots, bool isNew, TimePoint now);

    /// The upstream says that it has \a executions in progress. Such reports come late and may
    /// mislead, so they only ever make the load that others are told look worse, for a while.
    void setReportedLoad(std::uint32_t executions, TimePoint now);

    /// The upstream is gone; queued work is refused, running work ends by its own.
    AdmissionActions detachUpstream(TimePoint now);

    /// No new work from now on; what is queued and running is finished.
    void startDraining() { m_draining = true; }
    void stopDraining() { m_draining = false; }
    bool isDraining() const { return m_draining; }
    bool isIdle() const { return m_executions.empty(); }
    bool hasUpstream() const { return m_hasUpstream; }

    AdmissionActions submit(const RunRequest &run, ReplyTo from, const Preset &preset,
                            TimePoint now, WallTime wall);
    AdmissionActions cancel(ReplyTo from, TimePoint now);
    AdmissionActions onExecutionEnded(UpstreamResult result, ChainResult chain, TimePoint now);
    AdmissionActions tick(TimePoint now, WallTime wall);

    /// Refuses all that waits, so that another target may take it.
    AdmissionActions refuseQueued(Error reason);

    /// Cancels what came on \a channel, which has ended, and can be run again elsewhere.
    AdmissionActions cancelStream(std::uint64_t channel, TimePoint now);

    std::uint32_t inFlight() const { return m_inFlight; }
    std::size_t queued() const { return m_queue.size(); }

    LoadReport load() const;
    const IdempotencyTable &record() const { return m_record; }

private:
    struct Execution
    {
        RunRequest run;
        ReplyTo from;
        Rank rank;
        TimePoint arrived;
        TimePoint started;
        TimePoint deadline;
        double shortShare = 0.0;
        TimePoint patience{}; ///< refused if it hasn't started by then
        bool isRunning = false;
        bool isLong = false;
    };

    std::optional<Error> refusalReason(const Execution &execution, TimePoint now) const;
    bool isHopeless(const QueuedRequest &claim, TimePoint now) const;
    QueuedRequest claimOf(ExecutionId id, const Execution &execution) const;
    void startWaiting(AdmissionActions *actions, TimePoint now);
    bool mayStart(const QueuedRequest &claim, TimePoint now) const;
    void refuse(ExecutionId id, Error reason, bool retryable, AdmissionActions *actions,
                bool wasOffered = false);
    void settle(const Execution &execution, Answer answer, AdmissionActions *actions);
    void endSlot(const Execution &execution, const UpstreamResult &result, TimePoint now);
    Answer answerOf(const Execution &execution, UpstreamResult result, ChainResult chain) const;
    bool usesRecord(const RunRequest &run) const;

    AdmissionSettings m_settings;
    std::unique_ptr<Limiter> m_limiter;
    AdmissionQueue m_queue;
    IdempotencyTable m_record;
    CostEstimator m_costs;
    ShortWorkReserve m_reserve;
    std::unordered_map<ExecutionId, Execution> m_executions;
    std::map<ReplyTo, ExecutionId> m_byReply;
    Revision m_tieBreakerRevision;
    std::uint64_t m_nextExecution;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_reportedLoad = 0;
    TimePoint m_reportTime;
    bool m_hasUpstream = false;
    bool m_draining = false;
};

} // namespace buckthornford
