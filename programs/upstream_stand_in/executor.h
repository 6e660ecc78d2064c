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

/// How the stand-in behaves; an experiment may change it while it runs.
struct Behaviour
{
    double meanMs = 5.0;            ///< service time of ordinary work
    double spread = 0.3;            ///< relative standard deviation of the service time
    double slowFactor = 1.0;        ///< on all service times
    std::uint32_t slots = 16;       ///< executions at once; more wait inside
    std::uint32_t knee = 16;        ///< executions above which each slows the others
    std::uint32_t shedAbove = 1000; ///< executions and waiters above which it sheds
    double failShare = 0.0;         ///< of executions that answer 500
    double coldSeconds = 0.0; ///< after the start, service takes up to coldFactor times as long
    double coldFactor = 4.0;
    Duration stallDuration{0}; ///< a stall of this length starts now
};

/// How an execution ends at the stand-in.
enum class ExecutionResult { Completed, Failed, Shed, Cancelled };

struct ExecutionRequest
{
    std::string execution;   ///< id from the node, empty if called directly
    std::string nonce;       ///< of the caller's request
    double costFactor = 1.0; ///< of the kind of request
    std::shared_ptr<ReplySlot<ExecutionResult>> reply;
};

struct ExecutionCancelled
{
    std::string execution;
};

struct BehaviourChanged
{
    Behaviour behaviour;
};

/// What ran, by nonce.
struct LedgerRow
{
    std::uint32_t started = 0;
    std::uint32_t ended = 0;
};

struct LedgerRequest
{
    std::shared_ptr<ReplySlot<std::unordered_map<std::string, LedgerRow>>> reply;
};

struct CountersRequest
{
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

/// The task that owns the slots, the clock of each execution and the ledger.
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
        TimePoint end;
        bool fails = false;
    };

    void on(ExecutionRequest &&message, TimePoint now);
    void on(ExecutionCancelled &&message, TimePoint now);
    void on(BehaviourChanged &&message, TimePoint now);
    void on(LedgerRequest &&message, TimePoint now);
    void on(CountersRequest &&message, TimePoint now);

    void startWaiting(TimePoint now);
    void finish(const Running &running, ExecutionResult ending);
    Duration serviceTime(double costFactor, TimePoint now);

    Behaviour m_behaviour;
    std::mt19937_64 m_random;
    TimePoint m_started;
    TimePoint m_stallEnd;
    std::deque<ExecutionRequest> m_waiting;
    std::multimap<TimePoint, Running> m_running;
    std::unordered_map<std::string, LedgerRow> m_ledger;
    CountersRequest::Counters m_counters;
};

} // namespace buckthornford
