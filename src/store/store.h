#pragma once

/// The task that calls the platform's store. It reads the operator's configuration and keeps the
/// row that holds this node's address, through which nodes that know no peer find each other.

#include "http1/http1.h"
#include "loop/suspicion.h"
#include "proxy/adapter.h"
#include "store/read_schedule.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <variant>

namespace buckthornford {

/// Asks the task to store this node's address (\a value) under \a key.
struct RegisterSelf
{
    std::string key;
    std::string value;
};

/// Asks the task to remove this node's row, since the process stops.
struct DeregisterSelf
{};

/// Asks the task to remove the row of another node whose tombstone has expired.
struct DeregisterNode
{
    std::string key;
};

/// Asks the task to store \a text, the departure of the upstream beside this node.
struct StoreDeparture
{
    std::string text;
};

/// What this node knows of the fleet has changed.
struct FleetChanged
{
    std::size_t otherNodes = 0; ///< live ones; while there are none, the task lists their rows
    bool isConfigurationReader = true; ///< this node watches the configuration for its peers
};

/// The node has a configuration, from the store or from a peer.
struct ConfigurationKnown
{};

using StoreMessage = std::variant<RegisterSelf, DeregisterSelf, DeregisterNode, StoreDeparture,
                                  FleetChanged, ConfigurationKnown, ConnectionsSuspected>;

/// Called by the task with what it has read.
struct StoreCallbacks
{
    /// Text of the configuration, and the era of the store in which it was read; 0 if not known.
    std::function<void(const std::string &, StoreEra)> configuration;
    std::function<void(std::vector<StoredRow>)> nodes; ///< rows of all nodes
    std::function<void(bool)> reachable;               ///< called when reachability has changed
    /// A call, of the kind that is named, got something that was not taken for a response.
    std::function<void(std::string_view, const RefusedResponse &)> responseRefused;
    /// Text of the departure that an earlier start of this node has stored; empty if none has.
    std::function<void(const std::string &)> departureRead;
    std::function<void()> departureStored; ///< the departure given last is stored
};

class StoreTask : public LoopTask<StoreMessage>
{
public:
    /// With \a isBootstrap the whole fleet is starting and no node has stored its row yet, so the
    /// first listing and the first read of the configuration are delayed, and no earlier start of
    /// this node can have stored a departure.
    StoreTask(EventLoop *loop, const Endpoint &store, std::shared_ptr<const StoreCodec> codec,
              bool isBootstrap, std::uint64_t seed, StoreCallbacks callbacks);
    ~StoreTask() override;

    std::uint64_t callCount() const { return m_callCount; }

protected:
    void handle(StoreMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    /// State of a call that is retried with exponential backoff until it succeeds.
    struct CallState
    {
        bool isScheduled = false; ///< whether to start an attempt at nextStart
        bool isRunning = false;
        TimePoint nextStart; ///< of the next attempt, while none is running
        TimePoint deadline;  ///< of the attempt in progress
        Duration backoff{0};
        std::shared_ptr<ClientConnection> connection;
        TimePoint connectTime;     ///< of the connection
        std::uint64_t attempt = 0; ///< number of the newest one; responses to others are ignored
    };
    enum CallKind : std::size_t {
        ReadConfiguration,
        WriteOwnRow,
        ListNodes,
        RemoveRows,
        ReadDeparture,
        WriteDeparture,
        CallKindCount
    };

    void on(RegisterSelf &&message, TimePoint now);
    void on(DeregisterSelf &&message, TimePoint now);
    void on(DeregisterNode &&message, TimePoint now);
    void on(StoreDeparture &&message, TimePoint now);
    void on(FleetChanged &&message, TimePoint now);
    void on(ConfigurationKnown &&message, TimePoint now);
    void on(ConnectionsSuspected &&message, TimePoint now);

    void startCall(CallKind kind, TimePoint now);
    void finishCall(CallKind kind, const StoreResponse &response, TimePoint now);
    void failCall(CallKind kind, TimePoint now);
    void onResponse(CallKind kind, const ClientResponse &response, TimePoint now);

    /// Gives up the attempt in progress and its connection.
    static void endCall(CallState *call);

    /// The response to \a noticedBy shows that the store has lost what it had acknowledged: starts
    /// to do again what rests on that.
    void startEra(StoreEra era, CallKind noticedBy, TimePoint now);
    ClientRequest makeRequest(CallKind kind) const;
    void publishConfiguration(const StoreResponse &response);
    void recordListing(const StoreResponse &response, TimePoint now);
    void publishDeparture(const StoreResponse &response);
    void updateReachable(bool isReachable);

    Endpoint m_store;
    std::shared_ptr<const StoreCodec> m_codec;
    std::shared_ptr<ResponseMemory> m_responseMemory;
    std::mt19937_64 m_random;
    StoreCallbacks m_callbacks;
    CallState m_calls[CallKindCount];
    std::optional<StoreEra> m_era;    ///< newest that a response has named
    std::uint64_t m_storeVersion = 0; ///< up to which changes of the configuration were read
    bool m_isBootstrap;
    bool m_hasRead = false;    ///< m_storeVersion is set: further calls may wait for changes
    bool m_isWatching = false; ///< the call in progress waits for a change of the configuration
    std::optional<RegisterSelf> m_self;
    std::string m_departure; ///< text to store; empty if there is none
    std::deque<std::string> m_keysToRemove;
    bool m_isDeregistering = false;
    ReadSchedule m_readSchedule;
    Duration m_watchTimeout{0}; ///< longest wait of the store for a change in the watch in progress
    std::optional<bool> m_isReachable;
    std::uint64_t m_callCount = 0;
};

} // namespace buckthornford
