#pragma once

#include "core/core.h"
#include "preset/preset.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace buckthornford {

/// A queued request's claim on a slot.
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

/// Returns whether \a a goes before \a b: by rank, then the ruling, then the request.
bool precedes(const QueuedRequest &a, const QueuedRequest &b, const TieBreaker &ruling);

/// How a queue orders claims.
enum class QueueOrder {
    Ranked,          ///< rank, ruling, request
    FirstInFirstOut, ///< the naive baseline
};

/// The waiting requests of one upstream, best claim first.
class AdmissionQueue
{
public:
    AdmissionQueue(QueueOrder order, std::size_t capacity);

    /// Orders by another ruling from now on.
    void setTieBreaker(const TieBreaker &ruling);

    /// Adds \a claim. Returns the execution that has to leave because the queue was full: the
    /// one with the worst claim, which may be the new one.
    std::optional<ExecutionId> push(const QueuedRequest &claim);

    /// Takes the best claim for which \a mayStart holds.
    std::optional<QueuedRequest> pop(const std::function<bool(const QueuedRequest &)> &mayStart);

    /// Removes one claim. Returns whether it was there.
    bool remove(ExecutionId execution);

    /// Removes the claims for which \a isHopeless holds.
    std::vector<QueuedRequest>
    removeIf(const std::function<bool(const QueuedRequest &)> &isHopeless);

    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        QueuedRequest claim;
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
    TieBreaker m_ruling;
    std::uint64_t m_nextSequence = 0;
    Entries m_entries;
};

} // namespace buckthornford
