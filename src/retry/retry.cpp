#include "retry/retry.h"

#include <algorithm>
#include <utility>

namespace buckthornford {

Tokens RetryBudget::lend()
{
    const std::uint32_t remaining = m_tokens / 2;
    const std::uint32_t lent = m_tokens - remaining;
    m_tokens = remaining;
    return Tokens{lent};
}

Tokens RetryBudget::lendAll()
{
    return Tokens{std::exchange(m_tokens, 0)};
}

bool RetryBudget::spend()
{
    if (m_tokens == 0)
        return false;
    --m_tokens;
    return true;
}

double &RetryRatioLimiter::credit(const std::string &scope)
{
    const auto found = m_credit.find(scope);
    if (found != m_credit.end())
        return found->second;
    // Once maxScopes are known, all new scopes share one credit, so that inventing names earns no
    // further retries.
    const bool isTableFull = m_credit.size() >= maxScopes;
    return m_credit.try_emplace(isTableFull ? std::string() : scope, m_settings.burst)
            .first->second;
}

void RetryRatioLimiter::recordRequest(const std::string &scope)
{
    double &earned = credit(scope);
    earned = std::min(m_settings.burst, earned + m_settings.ratio);
}

bool RetryRatioLimiter::spend(const std::string &scope)
{
    double &earned = credit(scope);
    if (earned < 1.0)
        return false;
    earned -= 1.0;
    return true;
}

void RetryRatioLimiter::charge(const std::string &scope)
{
    double &earned = credit(scope);
    earned = std::max(-maxDebt, earned - 1.0);
}

RetryChoice chooseRetry(const EndedAttempt &end)
{
    switch (end.outcome) {
    case Outcome::Completed:
        return RetryChoice::Stop;
    case Outcome::NotRun:
        if (end.reason == Error::KeyMoved)
            return RetryChoice::FollowMovedKey;
        if (!end.retryable)
            return RetryChoice::Stop;
        // A caller's key belongs to one owner, and the owner's refusal is final.
        return end.idempotent || end.hasGeneratedKey ? RetryChoice::RetryOtherTarget
                                                     : RetryChoice::Stop;
    case Outcome::Failed:
        return end.idempotent && end.retryable ? RetryChoice::RetryOtherTarget : RetryChoice::Stop;
    case Outcome::Unknown:
        if (end.idempotent)
            return end.retryable ? RetryChoice::RetryOtherTarget : RetryChoice::Stop;
        return end.retryable && end.isSameIncarnationAlive ? RetryChoice::RetrySameTarget
                                                           : RetryChoice::Stop;
    }
    return RetryChoice::Stop;
}

RetryChoice chooseRetryWithoutKeys(const EndedAttempt &end)
{
    const bool isSafe = end.outcome == Outcome::NotRun
                        || (end.idempotent && end.outcome != Outcome::Completed);
    return isSafe && end.retryable ? RetryChoice::RetryOtherTarget : RetryChoice::Stop;
}

RetryChoice chooseRetryNaively(const EndedAttempt &end)
{
    return end.outcome == Outcome::Completed ? RetryChoice::Stop : RetryChoice::RetryOtherTarget;
}

} // namespace buckthornford
