#pragma once

#include "admission_controller/admission_controller.h"
#include "http_blocking/http_blocking.h"
#include "task/task.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace buckthornford {

/// One request to send to the upstream.
struct UpstreamJob
{
    Endpoint upstream;
    std::uint64_t upstreamStartId = 0; ///< hash of Announcement::startId
    ExecutionId execution;
    RunRequest run;
    TimePoint deadline;
};

/// Owns one connection to the upstream and sends one request at a time on it.
class UpstreamWorker : public Task<UpstreamJob>
{
public:
    using ResultHandler = std::function<void(UpstreamWorker *worker, UpstreamResult result)>;

    explicit UpstreamWorker(ResultHandler resultHandler)
        : m_resultHandler(std::move(resultHandler))
    {}
    ~UpstreamWorker() override { stop(); }

protected:
    void handle(UpstreamJob &&job, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    bool prepareConnection(const UpstreamJob &job, TimePoint now);
    UpstreamResult exchange(const UpstreamJob &job, TimePoint now);

    ResultHandler m_resultHandler;
    std::optional<HttpConnection> m_connection;
    Endpoint m_endpoint;
    TimePoint m_lastUse;
};

/// The workers for this node's upstream, created on demand. Used by NodeTask alone.
class UpstreamPool
{
public:
    explicit UpstreamPool(UpstreamWorker::ResultHandler resultHandler)
        : m_resultHandler(std::move(resultHandler))
    {}

    /// Posts \a job to an idle worker, or to a new one if all are busy.
    void start(UpstreamJob job);

    /// Makes \a worker available again after its job has ended.
    void release(UpstreamWorker *worker) { m_idle.push_back(worker); }

    std::size_t size() const { return m_workers.size(); }

private:
    UpstreamWorker::ResultHandler m_resultHandler;
    std::vector<std::unique_ptr<UpstreamWorker>> m_workers;
    std::vector<UpstreamWorker *> m_idle;
};

/// Asks the upstream to cancel an execution.
struct CancelJob
{
    Endpoint upstream;
    ExecutionId execution;
};

/// Sends cancellations on connections of their own, so that they don't wait for a worker that
/// awaits a response.
class UpstreamCanceller : public Task<CancelJob>
{
public:
    ~UpstreamCanceller() override { stop(); }

protected:
    void handle(CancelJob &&job, TimePoint now) override;
    TimePoint tick(TimePoint now) override;
};

} // namespace buckthornford
