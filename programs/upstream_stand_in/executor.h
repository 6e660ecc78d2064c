#pragma once

#include "core/core.h"
#include "task/task.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>

namespace buckthornford {

/// How the stand-in behaves; tests and experiments change it at run time through /behaviour.
struct Behaviour
{
    double meanMs = 5.0;            ///< mean service time of a request of cost 1
    double spread = 0.3;            ///< relative standard deviation of the service time
    double slowFactor = 1.0;        ///< factor on all service times
    std::uint32_t slots = 16;       ///< executions at once; more wait in a queue
    std::uint32_t knee = 16;        ///< above so many executions, service times grow in proportion
    std::uint32_t shedAbove = 1000; ///< sheds new requests when so many run or wait
    double failShare = 0.0;         ///< share of executions that fail with status 500
    double coldSeconds = 0.0;       ///< length of the cold start
    double coldFactor = 4.0;   ///< on service times at the start; falls to 1 over the cold start
    Duration stallDuration{0}; ///< when set, no execution ends for this long
};

/// How an execution ends. One that was shed has not run.
enum class ExecutionResult { Completed, Failed, Shed, Cancelled };

/// Asks for an execution.
struct ExecutionRequest
{
    std::string execution;   ///< call context from the node, empty if called directly
    std::string nonce;       ///< names the caller's request in the ledger
    double costFactor = 1.0; ///< factor on the service time
    std::shared_ptr<ReplySlot<ExecutionResult>> reply;
};

/// An execution is no longer wanted: it is shed if it waits, and cut short if it runs.
struct ExecutionCancelled
{
    std::string execution;
};

/// Replaces the behaviour; starts a stall if it has one.
struct BehaviourChanged
{
    Behaviour behaviour;
};

/// How often the request with one nonce ran. The load generator checks its calls against these
/// rows.
struct LedgerRow
{
    std::uint32_t started = 0;
    std::uint32_t ended = 0; ///< without those that were cancelled
};

/// Asks for the ledger: a row for each nonce.
struct LedgerRequest
{
    std::shared_ptr<ReplySlot<std::unordered_map<std::string, LedgerRow>>> reply;
};

/// Asks for the counters and the behaviour.
struct CountersRequest
{
    /// Counts since the start, and the executions that run and wait now.
    struct Counters
    {
        std::uint64_t started = 0;
        std::uint64_t ended = 0;
        std::uint64_t shed = 0;
        std::uint64_t cancelled = 0;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        Behaviour behaviour;
    };
    std::shared_ptr<ReplySlot<Counters>> reply;
};

using ExecutorMessage = std::variant<ExecutionRequest, ExecutionCancelled, BehaviourChanged,
                                     LedgerRequest, CountersRequest>;

/// Simulates the executions: owns the slots, the queue, the end time of each execution and the
/// ledger.
class Executor : public Task<ExecutorMessage>
{
public:
    Executor(Behaviour behaviour, std::uint64_t seed);
    ~Executor() override { stop(); }

protected:
    void handle(ExecutorMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    struct Running
    {
        ExecutionRequest request;
        TimePoint endsAt;
        bool willFail = false;
    };

    void on(ExecutionRequest &&message, TimePoint now);
    void on(ExecutionCancelled &&message, TimePoint now);
    void on(BehaviourChanged &&message, TimePoint now);
    void on(LedgerRequest &&message, TimePoint now);
    void on(CountersRequest &&message, TimePoint now);

    /// Starts waiting requests while there are free slots.
    void startWaiting(TimePoint now);
    void finish(const Running &running, ExecutionResult result);
    /// Returns the random service time of an execution that starts now.
    Duration serviceTime(double costFactor, TimePoint now);

    Behaviour m_behaviour;
    std::mt19937_64 m_random;
    TimePoint m_startedAt;
    TimePoint m_stallEndsAt; ///< no execution ends before
    std::deque<ExecutionRequest> m_waiting;
    std::multimap<TimePoint, Running> m_running; ///< by end time
    std::unordered_map<std::string, LedgerRow> m_ledger;
    CountersRequest::Counters m_counters;
};

} // namespace buckthornford
