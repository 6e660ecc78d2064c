#include "idempotency/idempotency.h"

#include <algorithm>
#include <array>

#include <utility>

namespace buckthornford {

namespace {

constexpr std::string_view keyPrefix = "bk1";
constexpr char keySeparator = ':';
constexpr std::size_t keyPartCount = 6;

/// Tolerated difference between the clocks of the entry node, which makes a key, and of the key's
/// owner: a key is accepted if it expires at most keyLife plus this after the owner's now.
constexpr Duration clockAllowance = std::chrono::seconds(10);

/// Splits \a text into exactly keyPartCount parts.
std::optional<std::array<std::string_view, keyPartCount>> splitKey(std::string_view text)
{
    std::array<std::string_view, keyPartCount> parts;
    for (std::size_t i = 0; i < keyPartCount; ++i) {
        const std::size_t end = text.find(keySeparator);
        if ((end == std::string_view::npos) != (i + 1 == keyPartCount))
            return std::nullopt;
        parts[i] = text.substr(0, end);
        text.remove_prefix(i + 1 == keyPartCount ? text.size() : end + 1);
    }
    return parts;
}

Answer unknownOutcome(const RunRequest &run, Error reason)
{
    Answer answer = makeRefusal(run, reason, false);
    answer.outcome = Outcome::Unknown;
    return answer;
}

WallTime addDuration(WallTime time, Duration duration)
{
    return WallTime{time.value() + duration.count()};
}

} // namespace

std::string IdempotencyKey::toText() const
{
    std::string text(keyPrefix);
    text += keySeparator + owner.value() + keySeparator + toHex(incarnation.value()) + keySeparator
            + toHex(static_cast<std::uint64_t>(expires.value())) + keySeparator + toHex(nonce);
    return text + keySeparator + toHex(checksum(text));
}

Result<IdempotencyKey> IdempotencyKey::parse(std::string_view text)
{
    const auto parts = splitKey(text);
    if (!parts || (*parts)[0] != keyPrefix || (*parts)[1].empty())
        return Error::BadKey;
    const auto incarnation = fromHex((*parts)[2]);
    const auto expires = fromHex((*parts)[3]);
    const auto nonce = fromHex((*parts)[4]);
    const auto sum = fromHex((*parts)[5]);
    if (!incarnation || !expires || !nonce || !sum)
        return Error::BadKey;
    const IdempotencyKey key{InstanceId{std::string((*parts)[1])}, Incarnation{*incarnation},
                             WallTime{static_cast<std::int64_t>(*expires)}, *nonce};
    // The text must be the one that toText() writes, checksum included.
    if (checksum(text.substr(0, text.rfind(keySeparator))) != *sum || key.toText() != text)
        return Error::BadKey;
    return key;
}

IdempotencyKey makeKey(const InstanceId &owner, Incarnation incarnation, WallTime now,
                       Duration life)
{
    return {owner, incarnation, addDuration(now, life), randomNumber()};
}

IdempotencyTable::IdempotencyTable(InstanceId self, Incarnation incarnation, Settings settings)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_settings(settings)
{}

std::optional<Answer> IdempotencyTable::checkKey(const IdempotencyKey &key, const RunRequest &run,
                                                 WallTime now)
{
    if (key.owner != m_self || key.incarnation != m_incarnation)
        return unknownOutcome(run, Error::KeyOwnerGone);
    if (key.expires <= now)
        return unknownOutcome(run, Error::KeyExpired);
    // A key that expires too far in the future for this clock may become acceptable later, so the
    // answer "not run" could turn out false.
    if (key.expires > addDuration(now, m_settings.keyLife + clockAllowance))
        return unknownOutcome(run, Error::BadKey);
    if (key.expires <= m_refusedUpTo)
        return makeRefusal(run, Error::KeyRefused, true);
    if (m_entries.size() < m_settings.maxEntries
        && m_storedAnswerBytes < m_settings.maxBytes.value())
        return std::nullopt;
    // The table has no room for an entry that keeps this key refused, so m_refusedUpTo does it.
    m_refusedUpTo = key.expires;
    return makeRefusal(run, Error::IdempotencyTableFull, true);
}

IdempotencyTable::AdmitResult IdempotencyTable::admit(const RunRequest &run, ReplyTo waiter,
                                                      WallTime now)
{
    const auto found = m_entries.find(run.work.key);
    if (found != m_entries.end()) {
        ++m_duplicateCount;
        Entry &entry = found->second;
        if (!entry.answer) {
            entry.waiters.push_back(waiter);
            return AttachedToRun{};
        }
        Answer answer = *entry.answer;
        answer.request = run.request;
        answer.attempt = run.attempt;
        answer.retryBudgetLeft = run.retryBudget;
        answer.replayed = true;
        return Answered{std::move(answer)};
    }
    const Result<IdempotencyKey> key = IdempotencyKey::parse(run.work.key);
    if (!key)
        return Answered{makeRefusal(run, Error::BadKey, false)};
    if (auto answer = checkKey(key.value(), run, now))
        return Answered{std::move(*answer)};
    Entry entry;
    entry.waiters.push_back(waiter);
    m_expiries.emplace(key.value().expires, run.work.key);
    m_entries.emplace(run.work.key, std::move(entry));
    return Admitted{};
}

std::vector<ReplyTo> IdempotencyTable::complete(std::string_view key, const Answer &answer)
{
    const auto found = m_entries.find(std::string(key));
    if (found == m_entries.end())
        return {};
    Entry &entry = found->second;
    entry.answer = answer;
    // A refusal is final for its key, so the stored answer must not ask for a resend of that key.
    if (answer.outcome == Outcome::NotRun && answer.reason != Error::KeyMoved)
        entry.answer->retryable = false;
    m_storedAnswerBytes += answer.body.size();
    return std::exchange(entry.waiters, {});
}

bool IdempotencyTable::removeWaiter(std::string_view key, const ReplyTo &waiter)
{
    const auto found = m_entries.find(std::string(key));
    if (found == m_entries.end())
        return false;
    std::erase(found->second.waiters, waiter);
    return !found->second.waiters.empty();
}

void IdempotencyTable::expire(WallTime now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const auto entry = m_entries.find(m_expiries.begin()->second);
        // An unfinished execution keeps its entry, so that its answer reaches the waiters.
        if (!entry->second.answer) {
            auto node = m_expiries.extract(m_expiries.begin());
            node.key() = addDuration(now, m_settings.keyLife);
            m_expiries.insert(std::move(node));
            continue;
        }
        m_storedAnswerBytes -= entry->second.answer->body.size();
        m_entries.erase(entry);
        m_expiries.erase(m_expiries.begin());
    }
}

} // namespace buckthornford
