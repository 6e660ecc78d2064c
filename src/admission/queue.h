#pragma once

#include "core/core.h"
#include "preset/preset.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace buckthornford {

/// What the queue knows of a request that waits for a slot.
struct QueuedRequest
{
    ExecutionId execution;
    Rank rank;
    CallerName caller;
    OperationName operation;
    TimePoint entered; ///< when the request entered the system
    TimePoint deadline;
    std::uint64_t requestHash = 0; ///< breaks the last tie; the same at every node
    bool isLong = false;
};

/// Returns whether \a a runs before \a b: by rank, then by \a tieBreaker, then by request hash.
bool precedes(const QueuedRequest &a, const QueuedRequest &b, const TieBreaker &tieBreaker);

/// How a queue orders its requests.
enum class QueueOrder {
    Ranked,          ///< by precedes()
    FirstInFirstOut, ///< by arrival; the baseline in comparisons
};

/// The waiting requests of one upstream, the next to run first.
class AdmissionQueue
{
public:
    AdmissionQueue(QueueOrder order, std::size_t capacity);

    /// Sorts the queue again by \a tieBreaker.
    void setTieBreaker(const TieBreaker &tieBreaker);

    /// Adds \a request. If the queue was full, removes and returns the execution that comes last,
    /// which may be the new one.
    std::optional<ExecutionId> push(const QueuedRequest &request);

    /// Removes and returns the first request for which \a mayStart holds.
    std::optional<QueuedRequest> pop(const std::function<bool(const QueuedRequest &)> &mayStart);

    /// Removes one request. Returns whether it was queued.
    bool remove(ExecutionId execution);

    /// Removes and returns the requests for which \a shouldRemove holds.
    std::vector<QueuedRequest>
    removeIf(const std::function<bool(const QueuedRequest &)> &shouldRemove);

    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        QueuedRequest request;
        std::uint64_t sequence = 0; ///< order of arrival
    };
    struct Less
    {
        const AdmissionQueue *queue;
        bool operator()(const Entry &a, const Entry &b) const;
    };
    using Entries = std::set<Entry, Less>;
    using LessFunction = bool (AdmissionQueue::*)(const Entry &, const Entry &) const;

    bool rankedLess(const Entry &a, const Entry &b) const;
    bool arrivalLess(const Entry &a, const Entry &b) const;

    static const LessFunction lessFunctions[2];

    LessFunction m_less;
    std::size_t m_capacity;
    TieBreaker m_tieBreaker;
    std::uint64_t m_nextSequence = 0;
    Entries m_entries;
};

} // namespace buckthornford
