#define BOOST_TEST_MODULE execution
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

RunRequest runWith(const std::string &key)
{
    RunRequest run;
    run.work.key = key;
    return run;
}

std::string keyAt(std::uint64_t nonce, WallTime expires)
{
    return IdempotencyKey{self, incarnation, expires, nonce}.toText();
}

IdempotencyTable::Settings smallRecord()
{
    IdempotencyTable::Settings settings;
    settings.keyLife = Duration{1000};
    settings.maxEntries = 8;
    return settings;
}

Answer ended(Outcome outcome)
{
    Answer answer;
    answer.outcome = outcome;
    answer.body = "whole";
    return answer;
}

} // namespace

BOOST_AUTO_TEST_CASE(keysRoundTripAndDamageIsSeen)
{
    const std::string text = keyAt(7, start);
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

BOOST_AUTO_TEST_CASE(anotherIncarnationCannotTell)
{
    IdempotencyTable record(self, Incarnation{43}, smallRecord());
    const auto verdict = record.admit(runWith(keyAt(1, WallTime{start.value() + 500})), {}, start);
    const auto &settled = std::get<IdempotencyTable::Answered>(verdict);
    BOOST_TEST((settled.answer.outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(aResendGetsTheFirstWholeAnswer)
{
    IdempotencyTable record(self, incarnation, smallRecord());
    const RunRequest run = runWith(keyAt(1, WallTime{start.value() + 500}));
    BOOST_TEST(std::holds_alternative<IdempotencyTable::Admitted>(
            record.admit(run, {1, {}, {}}, start)));
    BOOST_TEST(std::holds_alternative<IdempotencyTable::AttachedToRun>(
            record.admit(run, {2, {}, {}}, start)));
    BOOST_TEST(record.complete(run.work.key, ended(Outcome::Completed)).size() == 2);
    const auto verdict = record.admit(run, {3, {}, {}}, start);
    const Answer &answer = std::get<IdempotencyTable::Answered>(verdict).answer;
    BOOST_TEST(answer.body == "whole");
    BOOST_TEST(answer.replayed);
}

/// The naive model: a set of all keys that ever ran or were refused, kept for ever.
BOOST_AUTO_TEST_CASE(noKeyIsFreshTwiceNorAfterARefusal)
{
    BOOST_TEST(rc::check("fresh at most once, and not after \"not run\"", [] {
        IdempotencyTable record(self, incarnation, smallRecord());
        std::set<std::string> everFresh;
        std::set<std::string> everRefused;
        std::vector<std::string> open;
        std::int64_t now = start.value();
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
                rc::gen::tuple(rc::gen::inRange(0, 10), rc::gen::inRange(0, 30),
                               rc::gen::inRange(0, 400)));
        for (const auto &[action, nonce, delay] : steps) {
            if (action == 0) {
                now += delay;
                record.expire(WallTime{now});
                continue;
            }
            if (action <= 2 && !open.empty()) {
                const Outcome outcome = action == 1 ? Outcome::Completed : Outcome::NotRun;
                if (outcome == Outcome::NotRun)
                    everRefused.insert(open.back());
                record.complete(open.back(), ended(outcome));
                open.pop_back();
                continue;
            }
            // Some keys are expired, some too young, most are fine.
            const std::string key = keyAt(static_cast<std::uint64_t>(nonce),
                                          WallTime{start.value() + std::int64_t{nonce} * 90});
            const auto verdict = record.admit(runWith(key), {}, WallTime{now});
            if (std::holds_alternative<IdempotencyTable::Admitted>(verdict)) {
                RC_ASSERT(everFresh.insert(key).second);
                RC_ASSERT(!everRefused.contains(key));
                open.push_back(key);
            } else if (const auto *settled = std::get_if<IdempotencyTable::Answered>(&verdict)) {
                const bool isRefused = settled->answer.outcome == Outcome::NotRun;
                if (isRefused) {
                    everRefused.insert(key);
                    RC_ASSERT(!everFresh.contains(key) || everRefused.contains(key));
                }
            }
            RC_ASSERT(record.size() <= smallRecord().maxEntries);
        }
    }));
}

BOOST_AUTO_TEST_CASE(aFullRecordRefusesAndStaysTrue)
{
    IdempotencyTable record(self, incarnation, smallRecord());
    const WallTime expires{start.value() + 500};
    for (std::uint64_t i = 0; i < smallRecord().maxEntries; ++i)
        record.admit(runWith(keyAt(i, expires)), {}, start);
    const std::string late = keyAt(99, expires);
    auto verdict = record.admit(runWith(late), {}, start);
    BOOST_TEST((std::get<IdempotencyTable::Answered>(verdict).answer.reason
                == Error::IdempotencyTableFull));
    for (std::uint64_t i = 0; i < smallRecord().maxEntries; ++i)
        record.complete(keyAt(i, expires), ended(Outcome::Completed));
    // Room again, but the late key was refused.
    record.expire(WallTime{expires.value() + 1});
    verdict = record.admit(runWith(late), {}, WallTime{expires.value() - 1});
    BOOST_TEST((std::get<IdempotencyTable::Answered>(verdict).answer.reason == Error::KeyRefused));
}

BOOST_AUTO_TEST_CASE(whatRunsLongerThanItsKeyKeepsItsEntry)
{
    IdempotencyTable record(self, incarnation, smallRecord());
    const RunRequest run = runWith(keyAt(1, WallTime{start.value() + 500}));
    record.admit(run, {1, {}, {}}, start);
    record.expire(WallTime{start.value() + 5000});
    BOOST_TEST(record.complete(run.work.key, ended(Outcome::Completed)).size() == 1);
}
