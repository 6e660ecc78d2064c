#include "proxy/proxy_task.h"

#include <utility>

/// The part of ProxyTask that remembers which upstream has left, beyond the end of this process:
/// the store and the peers keep the departure, and a node that starts again learns it from them.

namespace buckthornford {

/// Takes \a departure over if it is news. An upstream that it covers serves no more. Returns
/// whether it was news.
bool ProxyTask::adoptDeparture(const UpstreamDeparture &departure, TimePoint now)
{
    if (!isNews(departure, m_departure))
        return false;
    m_departure = departure;
    if (m_upstream
        && departure.covers(m_upstream->id, UpstreamStart{m_upstream->start.value_or(0)}))
        startUpstreamDrain(now);
    publishStatus();
    return true;
}

/// Takes \a departure over, which the store may not hold yet.
void ProxyTask::recordDeparture(const UpstreamDeparture &departure, TimePoint now)
{
    if (!adoptDeparture(departure, now))
        return;
    m_departureStoreDeadline = now + m_settings.departureStoreTimeout;
    wakeBy(*m_departureStoreDeadline);
    m_callbacks.storeDeparture(departure);
}

/// Confirms the announcement of a departure once it is stored: the upstream relies on it that it is
/// not used again, also after a restart of this node.
void ProxyTask::acknowledgeDeparture(RequestId request)
{
    if (m_departureStoreDeadline)
        m_heldAcknowledgements.push_back(request);
    else
        m_callbacks.acknowledge(request);
}

void ProxyTask::on(DepartureRead &&message, TimePoint now)
{
    if (message.departure && adoptDeparture(*message.departure, now))
        logDeparture(*m_departure, "store", now);
    endDepartureRead(now);
}

void ProxyTask::on(DepartureReported &&message, TimePoint now)
{
    const bool isNew = isNews(message.departure, m_departure);
    recordDeparture(message.departure, now);
    if (isNew)
        logDeparture(*m_departure, "peer", now);
}

void ProxyTask::on(DepartureStored &&, TimePoint)
{
    m_departureStoreDeadline.reset();
    for (const RequestId request : std::exchange(m_heldAcknowledgements, {}))
        m_callbacks.acknowledge(request);
}

void ProxyTask::endDepartureRead(TimePoint now)
{
    m_departureReadDeadline.reset();
    for (const UpstreamAnnouncement &announcement : std::exchange(m_heldAnnouncements, {})) {
        if (isNewer(announcement, now))
            useUpstream(announcement, now);
        else
            logOutdated(announcement, now);
    }
}

/// Waits no longer for a store that doesn't respond.
void ProxyTask::doDepartureWork(TimePoint now)
{
    if (m_departureReadDeadline && *m_departureReadDeadline <= now)
        endDepartureRead(now);
    if (m_departureStoreDeadline && *m_departureStoreDeadline <= now) {
        logDeparture(*m_departure, "not-stored", now);
        on(DepartureStored{}, now);
    }
}

} // namespace buckthornford
