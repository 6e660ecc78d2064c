#pragma once

/// Decides whether a failed attempt is sent again, and limits retries per call chain and per caller
/// or service.

#include "call/call.h"
#include "core/core.h"

#include <unordered_map>

namespace buckthornford {

/// The retry tokens that one holder in a call chain has left; one token pays for one retry. Tokens
/// are lent down the chain and given back, never copied, so their sum over a chain never exceeds
/// what its first hop got.
class RetryBudget
{
public:
    RetryBudget() = default;
    explicit RetryBudget(Tokens tokens)
        : m_tokens(tokens.value())
    {}

    Tokens tokens() const { return Tokens{m_tokens}; }

    /// Removes and returns the larger half for the next hop; the rest stays here to retry that hop.
    Tokens lend();

    /// Removes and returns all tokens, for the last attempt of a call.
    Tokens lendAll();

    void giveBack(Tokens tokens) { m_tokens += tokens.value(); }

    /// Takes one token for a retry. Returns whether there was one.
    bool spend();

private:
    std::uint32_t m_tokens = 0;
};

/// Limits the retries of each scope (a caller or a service) to a share of its requests. Every node
/// keeps to the share, so the whole fleet does too.
class RetryRatioLimiter
{
public:
    struct Settings
    {
        double ratio = 0.1;  ///< retries earned by one request
        double burst = 20.0; ///< retries that a scope may save up
    };

    explicit RetryRatioLimiter(Settings settings)
        : m_settings(settings)
    {}

    /// Earns \a scope the share of a retry that one request is worth.
    void recordRequest(const std::string &scope);

    /// Spends one retry of \a scope. Returns whether there was one.
    bool spend(const std::string &scope);

    /// Spends one retry of \a scope for a request that is sent in any case: a call made by a run
    /// that is itself a repeat. The scope may be in debt afterwards.
    void charge(const std::string &scope);

    /// Replaces the settings; retries that are already earned stay.
    void setSettings(Settings settings) { m_settings = settings; }

private:
    static constexpr std::size_t maxScopes = 4096;
    static constexpr double maxDebt = 20.0; ///< in retries; debt beyond it is forgiven

    /// Returns the retries that \a scope has earned; new scopes start with a full burst.
    double &credit(const std::string &scope);

    Settings m_settings;
    std::unordered_map<std::string, double> m_credit;
};

/// What to do after an attempt has ended.
enum class RetryChoice {
    Stop,
    RetryOtherTarget, ///< send to another target, with a new key if the old one was generated
    RetrySameTarget,  ///< send to the same target, which detects by the key whether it already ran
    FollowMovedKey,   ///< send to the new owner of the moved key
};

/// The facts of an ended attempt.
struct EndedAttempt
{
    Outcome outcome = Outcome::NotRun;
    Error reason = Error::None;
    bool retryable = false;       ///< the answer says that another target may do better
    bool idempotent = false;      ///< the work may run more than once
    bool hasGeneratedKey = false; ///< the key was made by this entry node, not sent by the caller
    bool isSameIncarnationAlive = false; ///< the target's incarnation is still a member
};

/// Decides how a call continues, for work with idempotency keys. Whether a retry is left is up to
/// RetryBudget and RetryRatioLimiter.
RetryChoice chooseRetry(const EndedAttempt &end);

/// The same for work without keys: work that did not run may go to another target, work that may
/// have run is sent again only if it is idempotent.
RetryChoice chooseRetryWithoutKeys(const EndedAttempt &end);

/// The naive baseline: after any failure the work is sent to another target.
RetryChoice chooseRetryNaively(const EndedAttempt &end);

} // namespace buckthornford
