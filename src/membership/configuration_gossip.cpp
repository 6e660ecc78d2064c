#include "membership/membership.h"

#include <algorithm>
#include <iterator>

/// The part of Membership that spreads configurations: numbers are told at once, texts on demand.

namespace buckthornford {

Membership::OutgoingGossips Membership::spread(const Configuration &configuration,
                                               const std::optional<InstanceId> &except)
{
    setConfiguration(configuration.revision, toJsonText(configuration));
    m_advertisedRevision = m_revision;
    Gossip gossip;
    gossip.configuration = m_configuration;
    return toNeighbours(std::move(gossip), except);
}

void Membership::setConfiguration(Revision revision, std::string configuration)
{
    m_revision = revision;
    m_configuration = std::move(configuration);
}

void Membership::recordPeerRevision(const PeerRef &from, Revision revision, TimePoint now)
{
    const bool isAhead = revision > m_revision;
    if (isAhead && (!m_newerConfiguration || revision > m_newerConfiguration->revision))
        m_newerConfiguration = NewerConfiguration{
                from, revision, m_newerConfiguration ? m_newerConfiguration->since : now};
}

std::optional<TimePoint> Membership::configurationFetchTime() const
{
    if (!m_newerConfiguration || m_newerConfiguration->revision <= m_revision)
        return std::nullopt;
    return m_newerConfiguration->since + m_settings.configurationFetchDelay;
}

void Membership::advertiseRevision(OutgoingGossips *sendings)
{
    if (m_advertisedRevision == m_revision)
        return;
    m_advertisedRevision = m_revision;
    OutgoingGossips news = toNeighbours({}, std::nullopt);
    std::move(news.begin(), news.end(), std::back_inserter(*sendings));
}

/// A comparison that comes from behind is answered with the configuration. If that is lost, the
/// comparisons made each second tell again who is ahead.
void Membership::requestConfiguration(OutgoingGossips *sendings, TimePoint now)
{
    const std::optional<TimePoint> due = configurationFetchTime();
    if (due && now < *due)
        return;
    if (due)
        sendings->push_back({m_newerConfiguration->peer, syncMessage()});
    m_newerConfiguration.reset();
}

} // namespace buckthornford
