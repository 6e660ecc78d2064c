#include "admission/admission.h"

#include <algorithm>
#include <array>
#include <compare>

namespace buckthornford {

namespace {

using TieBreakFunction = std::strong_ordering (*)(const QueuedRequest &a, const QueuedRequest &b,
                                                  const TieBreaker &tieBreaker);

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
                              const TieBreaker &tieBreaker)
{
    return tieBreaker.position(a.caller.value()) <=> tieBreaker.position(b.caller.value());
}

std::strong_ordering byOperation(const QueuedRequest &a, const QueuedRequest &b,
                                 const TieBreaker &tieBreaker)
{
    return tieBreaker.position(a.operation.value()) <=> tieBreaker.position(b.operation.value());
}

/// In the order of TieBreakOrder.
constexpr std::array<TieBreakFunction, 5> tieBreakFunctions{byDeadline, oldestFirst, newestFirst,
                                                            byCaller, byOperation};

} // namespace

bool precedes(const QueuedRequest &a, const QueuedRequest &b, const TieBreaker &tieBreaker)
{
    if (a.rank != b.rank)
        return a.rank < b.rank;
    const auto order
            = tieBreakFunctions[static_cast<std::size_t>(tieBreaker.order)](a, b, tieBreaker);
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
    return precedes(a.request, b.request, m_tieBreaker);
}

bool AdmissionQueue::arrivalLess(const Entry &a, const Entry &b) const
{
    return a.sequence < b.sequence;
}

void AdmissionQueue::setTieBreaker(const TieBreaker &tieBreaker)
{
    std::vector<Entry> entries(m_entries.begin(), m_entries.end());
    m_entries.clear();
    m_tieBreaker = tieBreaker;
    m_entries.insert(entries.begin(), entries.end());
}

std::optional<ExecutionId> AdmissionQueue::push(const QueuedRequest &request)
{
    m_entries.insert(Entry{request, m_nextSequence++});
    if (m_entries.size() <= m_capacity)
        return std::nullopt;
    const auto worst = std::prev(m_entries.end());
    const ExecutionId execution = worst->request.execution;
    m_entries.erase(worst);
    return execution;
}

std::optional<QueuedRequest>
AdmissionQueue::pop(const std::function<bool(const QueuedRequest &)> &mayStart)
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(),
                                    [&](const Entry &entry) { return mayStart(entry.request); });
    if (found == m_entries.end())
        return std::nullopt;
    const QueuedRequest request = found->request;
    m_entries.erase(found);
    return request;
}

bool AdmissionQueue::remove(ExecutionId execution)
{
    return std::erase_if(
                   m_entries,
                   [execution](const Entry &entry) { return entry.request.execution == execution; })
           > 0;
}

std::vector<QueuedRequest>
AdmissionQueue::removeIf(const std::function<bool(const QueuedRequest &)> &shouldRemove)
{
    std::vector<QueuedRequest> removed;
    std::erase_if(m_entries, [&](const Entry &entry) {
        if (!shouldRemove(entry.request))
            return false;
        removed.push_back(entry.request);
        return true;
    });
    return removed;
}

} // namespace buckthornford
