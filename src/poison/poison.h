#pragma once

/// Requests that crash the upstreams that run them, known by their content.

#include "call/call.h"
#include "core/core.h"

#include <map>
#include <set>
#include <vector>

namespace buckthornford {

/// Hash of what a request asks for, without its ids: the same under a new key or trace.
using ContentHash = Strong<std::uint64_t, struct ContentTag>;

ContentHash contentHash(const Work &work);

/// One crash during which a content was running, or the release of a content.
struct PoisonEvent
{
    ContentHash content;
    std::uint64_t eventId = 0; ///< id of the crash (one start of an upstream) or of the release
    bool isRelease = false;

    friend auto operator<=>(const PoisonEvent &, const PoisonEvent &) = default;
};

/// Strikes of the whole fleet as this node knows them. The order of arrival doesn't matter but
/// for releases, which clear what came before them.
class PoisonDetector
{
public:
    struct Settings
    {
        std::size_t crashLimit = 3; ///< crashed upstreams after which a content is refused
        Duration retention{std::chrono::minutes(10)};
        std::size_t maxEvents = 10'000;
    };

    explicit PoisonDetector(Settings settings)
        : m_settings(settings)
    {}

    /// Takes in \a strike. Returns whether it was news.
    bool record(const PoisonEvent &strike, TimePoint now);

    void expire(TimePoint now);

    bool isPoisonous(ContentHash content) const;

    /// Whether the content ran during a crash and has not been cleared.
    bool hasCrashes(ContentHash content) const { return m_crashes.contains(content); }

    bool isEmpty() const { return m_crashes.empty(); }

    struct Row
    {
        ContentHash content;
        std::size_t crashes = 0;
        bool isPoisonous = false;
    };
    std::vector<Row> rows() const;

private:
    Settings m_settings;
    std::map<ContentHash, std::set<std::uint64_t>> m_crashes;
    std::map<PoisonEvent, TimePoint> m_seen;
};

} // namespace buckthornford
