#pragma once

/// The task that keeps in touch with the platform's store: the operator's configuration, and the
/// rows by which nodes that know no other find each other.

#include "http1/http1.h"
#include "proxy/adapter.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <variant>

namespace buckthornford {

/// This node is found at \a value from now on.
struct RegisterSelf
{
    std::string key;
    std::string value;
};

/// The process stops: its row is removed.
struct DeregisterSelf
{};

/// A node is gone for good: what it stored is removed.
struct DeregisterNode
{
    std::string key;
};

/// How many other nodes are known; a node that knows none keeps asking the store.
struct PeerCountChanged
{
    std::size_t count = 0;
};

using StoreMessage = std::variant<RegisterSelf, DeregisterSelf, DeregisterNode, PeerCountChanged>;

/// Whom the task tells of what it reads.
struct StoreCallbacks
{
    std::function<void(std::string)> configuration;
    std::function<void(std::vector<StoredRow>)> nodes;
    std::function<void(bool)> reachable; ///< the store was lost, or is back
};

class StoreTask : public LoopTask<StoreMessage>
{
public:
    /// With \a isFirstStart no node has put its row yet, so they are listed a little later.
    StoreTask(EventLoop *loop, const Endpoint &store, std::shared_ptr<const StoreCodec> dialect,
              bool isFirstStart, std::uint64_t seed, StoreCallbacks outputs);
    ~StoreTask() override;

    std::uint64_t callCount() const { return m_calls; }

protected:
    void handle(StoreMessage &&message, TimePoint now) override;
    TimePoint tick(TimePoint now) override;

private:
    /// A call that is made until it succeeds, with growing pauses.
    struct RepeatedCall
    {
        bool isWanted = false;
        bool isRunning = false;
        TimePoint due;
        TimePoint timeout;
        Duration pause{0};
        std::shared_ptr<ClientConnection> connection;
        std::uint64_t number = 0; ///< of the call in progress
    };
    enum CallKind : std::size_t { Configuration, Node, Listing, Removal, CallKindCount };

    void on(RegisterSelf &&message, TimePoint now);
    void on(DeregisterSelf &&message, TimePoint now);
    void on(DeregisterNode &&message, TimePoint now);
    void on(PeerCountChanged &&message, TimePoint now);

    void startCall(CallKind kind, TimePoint now);
    void finishCall(CallKind kind, const StoreResponse &answer, TimePoint now);
    void failCall(CallKind kind, TimePoint now);
    ClientRequest requestFor(CallKind kind) const;
    Duration chooseWatchTimeout();
    void publishConfiguration(const StoreResponse &answer);
    void updateReachable(bool isReachable);

    Endpoint m_store;
    std::shared_ptr<const StoreCodec> m_dialect;
    std::mt19937_64 m_random;
    StoreCallbacks m_outputs;
    RepeatedCall m_repeated[CallKindCount];
    std::uint64_t m_version = 0; ///< of the store, up to which the configuration is known
    bool m_isWatching = false;   ///< the configuration was read, its changes are awaited
    std::optional<RegisterSelf> m_self;
    std::deque<std::string> m_keysToRemove; ///< of rows that are to be removed
    bool m_isDeregistering = false;
    std::size_t m_peerCount = 0;
    Duration m_watchTimeout{0}; ///< for which the store may hold back the answer to this watch
    std::optional<bool> m_isReachable;
    std::uint64_t m_calls = 0;
};

} // namespace buckthornford
