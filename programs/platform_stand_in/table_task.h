#pragma once

#include "table_client/table_client.h"
#include "task/task.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>

namespace buckthornford {

/// Faults of the platform that a test or experiment sets through /admin/faults.
struct PlatformFaults
{
    bool isDown = false; ///< every read and transaction fails with Error::PlatformUnavailable
    Duration delay{0};   ///< wait before each request is served
    double lostResponseShare = 0.0; ///< share of processed transactions whose response is dropped
};

/// Reads a row. A row that doesn't exist has version 0.
struct ReadRequest
{
    std::string key;
    std::shared_ptr<ReplySlot<Result<TableRow>>> reply;
};

/// The result of a transaction, and whether its response is to be lost.
struct CommitResult
{
    Error error = Error::None;
    bool isResponseLost = false; ///< close the connection without a response
};

/// Runs a transaction: all its writes, or none if a condition fails.
struct CommitRequest
{
    TableTransaction transaction;
    std::shared_ptr<ReplySlot<CommitResult>> reply;
};

/// Replaces all faults.
struct FaultsChanged
{
    PlatformFaults faults;
};

/// Requests since the start, and the faults now set.
struct PlatformCounters
{
    std::uint64_t reads = 0;   ///< with those that failed
    std::uint64_t writes = 0;  ///< transactions, with those that failed
    std::uint64_t refused = 0; ///< reads and transactions above the allowed rate
    PlatformFaults faults;
};

/// Asks for the counters and the faults.
struct CountersRequest
{
    std::shared_ptr<ReplySlot<PlatformCounters>> reply;
};

using TableMessage = std::variant<ReadRequest, CommitRequest, FaultsChanged, CountersRequest>;

/// A token bucket that limits the rate of one kind of request; it holds the tokens of one second.
class TokenBucket
{
public:
    explicit TokenBucket(double perSecond)
        : m_perSecond(perSecond)
        , m_tokens(perSecond)
    {}

    /// Takes a token. Returns false if there is none, so that the request is refused.
    bool take(TimePoint now);

private:
    double m_perSecond;
    double m_tokens;
    TimePoint m_refilledAt;
};

/// Owns the rows, the rate limits, the faults and the counters.
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
    void on(ReadRequest &&message, TimePoint now);
    void on(CommitRequest &&message, TimePoint now);
    void on(FaultsChanged &&message, TimePoint now);
    void on(CountersRequest &&message, TimePoint now);

    Error commit(const TableTransaction &transaction);

    std::map<std::string, TableRow> m_rows;
    TokenBucket m_readTokens;
    TokenBucket m_writeTokens;
    PlatformCounters m_counters;
    std::mt19937_64 m_random;
};

} // namespace buckthornford
