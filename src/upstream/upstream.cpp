#include "upstream/upstream.h"

#include <algorithm>

namespace buckthornford {

namespace {

/// Work that must not run twice goes out on a connection that was in use this short a time ago:
/// an older one may have gone silent or be closing.
constexpr Duration provenLife = std::chrono::seconds(2);
/// Servers close idle connections; 4 s lies below the common limits of 5 s and more.
constexpr Duration idleLife = std::chrono::seconds(4);
/// Of the time for which the server says it keeps an idle connection.
constexpr double keepAliveShare = 0.6;
constexpr Duration sweepInterval = std::chrono::milliseconds(500);
constexpr Duration deadlineGrain = std::chrono::milliseconds(20);

UpstreamResult::End endOf(UpstreamCodec::ResponseKind verdict)
{
    switch (verdict) {
    case UpstreamCodec::ResponseKind::Executed:
        return UpstreamResult::End::Answered;
    case UpstreamCodec::ResponseKind::NotRun:
        return UpstreamResult::End::Shed;
    case UpstreamCodec::ResponseKind::Invalid:
        break;
    }
    return UpstreamResult::End::Truncated;
}

UpstreamResult::End endOf(const ClientResponse &answer, const UpstreamCodec &dialect)
{
    using End = UpstreamResult::End;
    switch (answer.end) {
    case ClientResponse::End::Answered:
        return endOf(dialect.classify(answer));
    case ClientResponse::End::NotConnected:
        return End::NotSent;
    case ClientResponse::End::ConnectionLost:
        return End::ConnectionLost;
    case ClientResponse::End::Truncated:
        return End::Truncated;
    }
    return End::ConnectionLost;
}

} // namespace

UpstreamTask::UpstreamTask(EventLoop *loop, const UpstreamCodec *dialect,
                           UpstreamResultHandler report)
    : LoopTask(loop)
    , m_codec(dialect)
    , m_resultHandler(std::move(report))
{}

UpstreamTask::~UpstreamTask()
{
    for (auto &[id, job] : m_jobs)
        job.connection->close();
}

void UpstreamTask::handle(UpstreamMessage &&message, TimePoint now)
{
    std::visit([this, now](auto &&kind) { on(std::forward<decltype(kind)>(kind), now); },
               std::move(message));
}

TimePoint UpstreamTask::tick(TimePoint now)
{
    std::erase_if(m_idle, [this, now](const Idle &idle) {
        if (isFresh(idle, true, now))
            return false;
        idle.connection->close();
        return true;
    });
    std::vector<ExecutionId> late;
    TimePoint next = now + sweepInterval;
    for (const auto &[id, job] : m_jobs) {
        if (job.deadline <= now)
            late.push_back(id);
        else
            next = std::min(next, job.deadline + deadlineGrain);
    }
    for (const ExecutionId id : late)
        end(id, UpstreamResult::End::TimedOut, now);
    return next;
}

bool UpstreamTask::isFresh(const Idle &idle, bool isIdempotent, TimePoint now) const
{
    Duration life = isIdempotent ? idleLife : provenLife;
    if (const auto kept = idle.connection->keepAliveTimeout())
        life = std::min(life, Duration(static_cast<Duration::rep>(
                                      keepAliveShare * static_cast<double>(kept->count()))));
    return idle.connection->isReusable() && now - idle.since < life;
}

std::shared_ptr<ClientConnection> UpstreamTask::takeConnection(bool isIdempotent, TimePoint now)
{
    while (!m_idle.empty()) {
        const Idle idle = std::move(m_idle.back());
        m_idle.pop_back();
        if (isFresh(idle, isIdempotent, now))
            return idle.connection;
        idle.connection->close();
    }
    ++m_opened;
    return std::make_shared<ClientConnection>(&loop());
}

void UpstreamTask::on(StartJob &&job, TimePoint now)
{
    const bool isIdempotent = job.run.work.idempotent;
    const auto connection = takeConnection(isIdempotent, now);
    m_jobs.insert_or_assign(job.execution,
                            Job{connection, m_identity, now, job.deadline, isIdempotent});
    wakeBy(job.deadline + deadlineGrain);
    connection->exchange(m_identity.address,
                         m_codec->makeRequest(job.run, m_identity, job.deadline - now),
                         [this, execution = job.execution](ClientResponse answer) {
                             onAnswer(execution, std::move(answer), monotonicNow());
                         });
}

void UpstreamTask::onAnswer(ExecutionId execution, ClientResponse answer, TimePoint now)
{
    auto node = m_jobs.extract(execution);
    if (node.empty())
        return;
    const Job &job = node.mapped();
    UpstreamResult result;
    result.execution = execution;
    result.end = endOf(answer, *m_codec);
    result.status = answer.status;
    result.latency = now - job.started;
    result.upstreamStartId = job.upstream.start;
    result.load = m_codec->load(answer);
    if (job.connection->isReusable() && job.upstream == m_identity)
        m_idle.push_back({job.connection, now});
    else
        job.connection->close();
    result.headers = std::move(answer.headers);
    result.body = std::move(answer.body);
    m_resultHandler(std::move(result));
}

void UpstreamTask::end(ExecutionId execution, UpstreamResult::End end, TimePoint now)
{
    auto node = m_jobs.extract(execution);
    if (node.empty())
        return;
    const Job &job = node.mapped();
    job.connection->close();
    UpstreamResult result;
    result.execution = execution;
    result.end = end;
    result.latency = now - job.started;
    result.upstreamStartId = job.upstream.start;
    m_resultHandler(std::move(result));
}

void UpstreamTask::on(CancelJob &&job, TimePoint now)
{
    // Closing the connection tells the upstream to give up.
    end(job.execution, UpstreamResult::End::Cancelled, now);
}

void UpstreamTask::on(UpstreamChanged &&change, TimePoint)
{
    if (change.identity == m_identity)
        return;
    m_identity = std::move(change.identity);
    for (const Idle &idle : m_idle)
        idle.connection->close();
    m_idle.clear();
}

} // namespace buckthornford
