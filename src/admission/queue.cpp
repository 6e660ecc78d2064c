#include "admission/admission.h"

#include <algorithm>
#include <array>
#include <compare>

namespace buckthornford {

namespace {

using RulingFunction
        = std::strong_ordering (*)(const Claim &a, const Claim &b, const Ruling &ruling);

std::strong_ordering byDeadline(const Claim &a, const Claim &b, const Ruling &)
{
    return a.deadline <=> b.deadline;
}

std::strong_ordering oldestFirst(const Claim &a, const Claim &b, const Ruling &)
{
    return a.entered <=> b.entered;
}

std::strong_ordering newestFirst(const Claim &a, const Claim &b, const Ruling &)
{
    return b.entered <=> a.entered;
}

std::strong_ordering byCaller(const Claim &a, const Claim &b, const Ruling &ruling)
{
    return ruling.position(a.caller.value()) <=> ruling.position(b.caller.value());
}

std::strong_ordering byOperation(const Claim &a, const Claim &b, const Ruling &ruling)
{
    return ruling.position(a.operation.value()) <=> ruling.position(b.operation.value());
}

/// In the order of RulingOrder.
constexpr std::array<RulingFunction, 5> rulingFunctions{byDeadline, oldestFirst, newestFirst,
                                                        byCaller, byOperation};

} // namespace

bool goesFirst(const Claim &a, const Claim &b, const Ruling &ruling)
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
const ClaimQueue::LessFunction ClaimQueue::lessFunctions[2]
        = {&ClaimQueue::rankedLess, &ClaimQueue::arrivalLess};

ClaimQueue::ClaimQueue(QueueOrder order, std::size_t capacity)
    : m_less(lessFunctions[static_cast<std::size_t>(order)])
    , m_capacity(capacity)
    , m_entries(Less{this})
{}

bool ClaimQueue::Less::operator()(const Entry &a, const Entry &b) const
{
    return (queue->*queue->m_less)(a, b);
}

bool ClaimQueue::rankedLess(const Entry &a, const Entry &b) const
{
    return goesFirst(a.claim, b.claim, m_ruling);
}

bool ClaimQueue::arrivalLess(const Entry &a, const Entry &b) const
{
    return a.sequence < b.sequence;
}

void ClaimQueue::setRuling(const Ruling &ruling)
{
    std::vector<Entry> entries(m_entries.begin(), m_entries.end());
    m_entries.clear();
    m_ruling = ruling;
    m_entries.insert(entries.begin(), entries.end());
}

std::optional<ExecutionId> ClaimQueue::push(const Claim &claim)
{
    m_entries.insert(Entry{claim, m_nextSequence++});
    if (m_entries.size() <= m_capacity)
        return std::nullopt;
    const auto worst = std::prev(m_entries.end());
    const ExecutionId execution = worst->claim.execution;
    m_entries.erase(worst);
    return execution;
}

std::optional<Claim> ClaimQueue::pop(const std::function<bool(const Claim &)> &mayStart)
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(),
                                    [&](const Entry &entry) { return mayStart(entry.claim); });
    if (found == m_entries.end())
        return std::nullopt;
    const Claim claim = found->claim;
    m_entries.erase(found);
    return claim;
}

bool ClaimQueue::remove(ExecutionId execution)
{
    return std::erase_if(
                   m_entries,
                   [execution](const Entry &entry) { return entry.claim.execution == execution; })
           > 0;
}

std::vector<Claim> ClaimQueue::removeIf(const std::function<bool(const Claim &)> &isHopeless)
{
    std::vector<Claim> removed;
    std::erase_if(m_entries, [&](const Entry &entry) {
        if (!isHopeless(entry.claim))
            return false;
        removed.push_back(entry.claim);
        return true;
    });
    return removed;
}

} // namespace buckthornford
