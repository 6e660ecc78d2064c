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
struct PutSelf
{
    std::string key;
    std::string value;
};

/// The process stops: its row is removed.
struct RemoveSelf
{};

/// A node is gone for good: what it stored is removed.
struct RemoveNode
{
    std::string key;
};

/// How many other nodes are known; a node that knows none keeps asking the store.
struct PeersKnown
{
    std::size_t count = 0;
};

using StoreMessage = std::variant<PutSelf, RemoveSelf, RemoveNode, PeersKnown>;

/// Whom the task tells of what it reads.
struct StoreOutputs
{
    std::function<void(std::string)> configuration;
    std::function<void(std::vector<StoredRow>)> nodes;
    std::function<void(bool)> reachable; ///< the store was lost, or is back
};

class StoreTask : public LoopTask<StoreMessage>
{
public:
    /// With \a isFirstStart no node has put its row yet, so they are listed a little later.
    StoreTask(EventLoop *loop, const Endpoint &store, std::shared_ptr<const StoreDialect> dialect,
              bool isFirstStart, std::uint64_t seed, StoreOutputs outputs);
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

    void on(PutSelf &&message, TimePoint now);
    void on(RemoveSelf &&message, TimePoint now);
    void on(RemoveNode &&message, TimePoint now);
    void on(PeersKnown &&message, TimePoint now);

    void begin(CallKind kind, TimePoint now);
    void end(CallKind kind, const StoreAnswer &answer, TimePoint now);
    void fail(CallKind kind, TimePoint now);
    ClientRequest requestFor(CallKind kind) const;
    Duration chooseWatchSpan();
    void takeConfiguration(const StoreAnswer &answer);
    void noteReachable(bool isReachable);

    Endpoint m_store;
    std::shared_ptr<const StoreDialect> m_dialect;
    std::mt19937_64 m_random;
    StoreOutputs m_outputs;
    RepeatedCall m_repeated[CallKindCount];
    std::uint64_t m_version = 0; ///< of the store, up to which the configuration is known
    bool m_isWatching = false;   ///< the configuration was read, its changes are awaited
    std::optional<PutSelf> m_self;
    std::deque<std::string> m_goneKeys; ///< of rows that are to be removed
    bool m_isLeaving = false;
    std::size_t m_peerCount = 0;
    Duration m_watchSpan{0}; ///< for which the store may hold back the answer to this watch
    std::optional<bool> m_isReachable;
    std::uint64_t m_calls = 0;
};

} // namespace buckthornford
