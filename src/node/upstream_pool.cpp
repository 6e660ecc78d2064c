#include "node/upstream_pool_p.h"

namespace buckthornford {

namespace {

/// A connection that was last used longer ago may be dead without notice. Work that is not
/// idempotent must not run twice, so it opens a new one.
constexpr Duration maxIdleTimeNonIdempotent = std::chrono::seconds(1);
constexpr Duration maxIdleTime = std::chrono::seconds(20);
constexpr Duration cancelTimeout = std::chrono::milliseconds(500);

HttpRequest makeRequest(const UpstreamJob &job, TimePoint now)
{
    const Work &work = job.run.work;
    HttpRequest request;
    request.method = work.method;
    request.path = "/" + work.operation.value();
    request.query = work.query;
    request.body = std::string(work.body.view());
    const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(job.deadline - now);
    request.headers = {{contextHeader, toHex(job.execution.value())},
                       {timeoutHeader, std::to_string(timeLeft.count())},
                       {classHeader, work.className.value()},
                       {callerHeader, work.caller.value()},
                       {traceHeader, job.run.trace.toHeader()}};
    if (!work.contentType.empty())
        request.headers.emplace_back("Content-Type", work.contentType);
    if (!work.key.empty())
        request.headers.emplace_back(keyHeader, work.key);
    return request;
}

UpstreamResult::End classify(const Result<HttpResponse> &response)
{
    using End = UpstreamResult::End;
    if (response)
        return findHeader(response.value().headers, notRunHeader) != nullptr ? End::Shed
                                                                             : End::Answered;
    switch (errorOf(response.error())) {
    case Error::AnswerCut:
        return End::Truncated;
    case Error::Timeout:
        return End::TimedOut;
    default:
        return End::ConnectionLost;
    }
}

} // namespace

bool UpstreamWorker::prepareConnection(const UpstreamJob &job, TimePoint now)
{
    const Duration maxIdle = job.run.work.idempotent ? maxIdleTime : maxIdleTimeNonIdempotent;
    if (m_connection && (m_endpoint != job.upstream || now - m_lastUse > maxIdle))
        m_connection.reset();
    if (m_connection)
        return true;
    Result<HttpConnection> connection = HttpConnection::connect(job.upstream);
    if (!connection)
        return false;
    m_connection.emplace(std::move(connection.value()));
    m_endpoint = job.upstream;
    return true;
}

UpstreamResult UpstreamWorker::exchange(const UpstreamJob &job, TimePoint now)
{
    UpstreamResult result;
    result.execution = job.execution;
    result.upstreamStartId = job.upstreamStartId;
    if (!prepareConnection(job, now)) {
        result.end = UpstreamResult::End::NotSent;
        return result;
    }
    const Duration timeLeft = std::max(Duration{1000}, Duration{job.deadline - now});
    Result<HttpResponse> response = m_connection->exchange(makeRequest(job, now), timeLeft);
    result.end = classify(response);
    result.hasUpstreamCrashed = result.end == UpstreamResult::End::ConnectionLost;
    m_lastUse = monotonicNow();
    result.latency = m_lastUse - now;
    if (!response || m_connection->mustClose())
        m_connection.reset();
    if (response) {
        result.status = response.value().status;
        result.contentType = std::move(response.value().contentType);
        result.body = std::move(response.value().body);
    }
    return result;
}

void UpstreamWorker::handle(UpstreamJob &&job, TimePoint now)
{
    m_resultHandler(this, exchange(job, now));
}

TimePoint UpstreamWorker::tick(TimePoint now)
{
    if (m_connection && now - m_lastUse > maxIdleTime)
        m_connection.reset();
    return now + maxIdleTime;
}

void UpstreamPool::start(UpstreamJob job)
{
    if (m_idle.empty()) {
        m_workers.push_back(std::make_unique<UpstreamWorker>(m_resultHandler));
        m_workers.back()->start();
        m_idle.push_back(m_workers.back().get());
    }
    // The worker released last has the connection that was used most recently.
    UpstreamWorker *worker = m_idle.back();
    m_idle.pop_back();
    worker->post(std::move(job));
}

void UpstreamCanceller::handle(CancelJob &&job, TimePoint)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/buckthornford/cancel/" + toHex(job.execution.value());
    // Best effort: if the cancellation is lost, the execution ends at its own deadline.
    (void)exchangeOnce(job.upstream, request, cancelTimeout);
}

TimePoint UpstreamCanceller::tick(TimePoint now)
{
    return now + maxIdleTime;
}

} // namespace buckthornford
