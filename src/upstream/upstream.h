#pragma once

/// The connections from a node to the one upstream instance beside it.

#include "admission_controller/admission_controller.h"
#include "call/call.h"
#include "http1/http1.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

namespace buckthornford {

/// The upstream instance that a node serves at present.
struct UpstreamIdentity
{
    std::string id;          ///< names one instance of the upstream
    std::uint64_t start = 0; ///< tells its starts apart
    Endpoint address;

    friend bool operator==(const UpstreamIdentity &, const UpstreamIdentity &) = default;
};

/// How executions are written to an upstream and its answers are read.
class UpstreamCodec
{
public:
    virtual ~UpstreamCodec() = default;

    /// The request for \a run, which the upstream has to end within \a timeLeft.
    virtual ClientRequest makeRequest(const RunRequest &run, const UpstreamIdentity &upstream,
                                      Duration timeLeft) const = 0;

    /// What an answer is worth.
    enum class ResponseKind {
        Executed, ///< the upstream's own, after it ran the request
        NotRun,   ///< the upstream says that it didn't run the request
        Invalid,  ///< not the whole answer of the upstream
    };
    virtual ResponseKind classify(const ClientResponse &answer) const = 0;

    /// What \a answer tells of the upstream's load, if it does.
    virtual std::optional<UpstreamLoad> load(const ClientResponse &answer) const = 0;
};

struct StartJob
{
    ExecutionId execution;
    RunRequest run;
    TimePoint deadline;
};

struct CancelJob
{
    ExecutionId execution;
};

/// The upstream has changed; connections to the one before are closed when idle.
struct UpstreamChanged
{
    UpstreamIdentity identity;
};

using UpstreamMessage = std::variant<StartJob, CancelJob, UpstreamChanged>;

/// Opens a connection to \a endpoint, closes it, and tells \a report whether it was accepted; an
/// endpoint that stays silent counts as reachable.
void probe(EventLoop *loop, const Endpoint &endpoint, std::function<void(bool)> report);

/// Called when a job has ended; a cancelled job ends at once.
using UpstreamResultHandler = std::function<void(UpstreamResult)>;

/// The task that owns the connections to the upstream.
class UpstreamTask : public LoopTask<UpstreamMessage>
{
public:
    UpstreamTask(EventLoop *loop, const UpstreamCodec *dialect, UpstreamResultHandler report);
    ~UpstreamTask() override;

    std::size_t openedConnectionCount() const { return m_opened; }

protected:
    void handle(UpstreamMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    struct Idle
    {
        std::shared_ptr<ClientConnection> connection;
        TimePoint since;
    };
    struct Job
    {
        std::shared_ptr<ClientConnection> connection;
        UpstreamIdentity upstream;
        TimePoint started;
        TimePoint deadline;
        bool isIdempotent = false;
    };

    void on(StartJob &&job, TimePoint now);
    void on(CancelJob &&job, TimePoint now);
    void on(UpstreamChanged &&change, TimePoint now);

    std::shared_ptr<ClientConnection> takeConnection(bool isIdempotent, TimePoint now);
    bool isFresh(const Idle &idle, bool isIdempotent, TimePoint now) const;
    void onAnswer(ExecutionId execution, ClientResponse answer, TimePoint now);
    void end(ExecutionId execution, UpstreamResult::End end, TimePoint now);

    const UpstreamCodec *m_codec;
    UpstreamResultHandler m_resultHandler;
    UpstreamIdentity m_identity;
    std::vector<Idle> m_idle; ///< the one used last comes last
    std::unordered_map<ExecutionId, Job> m_jobs;
    std::size_t m_opened = 0;
};

} // namespace buckthornford
