#define BOOST_TEST_MODULE idempotency
#include "idempotency/idempotency.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace buckthornford;

namespace {

constexpr WallTime start{1'000'000'000};
const InstanceId self{"home"};
constexpr Incarnation incarnation{42};

RunRequest makeRun(const std::string &key)
{
    RunRequest run;
    run.work.key = key;
    return run;
}

std::string makeKeyText(std::uint64_t nonce, WallTime expires)
{
    return IdempotencyKey{self, incarnation, expires, nonce}.toText();
}

IdempotencyTable::Settings smallTableSettings()
{
    IdempotencyTable::Settings settings;
    settings.keyLife = Duration{1000};
    settings.maxEntries = 8;
    return settings;
}

Answer makeAnswer(Outcome outcome)
{
    Answer answer;
    answer.outcome = outcome;
    answer.body = "whole";
    return answer;
}

} // namespace

BOOST_AUTO_TEST_CASE(keysRoundTripAndDamagedKeysAreRefused)
{
    const std::string text = makeKeyText(7, start);
    const Result<IdempotencyKey> key = IdempotencyKey::parse(text);
    BOOST_TEST(key.value().toText() == text);
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string damaged = text;
        damaged[i] = damaged[i] == '0' ? '1' : '0';
        BOOST_TEST(!IdempotencyKey::parse(damaged).has_value());
    }
    for (const char *bad : {"", "x", "bk1:::::", "bk1:a:1:2:3", "bk1:a:1:2:3:4:5"})
        BOOST_TEST(!IdempotencyKey::parse(bad).has_value());
}

BOOST_AUTO_TEST_CASE(keyOfAnotherIncarnationHasAnUnknownOutcome)
{
    IdempotencyTable table(self, Incarnation{43}, smallTableSettings());
    const auto admitResult
            = table.admit(makeRun(makeKeyText(1, WallTime{start.value() + 500})), {}, start);
    const auto &answered = std::get<IdempotencyTable::Answered>(admitResult);
    BOOST_TEST((answered.answer.outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(resendGetsTheStoredAnswerOfTheFirstRun)
{
    IdempotencyTable table(self, incarnation, smallTableSettings());
    const RunRequest run = makeRun(makeKeyText(1, WallTime{start.value() + 500}));
    BOOST_TEST(std::holds_alternative<IdempotencyTable::Admitted>(
            table.admit(run, {1, {}, {}}, start)));
    BOOST_TEST(std::holds_alternative<IdempotencyTable::AttachedToRun>(
            table.admit(run, {2, {}, {}}, start)));
    BOOST_TEST(table.complete(run.work.key, makeAnswer(Outcome::Completed)).size() == 2);
    const auto admitResult = table.admit(run, {3, {}, {}}, start);
    const Answer &answer = std::get<IdempotencyTable::Answered>(admitResult).answer;
    BOOST_TEST(answer.body == "whole");
    BOOST_TEST(answer.replayed);
}

/// Compares the table with a model that keeps every key that was ever admitted or refused.
BOOST_AUTO_TEST_CASE(keyIsAdmittedAtMostOnceAndNeverAfterARefusal)
{
    BOOST_TEST(rc::check("admitted at most once, and never after \"not run\"", [] {
        IdempotencyTable table(self, incarnation, smallTableSettings());
        std::set<std::string> everAdmitted;
        std::set<std::string> everRefused;
        std::vector<std::string> running;
        std::int64_t now = start.value();
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
                rc::gen::tuple(rc::gen::inRange(0, 10), rc::gen::inRange(0, 30),
                               rc::gen::inRange(0, 400)));
        for (const auto &[action, nonce, delay] : steps) {
            if (action == 0) {
                now += delay;
                table.expire(WallTime{now});
                continue;
            }
            if (action <= 2 && !running.empty()) {
                const Outcome outcome = action == 1 ? Outcome::Completed : Outcome::NotRun;
                if (outcome == Outcome::NotRun)
                    everRefused.insert(running.back());
                table.complete(running.back(), makeAnswer(outcome));
                running.pop_back();
                continue;
            }
            // Some keys have expired, some expire too far in the future, most are valid.
            const std::string key = makeKeyText(static_cast<std::uint64_t>(nonce),
                                                WallTime{start.value() + std::int64_t{nonce} * 90});
            const auto admitResult = table.admit(makeRun(key), {}, WallTime{now});
            if (std::holds_alternative<IdempotencyTable::Admitted>(admitResult)) {
                RC_ASSERT(everAdmitted.insert(key).second);
                RC_ASSERT(!everRefused.contains(key));
                running.push_back(key);
            } else if (const auto *answered
                       = std::get_if<IdempotencyTable::Answered>(&admitResult)) {
                const bool isRefused = answered->answer.outcome == Outcome::NotRun;
                if (isRefused) {
                    everRefused.insert(key);
                    RC_ASSERT(!everAdmitted.contains(key) || everRefused.contains(key));
                }
            }
            RC_ASSERT(table.size() <= smallTableSettings().maxEntries);
        }
    }));
}

BOOST_AUTO_TEST_CASE(fullTableRefusesNewKeysAndNeverAdmitsThemLater)
{
    IdempotencyTable table(self, incarnation, smallTableSettings());
    const WallTime expires{start.value() + 500};
    for (std::uint64_t i = 0; i < smallTableSettings().maxEntries; ++i)
        table.admit(makeRun(makeKeyText(i, expires)), {}, start);
    const std::string late = makeKeyText(99, expires);
    auto admitResult = table.admit(makeRun(late), {}, start);
    BOOST_TEST((std::get<IdempotencyTable::Answered>(admitResult).answer.reason
                == Error::IdempotencyTableFull));
    for (std::uint64_t i = 0; i < smallTableSettings().maxEntries; ++i)
        table.complete(makeKeyText(i, expires), makeAnswer(Outcome::Completed));
    // The table has room again, but the late key was refused and must stay so.
    table.expire(WallTime{expires.value() + 1});
    admitResult = table.admit(makeRun(late), {}, WallTime{expires.value() - 1});
    BOOST_TEST(
            (std::get<IdempotencyTable::Answered>(admitResult).answer.reason == Error::KeyRefused));
}

BOOST_AUTO_TEST_CASE(entryOfARunningExecutionOutlivesItsKey)
{
    IdempotencyTable table(self, incarnation, smallTableSettings());
    const RunRequest run = makeRun(makeKeyText(1, WallTime{start.value() + 500}));
    table.admit(run, {1, {}, {}}, start);
    table.expire(WallTime{start.value() + 5000});
    BOOST_TEST(table.complete(run.work.key, makeAnswer(Outcome::Completed)).size() == 1);
}
