#include "store/store.h"

#include <algorithm>

namespace buckthornford {

namespace {

constexpr Duration callTimeout = std::chrono::milliseconds(1500);
/// How long the store may hold back the answer to a watch.
constexpr Duration watchSpan = std::chrono::seconds(20);
constexpr Duration firstPause = std::chrono::milliseconds(200);
constexpr Duration longestPause = std::chrono::seconds(2);
constexpr Duration listingInterval = std::chrono::seconds(2);
constexpr Duration idleInterval = std::chrono::seconds(1);

} // namespace

StoreTask::StoreTask(EventLoop *loop, const Endpoint &store,
                     std::shared_ptr<const StoreDialect> dialect, std::uint64_t seed,
                     StoreOutputs outputs)
    : LoopTask(loop)
    , m_store(store)
    , m_dialect(std::move(dialect))
    , m_random(seed)
    , m_outputs(std::move(outputs))
{
    m_errands[Configuration].isWanted = true;
    m_errands[Listing].isWanted = true;
    // Nodes that start together have put their rows by the time they list them.
    m_errands[Listing].due = monotonicNow() + std::chrono::milliseconds(600);
}

StoreTask::~StoreTask()
{
    for (Errand &errand : m_errands) {
        if (errand.connection)
            errand.connection->close();
    }
}

void StoreTask::handle(StoreMessage &&message, TimePoint now)
{
    std::visit([this, now](auto &&kind) { on(std::forward<decltype(kind)>(kind), now); },
               std::move(message));
}

TimePoint StoreTask::tick(TimePoint now)
{
    TimePoint next = now + idleInterval;
    for (std::size_t i = 0; i < errandCount; ++i) {
        const auto kind = static_cast<ErrandKind>(i);
        Errand &errand = m_errands[i];
        if (errand.isRunning && errand.timeout <= now)
            fail(kind, now);
        if (!errand.isRunning && errand.isWanted && errand.due <= now)
            begin(kind, now);
        if (errand.isRunning)
            next = std::min(next, errand.timeout);
        else if (errand.isWanted)
            next = std::min(next, errand.due);
    }
    return next;
}

void StoreTask::on(PutSelf &&message, TimePoint now)
{
    m_self = std::move(message);
    m_errands[Node].isWanted = true;
    wakeBy(now);
}

void StoreTask::on(RemoveSelf &&, TimePoint now)
{
    m_isLeaving = true;
    m_errands[Node].isWanted = m_self.has_value();
    m_errands[Node].due = now;
    wakeBy(now);
}

void StoreTask::on(CompanyChanged &&message, TimePoint now)
{
    if (std::exchange(m_isAlone, message.isAlone) == message.isAlone || !message.isAlone)
        return;
    m_errands[Listing].isWanted = true;
    m_errands[Listing].due = now;
    wakeBy(now);
}

ClientRequest StoreTask::requestFor(ErrandKind kind) const
{
    switch (kind) {
    case Configuration:
        return m_isWatching ? m_dialect->watchConfiguration(m_version, watchSpan)
                            : m_dialect->readConfiguration();
    case Node:
        return m_isLeaving ? m_dialect->removeNode(m_self->key)
                           : m_dialect->putNode(m_self->key, m_self->value);
    case Listing:
    case errandCount:
        break;
    }
    return m_dialect->listNodes();
}

void StoreTask::begin(ErrandKind kind, TimePoint now)
{
    Errand &errand = m_errands[kind];
    const bool isWatch = kind == Configuration && m_isWatching;
    errand.isRunning = true;
    errand.timeout = now + callTimeout + (isWatch ? watchSpan : Duration{0});
    const std::uint64_t number = ++errand.number;
    if (!errand.connection || !errand.connection->isReusable())
        errand.connection = std::make_shared<ClientConnection>(&loop());
    errand.connection->watchForSilence();
    ++m_calls;
    errand.connection->exchange(m_store, requestFor(kind),
                                [this, kind, number](ClientAnswer answer) {
                                    if (m_errands[kind].number != number)
                                        return;
                                    const TimePoint ended = monotonicNow();
                                    if (answer.end != ClientAnswer::End::Answered)
                                        fail(kind, ended);
                                    else
                                        end(kind, m_dialect->read(answer), ended);
                                    wakeBy(ended);
                                });
}

void StoreTask::fail(ErrandKind kind, TimePoint now)
{
    Errand &errand = m_errands[kind];
    ++errand.number; // An answer that comes later belongs to no call.
    errand.isRunning = false;
    if (errand.connection)
        errand.connection->close();
    errand.connection.reset();
    noteReachable(false);
    errand.pause = std::clamp(2 * errand.pause, firstPause, longestPause);
    // Spread, so that the fleet doesn't come back as one.
    std::uniform_real_distribution<double> spread(0.5, 1.0);
    errand.due = now + scaled(errand.pause, spread(m_random));
}

void StoreTask::end(ErrandKind kind, const StoreAnswer &answer, TimePoint now)
{
    Errand &errand = m_errands[kind];
    if (answer.state == StoreAnswer::State::Forgotten && kind == Configuration) {
        errand.isRunning = false;
        m_isWatching = false;
        errand.due = now;
        return;
    }
    if (answer.state != StoreAnswer::State::Done) {
        fail(kind, now);
        return;
    }
    errand.isRunning = false;
    errand.pause = Duration{0};
    errand.due = now;
    noteReachable(true);
    switch (kind) {
    case Configuration:
        takeConfiguration(answer);
        break;
    case Node:
        errand.isWanted = false;
        break;
    case Listing:
        m_outputs.nodes(answer.rows);
        errand.isWanted = m_isAlone;
        errand.due = now + listingInterval;
        break;
    case errandCount:
        break;
    }
}

void StoreTask::takeConfiguration(const StoreAnswer &answer)
{
    m_version = std::max(m_version, answer.version);
    m_isWatching = true;
    for (const StoredRow &row : answer.rows) {
        if (m_dialect->isConfiguration(row) && !row.isDeleted)
            m_outputs.configuration(row.value);
    }
}

void StoreTask::noteReachable(bool isReachable)
{
    if (m_isReachable == isReachable)
        return;
    m_isReachable = isReachable;
    m_outputs.reachable(isReachable);
}

} // namespace buckthornford
