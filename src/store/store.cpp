#include "store/store.h"

#include <algorithm>

namespace buckthornford {

namespace {

constexpr Duration callTimeout = std::chrono::milliseconds(1500);
/// Bounds of the time for which the store may wait for a change before it responds to a watch.
constexpr Duration minWatchTimeout = std::chrono::seconds(2);
constexpr Duration maxWatchTimeout = std::chrono::seconds(25);
/// Watch timeout for each node in the fleet. A node only notices that the store lost its watch in
/// an outage when the watch times out, so about one watch of the fleet should end every second.
constexpr Duration watchTimeoutPerNode = std::chrono::seconds(1);
constexpr Duration minBackoff = std::chrono::milliseconds(200);
constexpr Duration maxBackoff = std::chrono::seconds(2);
constexpr Duration listingInterval = std::chrono::seconds(1); ///< while no other node is known
/// By then, nodes that start together have stored their rows.
constexpr Duration bootstrapListingDelay = std::chrono::milliseconds(600);
/// The store responds with at most 500 rows or 1 MB.
constexpr HttpClientLimits responseLimits{.body = Bytes{8U << 20U}, .received = Bytes{12U << 20U}};
constexpr Bytes maxResponseMemory{16U << 20U}; ///< of all responses in progress
constexpr Duration idleInterval = std::chrono::seconds(1);
/// A node writes its row again after this time, in case other nodes took it for dead and removed
/// the row. It is half of the lifetime of a tombstone (Membership::Settings::tombstoneLifetime).
constexpr Duration rowRefreshInterval = std::chrono::minutes(30);

} // namespace

StoreTask::StoreTask(EventLoop *loop, const Endpoint &store,
                     std::shared_ptr<const StoreCodec> codec, bool isBootstrap, std::uint64_t seed,
                     StoreCallbacks callbacks)
    : LoopTask(loop)
    , m_store(store)
    , m_codec(std::move(codec))
    , m_responseMemory(std::make_shared<ResponseMemory>(maxResponseMemory))
    , m_random(seed)
    , m_callbacks(std::move(callbacks))
{
    m_calls[ReadConfiguration].isScheduled = true;
    m_calls[ListNodes].isScheduled = true;
    if (isBootstrap)
        m_calls[ListNodes].nextStart = monotonicNow() + bootstrapListingDelay;
}

StoreTask::~StoreTask()
{
    for (CallState &call : m_calls) {
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
        CallState &call = m_calls[i];
        if (call.isRunning && call.deadline <= now)
            failCall(kind, now);
        if (!call.isRunning && call.isScheduled && call.nextStart <= now)
            startCall(kind, now);
        if (call.isRunning)
            next = std::min(next, call.deadline);
        else if (call.isScheduled)
            next = std::min(next, call.nextStart);
    }
    return next;
}

void StoreTask::on(RegisterSelf &&message, TimePoint now)
{
    m_self = std::move(message);
    m_calls[WriteOwnRow].isScheduled = true;
    wakeBy(now);
}

void StoreTask::on(DeregisterSelf &&, TimePoint now)
{
    m_isDeregistering = true;
    m_calls[WriteOwnRow].isScheduled = m_self.has_value();
    m_calls[WriteOwnRow].nextStart = now;
    wakeBy(now);
}

void StoreTask::on(DeregisterNode &&message, TimePoint now)
{
    m_keysToRemove.push_back(std::move(message.key));
    m_calls[RemoveRows].isScheduled = true;
    wakeBy(now);
}

void StoreTask::on(PeerCountChanged &&message, TimePoint now)
{
    const bool hadNoPeers = std::exchange(m_peerCount, message.count) == 0;
    if (hadNoPeers || message.count > 0)
        return;
    m_calls[ListNodes].isScheduled = true;
    m_calls[ListNodes].nextStart = now;
    wakeBy(now);
}

ClientRequest StoreTask::makeRequest(CallKind kind) const
{
    switch (kind) {
    case ReadConfiguration:
        return m_isWatching ? m_codec->watchConfiguration(m_storeVersion, m_watchTimeout)
                            : m_codec->readConfiguration();
    case WriteOwnRow:
        return m_isDeregistering ? m_codec->removeNode(m_self->key)
                                 : m_codec->putNode(m_self->key, m_self->value);
    case RemoveRows:
        return m_codec->removeNode(m_keysToRemove.front());
    case ListNodes:
    case CallKindCount:
        break;
    }
    return m_codec->listNodes();
}

/// Chooses the timeout at random, so that the watches of the fleet end at different times.
Duration StoreTask::chooseWatchTimeout()
{
    const auto nodeCount = static_cast<Duration::rep>(m_peerCount) + 1;
    const Duration maxTimeout
            = std::clamp(nodeCount * watchTimeoutPerNode, minWatchTimeout, maxWatchTimeout);
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    return scaled(maxTimeout, jitter(m_random));
}

void StoreTask::startCall(CallKind kind, TimePoint now)
{
    CallState &call = m_calls[kind];
    const bool isWatch = kind == ReadConfiguration && m_isWatching;
    call.isRunning = true;
    m_watchTimeout = isWatch ? chooseWatchTimeout() : m_watchTimeout;
    call.deadline = now + callTimeout + (isWatch ? m_watchTimeout : Duration{0});
    const std::uint64_t attempt = ++call.attempt;
    if (!call.connection || !call.connection->isReusable())
        call.connection
                = std::make_shared<ClientConnection>(&loop(), responseLimits, m_responseMemory);
    call.connection->enableTcpKeepAlive();
    ++m_callCount;
    call.connection->exchange(m_store, makeRequest(kind),
                              [this, kind, attempt](const ClientResponse &response) {
                                  if (m_calls[kind].attempt != attempt)
                                      return;
                                  const TimePoint endTime = monotonicNow();
                                  if (response.end != ClientResponse::End::Answered)
                                      failCall(kind, endTime);
                                  else
                                      finishCall(kind, m_codec->read(response), endTime);
                                  wakeBy(endTime);
                              });
}

void StoreTask::endCall(CallState *call)
{
    ++call->attempt; // A response to this attempt that arrives later is ignored.
    call->isRunning = false;
    if (call->connection)
        call->connection->close();
    call->connection.reset();
}

void StoreTask::failCall(CallKind kind, TimePoint now)
{
    CallState &call = m_calls[kind];
    endCall(&call);
    updateReachable(false);
    call.backoff = std::clamp(2 * call.backoff, minBackoff, maxBackoff);
    // Random, so that the nodes of the fleet do not all retry at the same time.
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    call.nextStart = now + scaled(call.backoff, jitter(m_random));
}

void StoreTask::startEra(StoreEra era, CallKind noticedBy, TimePoint now)
{
    m_era = era;
    // A watch in progress asks for changes since a version of the lost history.
    CallState &watch = m_calls[ReadConfiguration];
    if (watch.isRunning && noticedBy != ReadConfiguration)
        endCall(&watch);
    m_isWatching = false;
    watch.nextStart = now;
    // The row of this node, or its removal, may be lost as well.
    CallState &row = m_calls[WriteOwnRow];
    if (row.isRunning && noticedBy != WriteOwnRow)
        endCall(&row);
    row.isScheduled = m_self.has_value();
    row.nextStart = now;
}

void StoreTask::finishCall(CallKind kind, const StoreResponse &response, TimePoint now)
{
    CallState &call = m_calls[kind];
    const bool isLate = response.era && m_era && *response.era < *m_era;
    if (isLate) {
        failCall(kind, now);
        return;
    }
    const bool isNewEra = response.era && m_era && *response.era > *m_era;
    const bool isWatch = kind == ReadConfiguration && m_isWatching;
    if (isNewEra)
        startEra(*response.era, kind, now);
    else if (response.era)
        m_era = response.era;
    if (isNewEra && isWatch) {
        // What has changed since a version of the lost history says nothing.
        call.isRunning = false;
        return;
    }
    if (response.state == StoreResponse::State::Compacted && kind == ReadConfiguration) {
        call.isRunning = false;
        m_isWatching = false;
        call.nextStart = now;
        return;
    }
    if (response.state != StoreResponse::State::Done) {
        failCall(kind, now);
        return;
    }
    call.isRunning = false;
    call.backoff = Duration{0};
    call.nextStart = now;
    updateReachable(true);
    switch (kind) {
    case ReadConfiguration:
        publishConfiguration(response);
        break;
    case WriteOwnRow:
        call.isScheduled = !m_isDeregistering;
        call.nextStart = now + rowRefreshInterval;
        break;
    case RemoveRows:
        m_keysToRemove.pop_front();
        call.isScheduled = !m_keysToRemove.empty();
        break;
    case ListNodes:
        m_callbacks.nodes(response.rows);
        call.isScheduled = m_peerCount == 0;
        call.nextStart = now + listingInterval;
        break;
    case CallKindCount:
        break;
    }
}

void StoreTask::publishConfiguration(const StoreResponse &response)
{
    m_storeVersion = response.version;
    m_isWatching = true;
    for (const StoredRow &row : response.rows) {
        if (m_codec->isConfiguration(row) && !row.isDeleted)
            m_callbacks.configuration(row.value, response.era);
    }
}

void StoreTask::updateReachable(bool isReachable)
{
    if (m_isReachable == isReachable)
        return;
    m_isReachable = isReachable;
    m_callbacks.reachable(isReachable);
}

} // namespace buckthornford
