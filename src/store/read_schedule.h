#pragma once

/// When a node reads the operator's configuration from the store.

#include "core/core.h"

#include <cstddef>
#include <random>

namespace buckthornford {

/// A few nodes, the readers, keep a call open that returns when the configuration changes, and pass
/// it on to their peers. Every other node checks now and then by itself, in case no reader reaches
/// the store. Intervals grow with the fleet, so that the calls of all nodes together do not.
class ReadSchedule
{
public:
    explicit ReadSchedule(std::uint64_t seed)
        : m_random(seed)
    {}

    /// Sets the number of \a otherNodes that are live and whether this node \a isReader.
    void setFleet(std::size_t otherNodes, bool isReader)
    {
        m_otherNodes = otherNodes;
        m_isReader = isReader;
    }
    void setConfigurationKnown() { m_isConfigurationKnown = true; }

    std::size_t otherNodes() const { return m_otherNodes; }

    /// Returns whether to keep a call to the store open.
    bool isReader() const { return m_isReader; }

    /// Returns whether a failed read is repeated soon. Otherwise the next check will do, so that an
    /// outage of the store doesn't draw calls from all nodes.
    bool retriesSoon() const { return m_isReader || !m_isConfigurationKnown; }

    /// Returns how long the store may wait for a change in the next call. Random, so that the calls
    /// of the fleet end at different times: a node notices that the store has lost its call in an
    /// outage only when the call ends.
    Duration chooseWatchTimeout();

    /// Returns when a node that is no reader reads next, after a read that ended at \a now.
    TimePoint nextCheck(TimePoint now);

    /// Returns when a node that is no reader reads once more, since its connections may have gone
    /// silent. The whole fleet may find that at the same time.
    TimePoint nextExtraCheck(TimePoint now);

private:
    std::mt19937_64 m_random;
    std::size_t m_otherNodes = 0;
    bool m_isReader = true;
    bool m_isConfigurationKnown = false;
};

} // namespace buckthornford
