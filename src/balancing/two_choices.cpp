#include "balancing/two_choices_p.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace buckthornford {

namespace {

/// How long the reported queue length and limit count.
constexpr Duration queueReportLifetime = std::chrono::seconds(1);
/// How long the reported number of requests counts.
constexpr Duration loadReportLifetime = std::chrono::milliseconds(100);
constexpr double maxSpillCredit = 20.0;   ///< requests that may leave the region in a burst
constexpr std::uint32_t maxSpillRank = 1; ///< requests of higher ranks never leave the region

} // namespace

double TwoChoicesBalancer::score(const TargetState &state, const ServiceState &service,
                                 const OperationName &operation, TimePoint now) const
{
    // The load report of the last answer also counts the requests of other nodes.
    auto load = static_cast<double>(state.inFlight.size());
    if (now - state.loadReportTime < loadReportLifetime)
        load = std::max<double>(load, state.loadReport.inFlight + state.loadReport.queued);
    double queuePenalty = 1.0;
    if (now - state.loadReportTime < queueReportLifetime && state.loadReport.limit > 0)
        queuePenalty += static_cast<double>(state.loadReport.queued) / state.loadReport.limit;
    const double slots = std::max<double>(1.0, state.target.slots.value());
    return currentSlowdown(state, service, operation, now) * queuePenalty * (load + 1.0) / slots;
}

TwoChoicesBalancer::TargetState *
TwoChoicesBalancer::chooseOfTwo(const std::vector<TargetState *> &targets,
                                const ServiceState &service, const OperationName &operation,
                                TimePoint now)
{
    if (targets.size() == 1)
        return targets.front();
    std::uniform_int_distribution<std::size_t> first(0, targets.size() - 1);
    std::uniform_int_distribution<std::size_t> second(0, targets.size() - 2);
    TargetState *a = targets[first(m_random)];
    const std::size_t secondIndex = second(m_random);
    TargetState *b = targets[secondIndex] == a ? targets.back() : targets[secondIndex];
    return score(*b, service, operation, now) < score(*a, service, operation, now) ? b : a;
}

bool TwoChoicesBalancer::hasQueue(const TargetState &state, TimePoint now) const
{
    return now - state.loadReportTime < queueReportLifetime && state.loadReport.queued > 0;
}

bool TwoChoicesBalancer::isOverloaded(const TargetState &state, TimePoint now) const
{
    return hasQueue(state, now) && state.loadReport.queued >= state.loadReport.limit;
}

bool TwoChoicesBalancer::takeSpillCredit(ServiceState *service, const PickRequest &request)
{
    if (request.rank.value() > maxSpillRank || service->spillCredit < 1.0)
        return false;
    service->spillCredit -= 1.0;
    return true;
}

Result<Pick> TwoChoicesBalancer::pick(const PickRequest &request, TimePoint now)
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end())
        return Error::UnknownService;
    ServiceState &service = found->second;
    service.spillCredit = std::min(maxSpillCredit, service.spillCredit + request.spillShare);
    TargetState *best = nullptr;
    for (const Proximity proximity : proximities) {
        const std::vector<TargetState *> targets = candidates(service, proximity, request, now);
        if (targets.empty())
            continue;
        // Leaving a region that has targets of its own is a spill, which costs credit.
        const bool isSpill = proximity == Proximity::OtherRegion && best != nullptr;
        if (isSpill && (!isOverloaded(*best, now) || !takeSpillCredit(&service, request)))
            break;
        TargetState *chosen = chooseOfTwo(targets, service, request.operation, now);
        const bool isBestKept = best != nullptr
                                && score(*best, service, request.operation, now)
                                           <= score(*chosen, service, request.operation, now);
        if (!isBestKept)
            best = chosen;
        if (!hasQueue(*best, now))
            break;
    }
    if (best == nullptr)
        best = pickLastResort(service, request);
    if (best == nullptr)
        return Error::NoTarget;
    return Pick{best->target.peer, best->proximity};
}

} // namespace buckthornford
