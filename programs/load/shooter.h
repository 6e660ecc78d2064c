#pragma once

#include "http/http.h"
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
enum class AnswerFault { None, Cut, Crossed };

struct ShotResult
{
    Shot shot;
    Outcome outcome = Outcome::Unknown; ///< of the last send
    Duration latency{0};                ///< from when the request was due
    Duration finished{0};               ///< after the start
    std::vector<SendRecord> sends;
    std::uint32_t attempts = 0; ///< made by entry nodes, summed over the sends
    AnswerFault fault = AnswerFault::None;
};

class Shooter;

/// What a shooter tells its dispatcher.
struct ShotReport
{
    Shooter *shooter = nullptr;
    ShotResult result;
};

struct ShotOrder
{
    Shot shot;
    RequestKind kind;
    TimePoint start; ///< of the run
};

/// A task that plays one caller at a time, on connections of its own.
class Shooter : public Task<ShotOrder>
{
public:
    /// \a home is the entry that the caller uses first; its re-sends go to the next ones.
    Shooter(std::vector<Endpoint> entries, std::size_t home, std::string runName,
            Mailbox<ShotReport> *reports);
    ~Shooter() override { stop(); }

protected:
    void handle(ShotOrder &&order, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    SendRecord send(const ShotOrder &order, const std::string &nonce, const std::string &key,
                    std::uint32_t sendNumber, ShotResult *result);
    Result<HttpResponse> exchange(std::size_t entry, const HttpRequest &request, Duration timeout);
    std::string takeKey(const std::string &service, std::size_t entry);
    HttpRequest requestOf(const ShotOrder &order, const std::string &nonce,
                          const std::string &key) const;

    struct KeyStock
    {
        std::deque<std::string> keys;
        TimePoint freshUntil;
    };

    std::vector<Endpoint> m_entries;
    std::size_t m_home;
    std::string m_runName;
    Mailbox<ShotReport> *m_reports;
    std::optional<HttpConnection> m_connection;
    std::size_t m_connectedEntry = 0;
    std::map<std::string, KeyStock> m_keys;
};

} // namespace buckthornford
