#pragma once

#include "table_client/table_client.h"
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

struct RowRequest
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

struct CommitRequest
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

struct CountersRequest
{
    std::shared_ptr<ReplySlot<PlatformCounters>> reply;
};

using TableMessage = std::variant<RowRequest, CommitRequest, FaultsChanged, CountersRequest>;

/// Requests of one kind that are left in the running second.
class TokenBucket
{
public:
    explicit TokenBucket(double perSecond)
        : m_perSecond(perSecond)
        , m_tokens(perSecond)
    {}

    bool take(TimePoint now);

private:
    double m_perSecond;
    double m_tokens;
    TimePoint m_last;
};

/// The task that owns the rows.
class TableTask : public Task<TableMessage>
{
public:
    struct Settings
    {
        double readsPerSecond = 2000;
        double writesPerSecond = 400;
        std::uint64_t seed = 1;
    };

    explicit TableTask(Settings settings);
    ~TableTask() override { stop(); }

protected:
    void handle(TableMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    void on(RowRequest &&message, TimePoint now);
    void on(CommitRequest &&message, TimePoint now);
    void on(FaultsChanged &&message, TimePoint now);
    void on(CountersRequest &&message, TimePoint now);

    Error commit(const TableTransaction &transaction);

    std::map<std::string, TableRow> m_rows;
    TokenBucket m_reads;
    TokenBucket m_writes;
    PlatformCounters m_counters;
    std::mt19937_64 m_random;
};

} // namespace buckthornford
