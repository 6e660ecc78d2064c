#pragma once

#include "http_blocking/http_blocking.h"
#include "load/plan.h"
#include "task/task.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornford {

/// The outcome of one send of a request, as its caller received it.
struct SendResult
{
    std::string nonce; ///< identifies the send in the ledgers of the upstreams
    Outcome outcome = Outcome::Unknown;
    std::string reason; ///< of a send that did not complete
};

/// What is wrong with the answer of a completed request: Corrupted if its checksum or size is
/// wrong, Mismatched if it belongs to another request.
enum class AnswerFault { None, Corrupted, Mismatched };

/// The result of a planned request after all its sends.
struct RequestResult
{
    PlannedRequest request;
    Outcome outcome = Outcome::Unknown; ///< of the last send
    Duration latency{0};                ///< since the request was due
    Duration finished{0};               ///< since the start of the run
    std::vector<SendResult> sends;
    std::uint32_t attempts = 0; ///< made by entry nodes, summed over the sends
    AnswerFault fault = AnswerFault::None;
};

class LoadWorker;

/// Message from a worker to the load generator: the worker's request has ended.
struct RequestEnded
{
    LoadWorker *worker = nullptr;
    RequestResult result;
};

/// Message to a worker: send this request.
struct RequestJob
{
    PlannedRequest request;
    RequestKind kind;
    TimePoint runStart;
};

/// A task that acts as one caller: it sends one request at a time, on its own connection.
class LoadWorker : public Task<RequestJob>
{
public:
    /// First sends go to entry node number \a firstEntry modulo their count, each re-send to the
    /// next entry node.
    LoadWorker(std::vector<Endpoint> entries, std::size_t firstEntry, std::string runName,
               Mailbox<RequestEnded> *endedRequests);
    ~LoadWorker() override { stop(); }

protected:
    void handle(RequestJob &&job, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    SendResult send(const RequestJob &job, const std::string &nonce, const std::string &key,
                    std::uint32_t sendNumber, RequestResult *result);
    Result<HttpResponse> exchange(std::size_t entry, const HttpRequest &request, Duration timeout);
    std::string takeKey(const std::string &service, std::size_t entry);
    HttpRequest buildRequest(const RequestJob &job, const std::string &nonce,
                             const std::string &key) const;

    struct KeyCache
    {
        std::deque<std::string> keys;
        TimePoint expiry;
    };

    std::vector<Endpoint> m_entries;
    std::size_t m_firstEntry;
    std::string m_runName;
    Mailbox<RequestEnded> *m_endedRequests;
    std::optional<HttpConnection> m_connection;
    std::size_t m_connectedEntry = 0;
    std::map<std::string, KeyCache> m_keys;
};

} // namespace buckthornford
