#pragma once

/// Idempotency keys, and the table that makes a request with a key run at most once.

#include "call/call.h"
#include "core/core.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace buckthornford {

/// An idempotency key names its owner, the one incarnation of one node that may run it. So nodes
/// need not agree on who runs it, and a restart invalidates all keys of the old incarnation.
struct IdempotencyKey
{
    InstanceId owner;
    Incarnation incarnation;
    WallTime expires; ///< compared with the owner's clock only
    std::uint64_t nonce = 0;

    std::string toText() const;

    /// Error::BadKey if \a text was not made by toText().
    static Result<IdempotencyKey> parse(std::string_view text);
};

/// Makes a new key that belongs to \a owner and is valid for \a life from \a now.
IdempotencyKey makeKey(const InstanceId &owner, Incarnation incarnation, WallTime now,
                       Duration life);

/// Where an answer goes: a stream (0 is this node's own dispatcher) and the attempt on it.
struct ReplyTo
{
    std::uint64_t stream = 0;
    RequestId request;
    AttemptNumber attempt;

    friend auto operator<=>(const ReplyTo &, const ReplyTo &) = default;
};

/// The executions of the keys that this node owns. An entry stays until its key expires, after
/// which the key itself is refused. Nothing is evicted earlier, so a full table refuses new keys.
class IdempotencyTable
{
public:
    struct Settings
    {
        Duration keyLife{std::chrono::seconds(60)}; ///< longest validity of a key that is accepted
        std::size_t maxEntries = 20'000;
        Bytes maxBytes{8U << 20U}; ///< limit of the stored answer bodies
    };

    /// The key is new here. The caller of admit() runs the request and then calls complete().
    struct Admitted
    {};
    /// The key is queued or running. Its answer will go to the new waiter too.
    struct AttachedToRun
    {};
    /// The key has an answer already, or is refused; the request is answered without a run.
    struct Answered
    {
        Answer answer;
    };
    using AdmitResult = std::variant<Admitted, AttachedToRun, Answered>;

    IdempotencyTable(InstanceId self, Incarnation incarnation, Settings settings);

    /// Decides from the key of \a run whether the request runs here.
    AdmitResult admit(const RunRequest &run, ReplyTo waiter, WallTime now);

    /// Stores the answer of an admitted key and returns its waiters. A refusal is final: the key
    /// will not run here, whatever arrives later.
    std::vector<ReplyTo> complete(std::string_view key, const Answer &answer);

    /// Removes one waiter. Returns whether others still wait.
    bool removeWaiter(std::string_view key, const ReplyTo &waiter);

    /// Removes the entries whose keys have expired and whose executions have ended.
    void expire(WallTime now);

    std::size_t size() const { return m_entries.size(); }
    Bytes storedAnswerBytes() const { return Bytes{m_storedAnswerBytes}; }
    std::uint64_t duplicateCount() const { return m_duplicateCount; }

private:
    struct Entry
    {
        std::vector<ReplyTo> waiters;
        std::optional<Answer> answer;
    };

    std::optional<Answer> checkKey(const IdempotencyKey &key, const RunRequest &run, WallTime now);

    InstanceId m_self;
    Incarnation m_incarnation;
    Settings m_settings;
    std::unordered_map<std::string, Entry> m_entries;
    std::multimap<WallTime, std::string> m_expiries;
    /// A key that has no entry and expires at or before this time is refused, because it may be one
    /// that was refused while the table was full.
    WallTime m_refusedUpTo;
    std::uint64_t m_storedAnswerBytes = 0;
    std::uint64_t m_duplicateCount = 0;
};

} // namespace buckthornford
