#include "store/store.h"

#include <algorithm>

namespace buckthornford {

namespace {

constexpr Duration callTimeout = std::chrono::milliseconds(1500);
/// Bounds of the time for which the store may hold back the answer to a watch.
constexpr Duration shortestWatch = std::chrono::seconds(2);
constexpr Duration longestWatch = std::chrono::seconds(25);
/// Of the watches' length for each node in the fleet: a watch that the store has lost in an outage
/// is found out when it ends, so some node's should end every second.
constexpr Duration watchSpacing = std::chrono::seconds(1);
constexpr Duration firstPause = std::chrono::milliseconds(200);
constexpr Duration longestPause = std::chrono::seconds(2);
constexpr Duration listingInterval = std::chrono::seconds(1); ///< while no other node is known
/// Nodes that start together have put their rows by then.
constexpr Duration firstListingDelay = std::chrono::milliseconds(600);
constexpr Duration idleInterval = std::chrono::seconds(1);
/// A row that others removed, since they took its node for dead, is back after this time; half of
/// the time after which the dead are forgotten.
constexpr Duration rowInterval = std::chrono::minutes(30);

} // namespace

StoreTask::StoreTask(EventLoop *loop, const Endpoint &store,
                     std::shared_ptr<const StoreCodec> dialect, bool isFirstStart,
                     std::uint64_t seed, StoreCallbacks outputs)
    : LoopTask(loop)
    , m_store(store)
    , m_dialect(std::move(dialect))
    , m_random(seed)
    , m_outputs(std::move(outputs))
{
    m_repeated[Configuration].isWanted = true;
    m_repeated[Listing].isWanted = true;
    if (isFirstStart)
        m_repeated[Listing].due = monotonicNow() + firstListingDelay;
}

StoreTask::~StoreTask()
{
    for (RepeatedCall &call : m_repeated) {
        if (call.connection)
            call.connection->close();
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
    for (std::size_t i = 0; i < CallKindCount; ++i) {
        const auto kind = static_cast<CallKind>(i);
        RepeatedCall &call = m_repeated[i];
        if (call.isRunning && call.timeout <= now)
            failCall(kind, now);
        if (!call.isRunning && call.isWanted && call.due <= now)
            startCall(kind, now);
        if (call.isRunning)
            next = std::min(next, call.timeout);
        else if (call.isWanted)
            next = std::min(next, call.due);
    }
    return next;
}

void StoreTask::on(RegisterSelf &&message, TimePoint now)
{
    m_self = std::move(message);
    m_repeated[Node].isWanted = true;
    wakeBy(now);
}

void StoreTask::on(DeregisterSelf &&, TimePoint now)
{
    m_isDeregistering = true;
    m_repeated[Node].isWanted = m_self.has_value();
    m_repeated[Node].due = now;
    wakeBy(now);
}

void StoreTask::on(DeregisterNode &&message, TimePoint now)
{
    m_keysToRemove.push_back(std::move(message.key));
    m_repeated[Removal].isWanted = true;
    wakeBy(now);
}

void StoreTask::on(PeerCountChanged &&message, TimePoint now)
{
    const bool wasAlone = std::exchange(m_peerCount, message.count) == 0;
    if (wasAlone || message.count > 0)
        return;
    m_repeated[Listing].isWanted = true;
    m_repeated[Listing].due = now;
    wakeBy(now);
}

ClientRequest StoreTask::requestFor(CallKind kind) const
{
    switch (kind) {
    case Configuration:
        return m_isWatching ? m_dialect->watchConfiguration(m_version, m_watchTimeout)
                            : m_dialect->readConfiguration();
    case Node:
        return m_isDeregistering ? m_dialect->removeNode(m_self->key)
                                 : m_dialect->putNode(m_self->key, m_self->value);
    case Removal:
        return m_dialect->removeNode(m_keysToRemove.front());
    case Listing:
    case CallKindCount:
        break;
    }
    return m_dialect->listNodes();
}

/// Spread, so that the watches of the fleet end one after the other.
Duration StoreTask::chooseWatchTimeout()
{
    const auto fleet = static_cast<Duration::rep>(m_peerCount) + 1;
    const Duration span = std::clamp(fleet * watchSpacing, shortestWatch, longestWatch);
    std::uniform_real_distribution<double> spread(0.5, 1.0);
    return scaled(span, spread(m_random));
}

void StoreTask::startCall(CallKind kind, TimePoint now)
{
    RepeatedCall &call = m_repeated[kind];
    const bool isWatch = kind == Configuration && m_isWatching;
    call.isRunning = true;
    m_watchTimeout = isWatch ? chooseWatchTimeout() : m_watchTimeout;
    call.timeout = now + callTimeout + (isWatch ? m_watchTimeout : Duration{0});
    const std::uint64_t number = ++call.number;
    if (!call.connection || !call.connection->isReusable())
        call.connection = std::make_shared<ClientConnection>(&loop());
    call.connection->enableTcpKeepAlive();
    ++m_calls;
    call.connection->exchange(m_store, requestFor(kind),
                              [this, kind, number](const ClientResponse &answer) {
                                  if (m_repeated[kind].number != number)
                                      return;
                                  const TimePoint ended = monotonicNow();
                                  if (answer.end != ClientResponse::End::Answered)
                                      failCall(kind, ended);
                                  else
                                      finishCall(kind, m_dialect->read(answer), ended);
                                  wakeBy(ended);
                              });
}

void StoreTask::failCall(CallKind kind, TimePoint now)
{
    RepeatedCall &call = m_repeated[kind];
    ++call.number; // An answer that comes later belongs to no call.
    call.isRunning = false;
    if (call.connection)
        call.connection->close();
    call.connection.reset();
    updateReachable(false);
    call.pause = std::clamp(2 * call.pause, firstPause, longestPause);
    // Spread, so that the fleet doesn't come back as one.
    std::uniform_real_distribution<double> spread(0.5, 1.0);
    call.due = now + scaled(call.pause, spread(m_random));
}

void StoreTask::finishCall(CallKind kind, const StoreResponse &answer, TimePoint now)
{
    RepeatedCall &call = m_repeated[kind];
    if (answer.state == StoreResponse::State::Compacted && kind == Configuration) {
        call.isRunning = false;
        m_isWatching = false;
        call.due = now;
        return;
    }
    if (answer.state != StoreResponse::State::Done) {
        failCall(kind, now);
        return;
    }
    call.isRunning = false;
    call.pause = Duration{0};
    call.due = now;
    updateReachable(true);
    switch (kind) {
    case Configuration:
        publishConfiguration(answer);
        break;
    case Node:
        call.isWanted = !m_isDeregistering;
        call.due = now + rowInterval;
        break;
    case Removal:
        m_keysToRemove.pop_front();
        call.isWanted = !m_keysToRemove.empty();
        break;
    case Listing:
        m_outputs.nodes(answer.rows);
        call.isWanted = m_peerCount == 0;
        call.due = now + listingInterval;
        break;
    case CallKindCount:
        break;
    }
}

void StoreTask::publishConfiguration(const StoreResponse &answer)
{
    m_version = std::max(m_version, answer.version);
    m_isWatching = true;
    for (const StoredRow &row : answer.rows) {
        if (m_dialect->isConfiguration(row) && !row.isDeleted)
            m_outputs.configuration(row.value);
    }
}

void StoreTask::updateReachable(bool isReachable)
{
    if (m_isReachable == isReachable)
        return;
    m_isReachable = isReachable;
    m_outputs.reachable(isReachable);
}

} // namespace buckthornford
