#include "retry/retry.h"

#include <algorithm>
#include <utility>

namespace buckthornford {

Tokens RetryBudget::lend()
{
    const std::uint32_t kept = m_tokens / 2;
    const std::uint32_t lent = m_tokens - kept;
    m_tokens = kept;
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
    // Strangers past the bound share one credit, so that made-up names gain nothing.
    const bool isFull = m_credit.size() >= maxScopes;
    return m_credit.try_emplace(isFull ? std::string() : scope, m_settings.burst).first->second;
}

void RetryRatioLimiter::recordRequest(const std::string &scope)
{
    double &saved = credit(scope);
    saved = std::min(m_settings.burst, saved + m_settings.ratio);
}

bool RetryRatioLimiter::spend(const std::string &scope)
{
    double &saved = credit(scope);
    if (saved < 1.0)
        return false;
    saved -= 1.0;
    return true;
}

void RetryRatioLimiter::charge(const std::string &scope)
{
    double &saved = credit(scope);
    saved = std::max(-maxDebt, saved - 1.0);
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
        // A caller's key belongs to one home, which has refused it for good.
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
