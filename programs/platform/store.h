#pragma once

#include "platform/platform.h"
#include "task/task.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>

namespace buckthornford {

/// Faults that an experiment can set.
struct PlatformFaults
{
    bool isDown = false;      ///< every request is refused with 503
    Duration delay{0};        ///< before each answer
    double loseAnswers = 0.0; ///< share of transactions that take effect without an answer
};

struct RowWanted
{
    std::string key;
    std::shared_ptr<ReplySlot<Result<TableRow>>> reply;
};

/// What became of a transaction.
struct CommitAnswer
{
    Error error = Error::None;
    bool isLost = false; ///< send no answer
};

struct CommitWanted
{
    TableTransaction transaction;
    std::shared_ptr<ReplySlot<CommitAnswer>> reply;
};

struct FaultsChanged
{
    PlatformFaults faults;
};

struct PlatformCounters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t refused = 0;
    PlatformFaults faults;
};

struct CountersWanted
{
    std::shared_ptr<ReplySlot<PlatformCounters>> reply;
};

using StoreMessage = std::variant<RowWanted, CommitWanted, FaultsChanged, CountersWanted>;

/// Requests of one kind that are left in the running second.
class RateLimit
{
public:
    explicit RateLimit(double perSecond)
        : m_perSecond(perSecond)
        , m_left(perSecond)
    {}

    bool take(TimePoint now);

private:
    double m_perSecond;
    double m_left;
    TimePoint m_last;
};

/// The task that owns the rows.
class Store : public Task<StoreMessage>
{
public:
    struct Settings
    {
        double readsPerSecond = 2000;
        double writesPerSecond = 400;
        std::uint64_t seed = 1;
    };

    explicit Store(Settings settings);
    ~Store() override { stop(); }

protected:
    void handle(StoreMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    void on(RowWanted &&message, TimePoint now);
    void on(CommitWanted &&message, TimePoint now);
    void on(FaultsChanged &&message, TimePoint now);
    void on(CountersWanted &&message, TimePoint now);

    Error commit(const TableTransaction &transaction);

    std::map<std::string, TableRow> m_rows;
    RateLimit m_reads;
    RateLimit m_writes;
    PlatformCounters m_counters;
    std::mt19937_64 m_random;
};

} // namespace buckthornford
