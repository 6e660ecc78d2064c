#include "platform/store.h"

#include <algorithm>

namespace buckthornford {

bool RateLimit::take(TimePoint now)
{
    constexpr double microsecondsPerSecond = 1e6;
    const auto passed = static_cast<double>((now - m_last).count()) / microsecondsPerSecond;
    m_last = now;
    m_left = std::min(m_perSecond, m_left + passed * m_perSecond);
    if (m_left < 1.0)
        return false;
    m_left -= 1.0;
    return true;
}

Store::Store(Settings settings)
    : m_reads(settings.readsPerSecond)
    , m_writes(settings.writesPerSecond)
    , m_random(settings.seed)
{}

void Store::handle(StoreMessage &&message, TimePoint now)
{
    std::visit([this, now](auto &&kind) { on(std::forward<decltype(kind)>(kind), now); },
               std::move(message));
}

TimePoint Store::tick(TimePoint now)
{
    return now + std::chrono::seconds(1);
}

void Store::on(RowWanted &&message, TimePoint now)
{
    ++m_counters.reads;
    if (m_counters.faults.isDown) {
        message.reply->post(Error::PlatformUnavailable);
        return;
    }
    if (!m_reads.take(now)) {
        ++m_counters.refused;
        message.reply->post(Error::PlatformBusy);
        return;
    }
    const auto row = m_rows.find(message.key);
    message.reply->post(row == m_rows.end() ? TableRow{} : row->second);
}

Error Store::commit(const TableTransaction &transaction)
{
    const auto holds = [this](const TableCondition &condition) {
        const auto row = m_rows.find(condition.key);
        return condition.version == (row == m_rows.end() ? 0 : row->second.version);
    };
    if (!std::all_of(transaction.conditions.begin(), transaction.conditions.end(), holds))
        return Error::Conflict;
    for (const TableWrite &write : transaction.writes) {
        TableRow &row = m_rows[write.key];
        row.value = write.value;
        ++row.version;
    }
    return Error::None;
}

void Store::on(CommitWanted &&message, TimePoint now)
{
    ++m_counters.writes;
    CommitAnswer answer;
    if (m_counters.faults.isDown) {
        answer.error = Error::PlatformUnavailable;
    } else if (!m_writes.take(now)) {
        ++m_counters.refused;
        answer.error = Error::PlatformBusy;
    } else {
        answer.error = commit(message.transaction);
        answer.isLost = std::uniform_real_distribution<double>()(m_random)
                        < m_counters.faults.loseAnswers;
    }
    message.reply->post(answer);
}

void Store::on(FaultsChanged &&message, TimePoint)
{
    m_counters.faults = message.faults;
}

void Store::on(CountersWanted &&message, TimePoint)
{
    message.reply->post(m_counters);
}

} // namespace buckthornford
