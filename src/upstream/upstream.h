#pragma once

/// Sends executions to the one upstream instance beside a node, over HTTP connections that are kept
/// and reused.

#include "admission_controller/admission_controller.h"
#include "call/call.h"
#include "http1/http1.h"
#include "loop/suspicion.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

namespace buckthornford {

/// The upstream instance that the node sends executions to.
struct UpstreamIdentity
{
    std::string id;          ///< id of the instance, the same after a restart
    std::uint64_t start = 0; ///< id of this start of the instance
    Endpoint address;

    friend bool operator==(const UpstreamIdentity &, const UpstreamIdentity &) = default;
};

/// Translates executions into requests in the upstream's format, and interprets its responses.
class UpstreamCodec
{
public:
    virtual ~UpstreamCodec() = default;

    /// Returns the HTTP request for \a run, which the upstream has to complete within \a timeLeft.
    virtual ClientRequest makeRequest(const RunRequest &run, const UpstreamIdentity &upstream,
                                      Duration timeLeft) const = 0;

    /// What a response says about the execution.
    enum class ResponseKind {
        Executed, ///< a response of the upstream, which ran the request
        NotRun,   ///< the upstream says that it did not run the request
        Invalid,  ///< not from the upstream, or not its whole response
    };
    virtual ResponseKind classify(const ClientResponse &response) const = 0;

    /// Returns the load that the upstream reports in \a response, nothing if it reports none.
    virtual std::optional<UpstreamLoad> load(const ClientResponse &response) const = 0;
};

/// Asks the task to send \a run to the upstream and to wait for the response until \a deadline.
struct StartJob
{
    ExecutionId execution;
    RunRequest run;
    TimePoint deadline;
};

/// Asks the task to give up an execution.
struct CancelJob
{
    ExecutionId execution;
};

/// The upstream has changed or restarted. Idle connections to the previous one are closed at once,
/// those in use when their job ends.
struct UpstreamChanged
{
    UpstreamIdentity identity;
};

using UpstreamMessage = std::variant<StartJob, CancelJob, UpstreamChanged, ConnectionsSuspected>;

/// Opens a connection to \a endpoint, closes it, and calls \a onResult with whether it was
/// accepted. An endpoint that does not respond in time counts as reachable.
void probe(EventLoop *loop, const Endpoint &endpoint, std::function<void(bool)> onResult);

/// Called when a job has ended; a cancelled job ends at once.
using UpstreamResultHandler = std::function<void(UpstreamResult)>;

/// Task that owns the connections to the upstream. Each runs one job at a time.
class UpstreamTask : public LoopTask<UpstreamMessage>
{
public:
    UpstreamTask(EventLoop *loop, const UpstreamCodec *codec, UpstreamResultHandler resultHandler);
    ~UpstreamTask() override;

    /// Returns how many connections the task has opened or tried to open.
    std::size_t openedConnectionCount() const { return m_openedConnectionCount; }

protected:
    void handle(UpstreamMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    struct IdleConnection
    {
        std::shared_ptr<ClientConnection> connection;
        TimePoint idleSince;
    };
    /// An execution that was sent to the upstream and has not ended.
    struct Job
    {
        std::shared_ptr<ClientConnection> connection;
        UpstreamIdentity upstream;
        TimePoint startTime;
        TimePoint deadline;
        bool isIdempotent = false;
    };

    void on(StartJob &&job, TimePoint now);
    void on(CancelJob &&job, TimePoint now);
    void on(UpstreamChanged &&change, TimePoint now);
    /// Closes the idle connections that may be silent.
    void on(ConnectionsSuspected &&message, TimePoint now);

    /// Returns the most recently used idle connection that can carry \a request, or a new one if
    /// there is none; closes those that can't be reused. One that has carried an error response to
    /// the same request is left for other requests.
    std::shared_ptr<ClientConnection> takeConnection(const ClientRequest &request,
                                                     bool isIdempotent, TimePoint now);
    /// Returns whether \a idle is open and has been idle for a short enough time.
    bool canReuse(const IdleConnection &idle, bool isIdempotent, TimePoint now) const;
    void onResponse(ExecutionId execution, ClientResponse response, TimePoint now);
    /// Ends a job that has no response, and closes its connection.
    void endJob(ExecutionId execution, UpstreamResult::End end, TimePoint now);

    const UpstreamCodec *m_codec;
    std::shared_ptr<ResponseMemory> m_responseMemory;
    UpstreamResultHandler m_resultHandler;
    UpstreamIdentity m_identity;
    std::vector<IdleConnection> m_idleConnections; ///< in order of use, the last used at the end
    std::unordered_map<ExecutionId, Job> m_jobs;
    std::size_t m_openedConnectionCount = 0;
};

} // namespace buckthornford
