#include "membership/membership.h"

#include <algorithm>
#include <iterator>

/// The part of Membership that disseminates configurations: revisions are advertised at once,
/// texts are sent on request.

namespace buckthornford {

Membership::OutgoingGossips Membership::disseminate(const Configuration &configuration,
                                                    const std::optional<InstanceId> &except)
{
    setConfiguration(configuration.revision, toJsonText(configuration));
    m_advertisedRevision = m_revision;
    Gossip gossip;
    gossip.configuration = m_configuration;
    return messagesForNeighbours(std::move(gossip), except);
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
                from, revision, m_newerConfiguration ? m_newerConfiguration->firstHeard : now};
}

std::optional<TimePoint> Membership::configurationFetchTime() const
{
    if (!m_newerConfiguration || m_newerConfiguration->revision <= m_revision)
        return std::nullopt;
    return m_newerConfiguration->firstHeard + m_settings.configurationFetchDelay;
}

void Membership::advertiseRevision(OutgoingGossips *messages)
{
    if (m_advertisedRevision == m_revision)
        return;
    m_advertisedRevision = m_revision;
    OutgoingGossips updates = messagesForNeighbours({}, std::nullopt);
    std::move(updates.begin(), updates.end(), std::back_inserter(*messages));
}

/// A peer that receives an anti-entropy message with an older revision replies with its
/// configuration. If the reply is lost, the exchange made every second shows again which peer has a
/// newer one.
void Membership::requestConfiguration(OutgoingGossips *messages, TimePoint now)
{
    const std::optional<TimePoint> fetchTime = configurationFetchTime();
    if (fetchTime && now < *fetchTime)
        return;
    if (fetchTime)
        messages->push_back({m_newerConfiguration->peer, syncMessage()});
    m_newerConfiguration.reset();
}

} // namespace buckthornford
