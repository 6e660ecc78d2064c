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

/// What one send of a request came to, as its caller sees it.
struct SendRecord
{
    std::string nonce; ///< as the upstream's ledger knows it
    Outcome outcome = Outcome::Unknown;
    std::string reason;
};

/// Something wrong with an answer that claimed to be whole.
enum class AnswerFault { None, Corrupted, Mismatched };

struct RequestResult
{
    PlannedRequest request;
    Outcome outcome = Outcome::Unknown; ///< of the last send
    Duration latency{0};                ///< from when the request was due
    Duration finished{0};               ///< after the start
    std::vector<SendRecord> sends;
    std::uint32_t attempts = 0; ///< made by entry nodes, summed over the sends
    AnswerFault fault = AnswerFault::None;
};

class LoadWorker;

/// What a shooter tells its dispatcher.
struct RequestEnded
{
    LoadWorker *worker = nullptr;
    RequestResult result;
};

struct RequestJob
{
    PlannedRequest request;
    RequestKind kind;
    TimePoint runStart; ///< of the run
};

/// A task that plays one caller at a time, on connections of its own.
class LoadWorker : public Task<RequestJob>
{
public:
    /// \a home is the entry that the caller uses first; its re-sends go to the next ones.
    LoadWorker(std::vector<Endpoint> entries, std::size_t home, std::string runName,
               Mailbox<RequestEnded> *reports);
    ~LoadWorker() override { stop(); }

protected:
    void handle(RequestJob &&order, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    SendRecord send(const RequestJob &order, const std::string &nonce, const std::string &key,
                    std::uint32_t sendNumber, RequestResult *result);
    Result<HttpResponse> exchange(std::size_t entry, const HttpRequest &request, Duration timeout);
    std::string takeKey(const std::string &service, std::size_t entry);
    HttpRequest buildRequest(const RequestJob &order, const std::string &nonce,
                             const std::string &key) const;

    struct KeyCache
    {
        std::deque<std::string> keys;
        TimePoint expiry;
    };

    std::vector<Endpoint> m_entries;
    std::size_t m_firstEntry;
    std::string m_runName;
    Mailbox<RequestEnded> *m_reports;
    std::optional<HttpConnection> m_connection;
    std::size_t m_connectedEntry = 0;
    std::map<std::string, KeyCache> m_keys;
};

} // namespace buckthornford
