#include "store/store.h"

#include <algorithm>
#include <array>

namespace buckthornford {

namespace {

constexpr Duration callTimeout = std::chrono::milliseconds(1500);
constexpr Duration minBackoff = std::chrono::milliseconds(200);
constexpr Duration maxBackoff = std::chrono::seconds(2);
constexpr Duration listingInterval = std::chrono::seconds(1); ///< while no other node is known
/// By then, nodes that start together have stored their rows. They list them in turn, since most
/// are contacted by the first that do.
constexpr Duration bootstrapListingDelay = std::chrono::milliseconds(600);
constexpr Duration bootstrapListingSpread = std::chrono::milliseconds(400);
/// By then, nodes that start together know each other, and so which of them are readers.
constexpr Duration bootstrapReadDelay = std::chrono::milliseconds(1500);
/// A node that starts again finds its row of before in the listing, which takes less time than
/// this.
constexpr Duration rowWriteDelay = std::chrono::milliseconds(300);
/// The store responds with at most 500 rows or 1 MB.
constexpr HttpClientLimits responseLimits{.body = Bytes{8U << 20U}, .received = Bytes{12U << 20U}};
constexpr Bytes maxResponseMemory{16U << 20U}; ///< of all responses in progress
constexpr Duration idleInterval = std::chrono::seconds(1);
/// A node writes its row again after this time, in case other nodes took it for dead and removed
/// the row. It is half of the lifetime of a tombstone (Membership::Settings::tombstoneLifetime).
constexpr Duration rowRefreshInterval = std::chrono::minutes(30);

/// In the order of StoreTask::CallKind; they stand in logs.
constexpr std::array<std::string_view, 6> callNames{"read-configuration", "write-own-row",
                                                    "list-nodes",         "remove-rows",
                                                    "read-departure",     "write-departure"};

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
    , m_isBootstrap(isBootstrap)
    , m_readSchedule(seed)
{
    m_calls[ReadConfiguration].isScheduled = true;
    m_calls[ListNodes].isScheduled = true;
    const TimePoint now = monotonicNow();
    if (!isBootstrap) {
        m_calls[WriteOwnRow].nextStart = now + rowWriteDelay;
        return;
    }
    std::uniform_real_distribution<double> share(0.0, 1.0);
    m_calls[ReadConfiguration].nextStart = now + bootstrapReadDelay;
    m_calls[ListNodes].nextStart
            = now + bootstrapListingDelay + scaled(bootstrapListingSpread, share(m_random));
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
    m_calls[ReadDeparture].isScheduled = !m_isBootstrap;
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

void StoreTask::on(StoreDeparture &&message, TimePoint now)
{
    m_departure = std::move(message.text);
    CallState &call = m_calls[WriteDeparture];
    if (call.isRunning)
        endCall(&call); // It stores an earlier departure.
    call.isScheduled = true;
    call.nextStart = now;
    wakeBy(now);
}

void StoreTask::on(FleetChanged &&message, TimePoint now)
{
    const bool hadPeers = m_readSchedule.otherNodes() > 0;
    const bool wasReader = m_readSchedule.isReader();
    m_readSchedule.setFleet(message.otherNodes, message.isConfigurationReader);
    const bool hasPeers = message.otherNodes > 0;
    if (hasPeers != hadPeers) {
        m_calls[ListNodes].isScheduled = !hasPeers;
        m_calls[ListNodes].nextStart = now;
        wakeBy(now);
    }
    CallState &read = m_calls[ReadConfiguration];
    if (message.isConfigurationReader != wasReader && !read.isRunning) {
        m_hasRead = false;
        read.nextStart = message.isConfigurationReader ? now : m_readSchedule.nextCheck(now);
        wakeBy(read.nextStart);
    }
}

void StoreTask::on(ConfigurationKnown &&, TimePoint)
{
    m_readSchedule.setConfigurationKnown();
}

/// Makes the calls again whose connections may be silent, and reads the configuration again: it may
/// have changed meanwhile.
void StoreTask::on(ConnectionsSuspected &&message, TimePoint now)
{
    const auto isSuspect = [&message](const CallState &call) {
        return call.connection && call.connectTime < message.silentSince;
    };
    CallState &read = m_calls[ReadConfiguration];
    if (isSuspect(read) || !m_readSchedule.isReader()) {
        m_hasRead = false;
        read.nextStart = m_readSchedule.isReader()
                                 ? now
                                 : std::min(read.nextStart, m_readSchedule.nextExtraCheck(now));
    }
    for (CallState &call : m_calls) {
        if (!isSuspect(call))
            continue;
        if (call.isRunning)
            call.nextStart = std::min(call.nextStart, now);
        endCall(&call);
    }
    wakeBy(std::min(now, read.nextStart));
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
        return m_codec->removeExpiredNode(m_keysToRemove.front());
    case ReadDeparture:
        return m_codec->readDeparture(m_self->key);
    case WriteDeparture:
        return m_codec->putDeparture(m_self->key, m_departure);
    case ListNodes:
    case CallKindCount:
        break;
    }
    return m_codec->listNodes();
}

void StoreTask::startCall(CallKind kind, TimePoint now)
{
    CallState &call = m_calls[kind];
    const bool isWatch = kind == ReadConfiguration && m_hasRead && m_readSchedule.isReader();
    call.isRunning = true;
    if (kind == ReadConfiguration)
        m_isWatching = isWatch;
    m_watchTimeout = isWatch ? m_readSchedule.chooseWatchTimeout() : m_watchTimeout;
    call.deadline = now + callTimeout + (isWatch ? m_watchTimeout : Duration{0});
    const std::uint64_t attempt = ++call.attempt;
    if (!call.connection || !call.connection->isReusable()) {
        call.connection
                = std::make_shared<ClientConnection>(&loop(), responseLimits, m_responseMemory);
        call.connectTime = now;
    }
    call.connection->enableTcpKeepAlive();
    ++m_callCount;
    call.connection->exchange(m_store, makeRequest(kind),
                              [this, kind, attempt](const ClientResponse &response) {
                                  if (m_calls[kind].attempt != attempt)
                                      return;
                                  const TimePoint endTime = monotonicNow();
                                  onResponse(kind, response, endTime);
                                  wakeBy(endTime);
                              });
}

void StoreTask::onResponse(CallKind kind, const ClientResponse &response, TimePoint now)
{
    if (response.end == ClientResponse::End::Answered) {
        finishCall(kind, m_codec->read(response), now);
        return;
    }
    if (response.refused.fault != MessageFault::None)
        m_callbacks.responseRefused(callNames[kind], response.refused);
    failCall(kind, now);
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
    // The store may come back from a copy. Its response to a read names the era at once, while a
    // watch would wait for a change first.
    if (kind == ReadConfiguration)
        m_hasRead = false;
    if (kind == ReadConfiguration && !m_readSchedule.retriesSoon()) {
        call.nextStart = m_readSchedule.nextCheck(now);
        return;
    }
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
    m_hasRead = false;
    watch.nextStart = now;
    // The row of this node, or its removal, may be lost as well.
    CallState &row = m_calls[WriteOwnRow];
    if (row.isRunning && noticedBy != WriteOwnRow)
        endCall(&row);
    row.isScheduled = m_self.has_value();
    row.nextStart = now;
    if (!m_departure.empty() && noticedBy != WriteDeparture)
        on(StoreDeparture{m_departure}, now);
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
        m_hasRead = false;
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
        if (!m_readSchedule.isReader()) {
            call.nextStart = m_readSchedule.nextCheck(now);
            endCall(&call); // Until then the connection may go silent without notice.
        }
        break;
    case WriteOwnRow:
        call.isScheduled = !m_isDeregistering;
        call.nextStart = now + rowRefreshInterval;
        break;
    case RemoveRows:
        m_keysToRemove.pop_front();
        call.isScheduled = !m_keysToRemove.empty();
        break;
    case ReadDeparture:
        call.isScheduled = false;
        publishDeparture(response);
        break;
    case WriteDeparture:
        call.isScheduled = false;
        m_callbacks.departureStored();
        break;
    case ListNodes:
        recordListing(response, now);
        break;
    case CallKindCount:
        break;
    }
}

void StoreTask::publishConfiguration(const StoreResponse &response)
{
    m_storeVersion = response.version;
    m_hasRead = true;
    for (const StoredRow &row : response.rows) {
        if (m_codec->isConfiguration(row) && !row.isDeleted)
            m_callbacks.configuration(row.value, response.era.value_or(StoreEra{0}));
    }
}

void StoreTask::recordListing(const StoreResponse &response, TimePoint now)
{
    CallState &listing = m_calls[ListNodes];
    listing.isScheduled = m_readSchedule.otherNodes() == 0;
    listing.nextStart = now + listingInterval;
    const bool hasOwnRow
            = std::any_of(response.rows.begin(), response.rows.end(), [this](const StoredRow &row) {
                  return m_self && row.key == m_self->key && row.value == m_self->value;
              });
    CallState &write = m_calls[WriteOwnRow];
    if (!write.isRunning && !m_isDeregistering)
        write.nextStart = hasOwnRow ? std::max(write.nextStart, now + rowRefreshInterval) : now;
    m_callbacks.nodes(response.rows);
}

void StoreTask::publishDeparture(const StoreResponse &response)
{
    const auto own = std::find_if(
            response.rows.begin(), response.rows.end(), [this](const StoredRow &row) {
                return !row.isDeleted && m_codec->isDeparture(row, m_self->key);
            });
    if (own != response.rows.end() && m_departure.empty())
        m_departure = own->value;
    m_callbacks.departureRead(own == response.rows.end() ? std::string() : own->value);
}

void StoreTask::updateReachable(bool isReachable)
{
    if (m_isReachable == isReachable)
        return;
    m_isReachable = isReachable;
    m_callbacks.reachable(isReachable);
}

} // namespace buckthornford
