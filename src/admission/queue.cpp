#include "admission/admission.h"

#include <algorithm>
#include <array>
#include <compare>

namespace buckthornford {

namespace {

using RulingFunction = std::strong_ordering (*)(const QueuedRequest &a, const QueuedRequest &b,
                                                const TieBreaker &ruling);

std::strong_ordering byDeadline(const QueuedRequest &a, const QueuedRequest &b, const TieBreaker &)
{
    return a.deadline <=> b.deadline;
}

std::strong_ordering oldestFirst(const QueuedRequest &a, const QueuedRequest &b, const TieBreaker &)
{
    return a.entered <=> b.entered;
}

std::strong_ordering newestFirst(const QueuedRequest &a, const QueuedRequest &b, const TieBreaker &)
{
    return b.entered <=> a.entered;
}

std::strong_ordering byCaller(const QueuedRequest &a, const QueuedRequest &b,
                              const TieBreaker &ruling)
{
    return ruling.position(a.caller.value()) <=> ruling.position(b.caller.value());
}

std::strong_ordering byOperation(const QueuedRequest &a, const QueuedRequest &b,
                                 const TieBreaker &ruling)
{
    return ruling.position(a.operation.value()) <=> ruling.position(b.operation.value());
}

/// In the order of RulingOrder.
constexpr std::array<RulingFunction, 5> rulingFunctions{byDeadline, oldestFirst, newestFirst,
                                                        byCaller, byOperation};

} // namespace

bool precedes(const QueuedRequest &a, const QueuedRequest &b, const TieBreaker &ruling)
{
    if (a.rank != b.rank)
        return a.rank < b.rank;
    const auto order = rulingFunctions[static_cast<std::size_t>(ruling.order)](a, b, ruling);
    if (order != std::strong_ordering::equal)
        return order == std::strong_ordering::less;
    if (a.requestHash != b.requestHash)
        return a.requestHash < b.requestHash;
    return a.execution < b.execution;
}

/// In the order of QueueOrder.
const AdmissionQueue::LessFunction AdmissionQueue::lessFunctions[2]
        = {&AdmissionQueue::rankedLess, &AdmissionQueue::arrivalLess};

AdmissionQueue::AdmissionQueue(QueueOrder order, std::size_t capacity)
    : m_less(lessFunctions[static_cast<std::size_t>(order)])
    , m_capacity(capacity)
    , m_entries(Less{this})
{}

bool AdmissionQueue::Less::operator()(const Entry &a, const Entry &b) const
{
    return (queue->*queue->m_less)(a, b);
}

bool AdmissionQueue::rankedLess(const Entry &a, const Entry &b) const
{
    return precedes(a.claim, b.claim, m_ruling);
}

bool AdmissionQueue::arrivalLess(const Entry &a, const Entry &b) const
{
    return a.sequence < b.sequence;
}

void AdmissionQueue::setTieBreaker(const TieBreaker &ruling)
{
    std::vector<Entry> entries(m_entries.begin(), m_entries.end());
    m_entries.clear();
    m_ruling = ruling;
    m_entries.insert(entries.begin(), entries.end());
}

std::optional<ExecutionId> AdmissionQueue::push(const QueuedRequest &claim)
{
    m_entries.insert(Entry{claim, m_nextSequence++});
    if (m_entries.size() <= m_capacity)
        return std::nullopt;
    const auto worst = std::prev(m_entries.end());
    const ExecutionId execution = worst->claim.execution;
    m_entries.erase(worst);
    return execution;
}

std::optional<QueuedRequest>
AdmissionQueue::pop(const std::function<bool(const QueuedRequest &)> &mayStart)
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(),
                                    [&](const Entry &entry) { return mayStart(entry.claim); });
    if (found == m_entries.end())
        return std::nullopt;
    const QueuedRequest claim = found->claim;
    m_entries.erase(found);
    return claim;
}

bool AdmissionQueue::remove(ExecutionId execution)
{
    return std::erase_if(
                   m_entries,
                   [execution](const Entry &entry) { return entry.claim.execution == execution; })
           > 0;
}

std::vector<QueuedRequest>
AdmissionQueue::removeIf(const std::function<bool(const QueuedRequest &)> &isHopeless)
{
    std::vector<QueuedRequest> removed;
    std::erase_if(m_entries, [&](const Entry &entry) {
        if (!isHopeless(entry.claim))
            return false;
        removed.push_back(entry.claim);
        return true;
    });
    return removed;
}

} // namespace buckthornford
