#include "platform_stand_in/table_task.h"

#include <algorithm>

namespace buckthornford {

bool TokenBucket::take(TimePoint now)
{
    constexpr double microsecondsPerSecond = 1e6;
    const auto elapsedSeconds
            = static_cast<double>((now - m_refilledAt).count()) / microsecondsPerSecond;
    m_refilledAt = now;
    m_tokens = std::min(m_perSecond, m_tokens + elapsedSeconds * m_perSecond);
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

TableTask::TableTask(Settings settings)
    : m_readTokens(settings.readsPerSecond)
    , m_writeTokens(settings.writesPerSecond)
    , m_random(settings.seed)
{}

void TableTask::handle(TableMessage &&message, TimePoint now)
{
    std::visit([this, now](auto &&kind) { on(std::forward<decltype(kind)>(kind), now); },
               std::move(message));
}

TimePoint TableTask::tick(TimePoint now)
{
    return now + std::chrono::seconds(1);
}

void TableTask::on(ReadRequest &&message, TimePoint now)
{
    ++m_counters.reads;
    if (m_counters.faults.isDown) {
        message.reply->post(Error::PlatformUnavailable);
        return;
    }
    if (!m_readTokens.take(now)) {
        ++m_counters.refused;
        message.reply->post(Error::PlatformBusy);
        return;
    }
    const auto row = m_rows.find(message.key);
    message.reply->post(row == m_rows.end() ? TableRow{} : row->second);
}

Error TableTask::commit(const TableTransaction &transaction)
{
    const auto isFulfilled = [this](const TableCondition &condition) {
        const auto row = m_rows.find(condition.key);
        return condition.version == (row == m_rows.end() ? 0 : row->second.version);
    };
    if (!std::all_of(transaction.conditions.begin(), transaction.conditions.end(), isFulfilled))
        return Error::Conflict;
    for (const TableWrite &write : transaction.writes) {
        TableRow &row = m_rows[write.key];
        row.value = write.value;
        ++row.version;
    }
    return Error::None;
}

void TableTask::on(CommitRequest &&message, TimePoint now)
{
    ++m_counters.writes;
    CommitResult result;
    if (m_counters.faults.isDown) {
        result.error = Error::PlatformUnavailable;
    } else if (!m_writeTokens.take(now)) {
        ++m_counters.refused;
        result.error = Error::PlatformBusy;
    } else {
        result.error = commit(message.transaction);
        result.isResponseLost = std::uniform_real_distribution<double>()(m_random)
                                < m_counters.faults.lostResponseShare;
    }
    message.reply->post(result);
}

void TableTask::on(FaultsChanged &&message, TimePoint)
{
    m_counters.faults = message.faults;
}

void TableTask::on(CountersRequest &&message, TimePoint)
{
    message.reply->post(m_counters);
}

} // namespace buckthornford
