#pragma once

#include "admission_controller/admission_controller.h"
#include "http_blocking/http_blocking.h"
#include "task/task.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace buckthornford {

/// One exchange with the upstream.
struct UpstreamJob
{
    Endpoint upstream;
    std::uint64_t upstreamStart = 0;
    ExecutionId execution;
    RunRequest run;
    TimePoint deadline;
};

/// A task that owns one connection to the upstream.
class UpstreamWorker : public Task<UpstreamJob>
{
public:
    using Report = std::function<void(UpstreamWorker *worker, UpstreamResult result)>;

    explicit UpstreamWorker(Report report)
        : m_report(std::move(report))
    {}
    ~UpstreamWorker() override { stop(); }

protected:
    void handle(UpstreamJob &&job, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    bool prepareConnection(const UpstreamJob &job, TimePoint now);
    UpstreamResult exchange(const UpstreamJob &job, TimePoint now);

    Report m_report;
    std::optional<HttpConnection> m_connection;
    Endpoint m_endpoint;
    TimePoint m_lastUse;
};

/// The workers of one upstream, made as they are needed. Belongs to the node's task.
class UpstreamPool
{
public:
    explicit UpstreamPool(UpstreamWorker::Report report)
        : m_report(std::move(report))
    {}

    void start(UpstreamJob job);

    /// The worker has ended its job.
    void release(UpstreamWorker *worker) { m_idle.push_back(worker); }

    std::size_t size() const { return m_workers.size(); }

private:
    UpstreamWorker::Report m_report;
    std::vector<std::unique_ptr<UpstreamWorker>> m_workers;
    std::vector<UpstreamWorker *> m_idle;
};

/// Asks the upstream to give up an execution.
struct CancelJob
{
    Endpoint upstream;
    ExecutionId execution;
};

/// A task that sends cancellations, so that they wait behind no answer.
class UpstreamCanceller : public Task<CancelJob>
{
public:
    ~UpstreamCanceller() override { stop(); }

protected:
    void handle(CancelJob &&job, TimePoint now) override;
    TimePoint tick(TimePoint now) override;
};

} // namespace buckthornford
