#pragma once

/// Detects request contents that repeatedly crash the upstreams that run them.

#include "call/call.h"
#include "core/core.h"

#include <map>
#include <set>
#include <vector>

namespace buckthornford {

/// Hash of what a request asks for, without its ids: a new key, caller or trace does not change it.
using ContentHash = Strong<std::uint64_t, struct ContentTag>;

ContentHash contentHash(const Work &work);

/// A crash of an upstream while a content was running there, or the release of a content by an
/// operator.
struct PoisonEvent
{
    ContentHash content;
    std::uint64_t eventId = 0; ///< id of the crash (one start of an upstream) or of the release
    bool isRelease = false;

    friend auto operator<=>(const PoisonEvent &, const PoisonEvent &) = default;
};

/// Counts the crashes of each content at all nodes, as far as this node knows them. Crashes may
/// arrive in any order; a release clears the crashes recorded before it.
class PoisonDetector
{
public:
    struct Settings
    {
        std::size_t crashLimit = 3; ///< distinct crashes after which a content is refused
        Duration retention{std::chrono::minutes(10)}; ///< of an event, from its arrival
        std::size_t maxEvents = 10'000;
    };

    explicit PoisonDetector(Settings settings)
        : m_settings(settings)
    {}

    /// Records \a event. Returns whether it was new; it is not if it is known already or if
    /// maxEvents are stored.
    bool record(const PoisonEvent &event, TimePoint now);

    /// Forgets the events that are older than the retention time.
    void expire(TimePoint now);

    bool isPoisonous(ContentHash content) const;

    /// Returns whether \a content ran during a crash and has not been released since.
    bool hasCrashes(ContentHash content) const { return m_crashes.contains(content); }

    bool isEmpty() const { return m_crashes.empty(); }

    /// One content with crashes, for operators.
    struct Row
    {
        ContentHash content;
        std::size_t crashes = 0;
        bool isPoisonous = false;
    };
    std::vector<Row> rows() const;

private:
    Settings m_settings;
    /// Ids of the crashes of each content.
    std::map<ContentHash, std::set<std::uint64_t>> m_crashes;
    std::map<PoisonEvent, TimePoint> m_seen; ///< all known events and when they arrived
};

} // namespace buckthornford
