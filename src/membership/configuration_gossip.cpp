#include "membership/membership.h"

#include <algorithm>
#include <iterator>

/// The part of Membership that disseminates configurations: versions are advertised at once, texts
/// are sent on request.

namespace buckthornford {

Membership::OutgoingGossips Membership::disseminate(const Configuration &configuration,
                                                    const std::optional<InstanceId> &except)
{
    setConfiguration({configuration.revision, {}}, toJsonText(configuration));
    m_advertisedVersion = m_version;
    Gossip gossip;
    gossip.configuration = m_configuration;
    return messagesForNeighbours(std::move(gossip), except);
}

void Membership::setConfiguration(ConfigurationVersion version, std::string configuration)
{
    m_version = version;
    m_configuration = std::move(configuration);
}

void Membership::recordPeerVersion(const PeerRef &from, ConfigurationVersion version, TimePoint now)
{
    if (version <= m_version || (m_newerConfiguration && version <= m_newerConfiguration->version))
        return;
    const TimePoint fetchTime = m_newerConfiguration
                                        ? m_newerConfiguration->fetchTime
                                        : std::max(now + m_settings.configurationFetchDelay,
                                                   m_nextConfigurationRequest);
    m_newerConfiguration = NewerConfiguration{from, version, fetchTime};
}

std::optional<TimePoint> Membership::configurationFetchTime() const
{
    if (!m_newerConfiguration || m_newerConfiguration->version <= m_version)
        return std::nullopt;
    return m_newerConfiguration->fetchTime;
}

void Membership::advertiseVersion(OutgoingGossips *messages)
{
    if (m_advertisedVersion == m_version)
        return;
    m_advertisedVersion = m_version;
    OutgoingGossips updates = messagesForNeighbours({}, std::nullopt);
    std::move(updates.begin(), updates.end(), std::back_inserter(*messages));
}

/// If the reply is lost, the anti-entropy exchange made every second shows again which peer has a
/// newer configuration.
void Membership::requestConfiguration(OutgoingGossips *messages, TimePoint now)
{
    const std::optional<TimePoint> fetchTime = configurationFetchTime();
    if (fetchTime && now < *fetchTime)
        return;
    if (fetchTime) {
        Gossip request;
        request.wantsConfiguration = true;
        request.version = m_version;
        messages->push_back({m_newerConfiguration->peer, std::move(request)});
        m_nextConfigurationRequest = now + m_settings.configurationRequestInterval;
    }
    m_newerConfiguration.reset();
}

} // namespace buckthornford
