#define BOOST_TEST_MODULE retry
#include "retry/retry.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <numeric>

using namespace buckthornford;

BOOST_AUTO_TEST_CASE(lendingAndSpendingKeepTokenSumConstant)
{
    BOOST_TEST(rc::check("sum of holders and spent tokens is constant", [] {
        const auto total = *rc::gen::inRange<std::uint32_t>(0, 64);
        std::vector<RetryBudget> holders{RetryBudget(Tokens{total})};
        std::uint32_t spent = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
        for (const int step : steps) {
            const std::size_t index = steps.size() * 31 % holders.size();
            if (step == 0)
                holders.emplace_back(holders[index].lend());
            else if (step == 1)
                spent += holders[index].spend() ? 1 : 0;
            else if (holders.size() > 1)
                holders[0].giveBack(holders.back().lendAll());
        }
        std::uint32_t held = 0;
        for (const RetryBudget &holder : holders)
            held += holder.tokens().value();
        RC_ASSERT(held + spent == total);
    }));
}

BOOST_AUTO_TEST_CASE(singleTokenIsLentDownTheWholeChain)
{
    RetryBudget budget(Tokens{1});
    for (int depth = 0; depth < 8; ++depth)
        budget = RetryBudget(budget.lend());
    BOOST_TEST((budget.tokens() == Tokens{1}));
}

BOOST_AUTO_TEST_CASE(retriesOfCallerStayWithinShareOfItsRequests)
{
    RetryRatioLimiter limiter({0.1, 5.0});
    const std::string caller{"dealers"};
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        limiter.recordRequest(caller);
        while (limiter.spend(caller))
            ++retries;
    }
    BOOST_TEST(retries <= 105);
    BOOST_TEST(retries >= 95);
    BOOST_TEST(limiter.spend(std::string{"auditors"}));
}

/// Repeats that are sent in any case are charged to the scope, so that fewer retries remain for it.
BOOST_AUTO_TEST_CASE(chargedRepeatsReduceRetries)
{
    RetryRatioLimiter limiter({0.1, 5.0});
    const std::string service{"terms"};
    int repeats = 0;
    for (int i = 0; i < 1000; ++i) {
        limiter.recordRequest(service);
        if (i % 20 == 0) {
            limiter.charge(service);
            ++repeats;
        }
        while (limiter.spend(service))
            ++repeats;
    }
    BOOST_TEST(repeats <= 105);
    BOOST_TEST(repeats >= 95);
}

BOOST_AUTO_TEST_CASE(unknownOutcomeIsRetriedOnlyAtSameLiveTarget)
{
    for (const bool generatedKey : {false, true}) {
        for (const bool isAlive : {false, true}) {
            EndedAttempt end{Outcome::Unknown, Error::AnswerLost, true, false, generatedKey};
            end.isSameIncarnationAlive = isAlive;
            const RetryChoice choice = chooseRetry(end);
            BOOST_TEST((choice == (isAlive ? RetryChoice::RetrySameTarget : RetryChoice::Stop)));
        }
    }
}

BOOST_AUTO_TEST_CASE(refusalsThatNoOtherTargetCanChangeAreNotRetried)
{
    const EndedAttempt nonRetryable{Outcome::NotRun, Error::DeadlineExpired, false, true, false};
    BOOST_TEST((chooseRetry(nonRetryable) == RetryChoice::Stop));
    const EndedAttempt callersKey{Outcome::NotRun, Error::QueueFull, true, false, false};
    BOOST_TEST((chooseRetry(callersKey) == RetryChoice::Stop));
    const EndedAttempt generatedKey{Outcome::NotRun, Error::QueueFull, true, false, true};
    BOOST_TEST((chooseRetry(generatedKey) == RetryChoice::RetryOtherTarget));
}
