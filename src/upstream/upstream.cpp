#include "upstream/upstream.h"

#include <algorithm>

namespace buckthornford {

namespace {

/// How long a connection may have been idle to carry an execution that must not run twice. One that
/// was idle for longer may be dead or about to be closed by the server.
constexpr Duration maxIdleTimeNonIdempotent = std::chrono::seconds(2);
/// How long a connection may be idle before it is closed. Servers close idle connections; 4 s lies
/// below the common limits of 5 s and more.
constexpr Duration maxIdleTime = std::chrono::seconds(4);
/// Share of the keep-alive timeout announced by the server for which an idle connection is used.
constexpr double keepAliveShare = 0.6;
/// Longest time between two searches for idle connections to close.
constexpr Duration idleCheckInterval = std::chrono::milliseconds(500);
/// How long after the deadline of a job the upstream's own answer, which it sends at the deadline,
/// may arrive before the job is ended without one. Covers an answer in two parts, of which the
/// second waits for a delayed acknowledgement; a StopSchedule leaves as much time behind
/// executions.
constexpr Duration lateAnswerAllowance = std::chrono::milliseconds(150);
/// Memory of all responses in progress; machines have 160 MB and more.
constexpr Bytes maxResponseMemory{48U << 20U};

UpstreamResult::End toResultEnd(UpstreamCodec::ResponseKind kind)
{
    switch (kind) {
    case UpstreamCodec::ResponseKind::Executed:
        return UpstreamResult::End::Answered;
    case UpstreamCodec::ResponseKind::NotRun:
        return UpstreamResult::End::Shed;
    case UpstreamCodec::ResponseKind::Invalid:
        break;
    }
    return UpstreamResult::End::Truncated;
}

UpstreamResult::End toResultEnd(const ClientResponse &response, const UpstreamCodec &codec)
{
    using End = UpstreamResult::End;
    switch (response.end) {
    case ClientResponse::End::Answered:
        return toResultEnd(codec.classify(response));
    case ClientResponse::End::NotConnected:
        return End::NotSent;
    case ClientResponse::End::ConnectionLost:
        return End::ConnectionLost;
    case ClientResponse::End::Truncated:
    case ClientResponse::End::Unmatched:
        return End::Truncated;
    }
    return End::ConnectionLost;
}

/// Returns what was refused of \a response, which has ended its execution as \a end.
RefusedResponse refusedOf(const ClientResponse &response, UpstreamResult::End end)
{
    const bool isRefusedHere = response.end == ClientResponse::End::Answered
                               && end == UpstreamResult::End::Truncated;
    if (!isRefusedHere)
        return response.refused;
    return {MessageFault::NotFromUpstream, response.status, Bytes{response.body.size()}};
}

} // namespace

UpstreamTask::UpstreamTask(EventLoop *loop, const UpstreamCodec *codec,
                           UpstreamResultHandler resultHandler)
    : LoopTask(loop)
    , m_codec(codec)
    , m_responseMemory(std::make_shared<ResponseMemory>(maxResponseMemory))
    , m_resultHandler(std::move(resultHandler))
{}

UpstreamTask::~UpstreamTask()
{
    for (auto &[id, job] : m_jobs)
        job.connection->close();
}

void UpstreamTask::handle(UpstreamMessage &&message, TimePoint now)
{
    std::visit([this, now](auto &&content) { on(std::forward<decltype(content)>(content), now); },
               std::move(message));
}

TimePoint UpstreamTask::tick(TimePoint now)
{
    std::erase_if(m_idleConnections, [this, now](const IdleConnection &idle) {
        if (canReuse(idle, true, now))
            return false;
        idle.connection->close();
        return true;
    });
    std::vector<ExecutionId> expired;
    TimePoint next = now + idleCheckInterval;
    for (const auto &[id, job] : m_jobs) {
        if (job.deadline + lateAnswerAllowance <= now)
            expired.push_back(id);
        else
            next = std::min(next, job.deadline + lateAnswerAllowance);
    }
    for (const ExecutionId id : expired)
        endJob(id, UpstreamResult::End::TimedOut, now);
    return next;
}

bool UpstreamTask::canReuse(const IdleConnection &idle, bool isIdempotent, TimePoint now) const
{
    Duration maxIdle = isIdempotent ? maxIdleTime : maxIdleTimeNonIdempotent;
    if (const auto serverTimeout = idle.connection->keepAliveTimeout())
        maxIdle = std::min(maxIdle,
                           Duration(static_cast<Duration::rep>(
                                   keepAliveShare * static_cast<double>(serverTimeout->count()))));
    return idle.connection->isReusable() && now - idle.idleSince < maxIdle;
}

std::shared_ptr<ClientConnection> UpstreamTask::takeConnection(const ClientRequest &request,
                                                               bool isIdempotent, TimePoint now)
{
    for (auto idle = m_idleConnections.end(); idle != m_idleConnections.begin();) {
        --idle;
        if (!canReuse(*idle, isIdempotent, now)) {
            idle->connection->close();
            idle = m_idleConnections.erase(idle);
        } else if (!idle->connection->hasCarriedErrorFor(request)) {
            std::shared_ptr<ClientConnection> connection = std::move(idle->connection);
            m_idleConnections.erase(idle);
            return connection;
        }
    }
    ++m_openedConnectionCount;
    return std::make_shared<ClientConnection>(&loop(), HttpClientLimits{}, m_responseMemory);
}

void UpstreamTask::on(StartJob &&job, TimePoint now)
{
    const bool isIdempotent = job.run.work.idempotent;
    ClientRequest request = m_codec->makeRequest(job.run, m_identity, job.deadline - now);
    const auto connection = takeConnection(request, isIdempotent, now);
    m_jobs.insert_or_assign(job.execution,
                            Job{connection, m_identity, now, job.deadline, isIdempotent});
    wakeBy(job.deadline + lateAnswerAllowance);
    connection->exchange(m_identity.address, std::move(request),
                         [this, execution = job.execution](ClientResponse response) {
                             onResponse(execution, std::move(response), monotonicNow());
                         });
}

void UpstreamTask::onResponse(ExecutionId execution, ClientResponse response, TimePoint now)
{
    auto node = m_jobs.extract(execution);
    if (node.empty())
        return; // The job has ended already.
    const Job &job = node.mapped();
    UpstreamResult result;
    result.execution = execution;
    result.end = toResultEnd(response, *m_codec);
    result.status = response.status;
    result.refused = refusedOf(response, result.end);
    result.latency = now - job.startTime;
    result.upstreamStartId = job.upstream.start;
    result.load = m_codec->load(response);
    if (job.connection->isReusable() && job.upstream == m_identity)
        m_idleConnections.push_back({job.connection, now});
    else
        job.connection->close();
    result.headers = std::move(response.headers);
    result.body = std::move(response.body);
    m_resultHandler(std::move(result));
}

void UpstreamTask::endJob(ExecutionId execution, UpstreamResult::End end, TimePoint now)
{
    auto node = m_jobs.extract(execution);
    if (node.empty())
        return;
    const Job &job = node.mapped();
    job.connection->close();
    UpstreamResult result;
    result.execution = execution;
    result.end = end;
    result.latency = now - job.startTime;
    result.upstreamStartId = job.upstream.start;
    m_resultHandler(std::move(result));
}

void UpstreamTask::on(CancelJob &&job, TimePoint now)
{
    // The upstream sees the closed connection and can give up the execution.
    endJob(job.execution, UpstreamResult::End::Cancelled, now);
}

void UpstreamTask::on(ConnectionsSuspected &&message, TimePoint)
{
    std::erase_if(m_idleConnections, [&message](const IdleConnection &idle) {
        if (idle.idleSince >= message.silentSince)
            return false;
        idle.connection->close();
        return true;
    });
}

void UpstreamTask::on(UpstreamChanged &&change, TimePoint)
{
    if (change.identity == m_identity)
        return;
    m_identity = std::move(change.identity);
    for (const IdleConnection &idle : m_idleConnections)
        idle.connection->close();
    m_idleConnections.clear();
}

} // namespace buckthornford
