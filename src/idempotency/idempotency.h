#pragma once

/// Idempotency keys and the record that makes a keyed request run at most once.

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

/// An idempotency key names its home: the one incarnation of one node that may run it. So no
/// agreement between nodes is needed, and a restart ends all keys of the old incarnation.
struct IdempotencyKey
{
    InstanceId owner;
    Incarnation incarnation;
    WallTime expires; ///< judged on the home's clock alone
    std::uint64_t nonce = 0;

    std::string toText() const;

    /// Error::BadKey if \a text was not made by toText().
    static Result<IdempotencyKey> parse(std::string_view text);
};

/// Makes a new key at \a home that lives for \a life from \a now.
IdempotencyKey makeKey(const InstanceId &home, Incarnation incarnation, WallTime now,
                       Duration life);

/// Where an answer goes: a channel (0 is the node's own entry) and the attempt on it.
struct ReplyTo
{
    std::uint64_t stream = 0;
    RequestId request;
    AttemptNumber attempt;

    friend auto operator<=>(const ReplyTo &, const ReplyTo &) = default;
};

/// The record of keyed executions at their home. Entries live until their key expires, then the
/// key itself is refused; nothing is evicted before.
class IdempotencyTable
{
public:
    struct Settings
    {
        Duration keyLife{std::chrono::seconds(60)}; ///< longest life of a key that is accepted
        std::size_t maxEntries = 20'000;
        Bytes maxBytes{8U << 20U}; ///< of kept answers
    };

    /// The key is new here and is now held for the caller of admit().
    struct Admitted
    {};
    /// The key is queued or running; the answer will go to the new waiter too.
    struct AttachedToRun
    {};
    /// The key has ended, or can't be judged; the answer to give.
    struct Answered
    {
        Answer answer;
    };
    using AdmitResult = std::variant<Admitted, AttachedToRun, Answered>;

    IdempotencyTable(InstanceId self, Incarnation incarnation, Settings settings);

    /// Judges the key of \a run.
    AdmitResult admit(const RunRequest &run, ReplyTo waiter, WallTime now);

    /// Notes the end of a held key and returns who waits for it. A refusal is final: the key
    /// will not run here, whatever arrives later.
    std::vector<ReplyTo> complete(std::string_view key, const Answer &answer);

    /// Removes one waiter. Returns whether others still wait.
    bool removeWaiter(std::string_view key, const ReplyTo &waiter);

    /// Forgets entries whose keys have expired.
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
    /// Keys that expire up to here and have no entry are refused: some of them were, when the
    /// record was full.
    WallTime m_refusedUpTo;
    std::uint64_t m_storedAnswerBytes = 0;
    std::uint64_t m_duplicateCount = 0;
};

} // namespace buckthornford
