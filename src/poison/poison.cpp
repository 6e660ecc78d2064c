#include "poison/poison.h"

namespace buckthornford {

ContentHash contentHash(const Work &work)
{
    constexpr char separator = '\n';
    std::string text = work.service.value();
    for (const std::string *part :
         {&work.operation.value(), &work.method, &work.query, &work.target})
        text.append(1, separator).append(*part);
    text.append(1, separator).append(std::to_string(checksum(work.body.view())));
    return ContentHash{checksum(text)};
}

bool PoisonDetector::record(const PoisonEvent &event, TimePoint now)
{
    if (m_seen.size() >= m_settings.maxEvents || !m_seen.emplace(event, now).second)
        return false;
    if (event.isRelease)
        m_crashes.erase(event.content);
    else
        m_crashes[event.content].insert(event.eventId);
    return true;
}

void PoisonDetector::expire(TimePoint now)
{
    for (auto it = m_seen.begin(); it != m_seen.end();) {
        if (now - it->second < m_settings.retention) {
            ++it;
            continue;
        }
        const auto crashes = m_crashes.find(it->first.content);
        if (crashes != m_crashes.end() && !it->first.isRelease) {
            crashes->second.erase(it->first.eventId);
            if (crashes->second.empty())
                m_crashes.erase(crashes);
        }
        it = m_seen.erase(it);
    }
}

bool PoisonDetector::isPoisonous(ContentHash content) const
{
    const auto found = m_crashes.find(content);
    return found != m_crashes.end() && found->second.size() >= m_settings.crashLimit;
}

std::vector<PoisonDetector::Row> PoisonDetector::rows() const
{
    std::vector<Row> rows;
    for (const auto &[content, crashes] : m_crashes)
        rows.push_back({content, crashes.size(), crashes.size() >= m_settings.crashLimit});
    return rows;
}

} // namespace buckthornford
