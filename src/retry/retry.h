#pragma once

/// Retries bounded over the whole call chain, and over each caller's requests.

#include "call/call.h"
#include "core/core.h"

#include <unordered_map>

namespace buckthornford {

/// The retries that one holder has left. Tokens are lent down the chain and given back, never
/// copied, so that their sum over a chain never exceeds what its first hop got.
class RetryBudget
{
public:
    RetryBudget() = default;
    explicit RetryBudget(Tokens tokens)
        : m_tokens(tokens.value())
    {}

    Tokens tokens() const { return Tokens{m_tokens}; }

    /// Takes the larger half for the hop below; the rest stays for a failure of that hop itself.
    Tokens lend();

    /// Takes all, for the last attempt of a call.
    Tokens lendAll();

    void giveBack(Tokens tokens) { m_tokens += tokens.value(); }

    /// Takes one token for a retry. Returns whether there was one.
    bool spend();

private:
    std::uint32_t m_tokens = 0;
};

/// Caps the retries of each scope, such as a caller or a service, to a share of its requests. As
/// each node holds the share, the fleet holds it too.
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

    void recordRequest(const std::string &scope);

    /// Takes one retry of \a scope. Returns whether there was one.
    bool spend(const std::string &scope);

    /// Takes one retry of \a scope for a request that is sent in any case, as a call of a run that
    /// was itself a repeat; the scope may be in debt afterwards.
    void charge(const std::string &scope);

    /// Sets the share and the savings, for what is saved from now on.
    void setSettings(Settings settings) { m_settings = settings; }

private:
    static constexpr std::size_t maxScopes = 4096;
    static constexpr double maxDebt = 20.0; ///< retries; older debts are forgiven

    double &credit(const std::string &scope);

    Settings m_settings;
    std::unordered_map<std::string, double> m_credit;
};

/// What may be done after an attempt has ended.
enum class RetryChoice {
    Stop,
    RetryOtherTarget, ///< send to another target, with a new key if the work had one of ours
    RetrySameTarget,  ///< send the same key to the same target, whose record tells runs apart
    FollowMovedKey,   ///< go where the key has moved
};

/// The facts of an ended attempt.
struct EndedAttempt
{
    Outcome outcome = Outcome::NotRun;
    Error reason = Error::None;
    bool retryable = false;
    bool idempotent = false;
    bool hasGeneratedKey = false;        ///< the key was made by this entry node, not by the caller
    bool isSameIncarnationAlive = false; ///< the target's incarnation is still a member
};

/// Whether and how to go on; \see ChainBudget for the right to do so.
RetryChoice chooseRetry(const EndedAttempt &end);

/// For work without keys: what was not run may go to another target, what may have run is sent
/// again only if it is idempotent.
RetryChoice chooseRetryWithoutKeys(const EndedAttempt &end);

/// The naive baseline: any failure is sent again to another target.
RetryChoice chooseRetryNaively(const EndedAttempt &end);

} // namespace buckthornford
