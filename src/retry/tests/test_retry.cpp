#define BOOST_TEST_MODULE retry
#include "retry/retry.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <numeric>

using namespace buckthornford;

BOOST_AUTO_TEST_CASE(tokensAreLentNeverCopied)
{
    BOOST_TEST(rc::check("sum of holders and spent tokens is constant", [] {
        const auto total = *rc::gen::inRange<std::uint32_t>(0, 64);
        std::vector<RetryBudget> holders{RetryBudget(Tokens{total})};
        std::uint32_t spent = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
        for (const int step : steps) {
            const std::size_t which = steps.size() * 31 % holders.size();
            if (step == 0)
                holders.emplace_back(holders[which].lend());
            else if (step == 1)
                spent += holders[which].spend() ? 1 : 0;
            else if (holders.size() > 1)
                holders[0].giveBack(holders.back().lendAll());
        }
        std::uint32_t held = 0;
        for (const RetryBudget &holder : holders)
            held += holder.tokens().value();
        RC_ASSERT(held + spent == total);
    }));
}

BOOST_AUTO_TEST_CASE(aSingleTokenTravelsDownTheWholeChain)
{
    RetryBudget budget(Tokens{1});
    for (int depth = 0; depth < 8; ++depth)
        budget = RetryBudget(budget.lend());
    BOOST_TEST((budget.tokens() == Tokens{1}));
}

BOOST_AUTO_TEST_CASE(callersRetriesAreAShareOfTheirRequests)
{
    RetryRatioLimiter ratio({0.1, 5.0});
    const std::string caller{"dealers"};
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        ratio.recordRequest(caller);
        while (ratio.spend(caller))
            ++retries;
    }
    BOOST_TEST(retries <= 105);
    BOOST_TEST(retries >= 95);
    BOOST_TEST(ratio.spend(std::string{"auditors"}));
}

/// What is sent in any case is paid for by retries that aren't made.
BOOST_AUTO_TEST_CASE(chargesComeOffTheRetries)
{
    RetryRatioLimiter ratio({0.1, 5.0});
    const std::string service{"terms"};
    int repeats = 0;
    for (int i = 0; i < 1000; ++i) {
        ratio.recordRequest(service);
        if (i % 20 == 0) {
            ratio.charge(service);
            ++repeats;
        }
        while (ratio.spend(service))
            ++repeats;
    }
    BOOST_TEST(repeats <= 105);
    BOOST_TEST(repeats >= 95);
}

BOOST_AUTO_TEST_CASE(whatMayHaveRunIsNeverSentElsewhere)
{
    for (const bool ownKey : {false, true}) {
        for (const bool lives : {false, true}) {
            EndedAttempt end{Outcome::Unknown, Error::AnswerLost, true, false, ownKey};
            end.isSameIncarnationAlive = lives;
            const RetryChoice choice = chooseRetry(end);
            BOOST_TEST((choice == (lives ? RetryChoice::RetrySameTarget : RetryChoice::Stop)));
        }
    }
}

BOOST_AUTO_TEST_CASE(finalRefusalsStop)
{
    const EndedAttempt repeats{Outcome::NotRun, Error::DeadlineExpired, false, true, false};
    BOOST_TEST((chooseRetry(repeats) == RetryChoice::Stop));
    const EndedAttempt callersKey{Outcome::NotRun, Error::QueueFull, true, false, false};
    BOOST_TEST((chooseRetry(callersKey) == RetryChoice::Stop));
    const EndedAttempt ownKey{Outcome::NotRun, Error::QueueFull, true, false, true};
    BOOST_TEST((chooseRetry(ownKey) == RetryChoice::RetryOtherTarget));
}
