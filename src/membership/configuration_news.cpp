#include "membership/membership.h"

#include <algorithm>
#include <iterator>

/// The part of Membership that spreads configurations: numbers are told at once, texts on demand.

namespace buckthornford {

Membership::Sendings Membership::spread(const Configuration &configuration,
                                        const std::optional<InstanceId> &except)
{
    setRevision(configuration.revision, toJsonText(configuration));
    m_toldRevision = m_revision;
    Gossip gossip;
    gossip.configuration = m_configuration;
    return toNeighbours(std::move(gossip), except);
}

void Membership::setRevision(Revision revision, std::string configuration)
{
    m_revision = revision;
    m_configuration = std::move(configuration);
}

void Membership::noteRevision(const PeerRef &from, Revision revision, TimePoint now)
{
    const bool isAhead = revision > m_revision;
    if (isAhead && (!m_ahead || revision > m_ahead->revision))
        m_ahead = Ahead{from, revision, m_ahead ? m_ahead->since : now};
}

std::optional<TimePoint> Membership::configurationDue() const
{
    if (!m_ahead || m_ahead->revision <= m_revision)
        return std::nullopt;
    return m_ahead->since + m_settings.configurationWait;
}

void Membership::tellRevision(Sendings *sendings)
{
    if (m_toldRevision == m_revision)
        return;
    m_toldRevision = m_revision;
    Sendings news = toNeighbours({}, std::nullopt);
    std::move(news.begin(), news.end(), std::back_inserter(*sendings));
}

/// A comparison that comes from behind is answered with the configuration. If that is lost, the
/// comparisons made each second tell again who is ahead.
void Membership::askForConfiguration(Sendings *sendings, TimePoint now)
{
    const std::optional<TimePoint> due = configurationDue();
    if (due && now < *due)
        return;
    if (due)
        sendings->push_back({m_ahead->peer, comparison()});
    m_ahead.reset();
}

} // namespace buckthornford
