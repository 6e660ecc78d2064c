#include "balancing/two_choices_p.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace buckthornford {

namespace {

constexpr Duration reportLife = std::chrono::seconds(1);
constexpr Duration loadLife = std::chrono::milliseconds(100);
constexpr double spillBurst = 20.0;
constexpr std::uint32_t spillRankLimit = 1; ///< ranks above this one never leave the region

} // namespace

/// How much slower than its peers the target is now, by its answers and by its oldest attempt.

double TwoChoicesBalancer::score(const State &state, const Service &service,
                                 const OperationName &operation, TimePoint now) const
{
    // What others have sent there is known from its last answer, for a moment.
    auto load = static_cast<double>(state.inFlight.size());
    if (now - state.reportTime < loadLife)
        load = std::max<double>(load, state.report.inFlight + state.report.queued);
    double worse = 1.0;
    if (now - state.reportTime < reportLife && state.report.limit > 0)
        worse += static_cast<double>(state.report.queued) / state.report.limit;
    const double slots = std::max<double>(1.0, state.target.slots.value());
    return stretchNow(state, service, operation, now) * worse * (load + 1.0) / slots;
}

TwoChoicesBalancer::State *TwoChoicesBalancer::choose(const std::vector<State *> &from,
                                                      const Service &service,
                                                      const OperationName &operation, TimePoint now)
{
    if (from.size() == 1)
        return from.front();
    std::uniform_int_distribution<std::size_t> first(0, from.size() - 1);
    std::uniform_int_distribution<std::size_t> second(0, from.size() - 2);
    State *a = from[first(m_random)];
    const std::size_t skip = second(m_random);
    State *b = from[skip] == a ? from.back() : from[skip];
    return score(*b, service, operation, now) < score(*a, service, operation, now) ? b : a;
}

/// Whether the target's own gate said within the last second that work waits there.

bool TwoChoicesBalancer::hasQueue(const State &state, TimePoint now) const
{
    return now - state.reportTime < reportLife && state.report.queued > 0;
}

/// Whether at least as much work waits there as runs.

bool TwoChoicesBalancer::isOverloaded(const State &state, TimePoint now) const
{
    return hasQueue(state, now) && state.report.queued >= state.report.limit;
}

bool TwoChoicesBalancer::maySpill(Service *service, const PickRequest &request)
{
    if (request.rank.value() > spillRankLimit || service->spillCredit < 1.0)
        return false;
    service->spillCredit -= 1.0;
    return true;
}

/// Where no target is thought reachable, the one whose time out ends first.

Result<Pick> TwoChoicesBalancer::pick(const PickRequest &request, TimePoint now)
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end())
        return Error::UnknownService;
    Service &service = found->second;
    service.spillCredit = std::min(spillBurst, service.spillCredit + request.spillShare);
    State *fallback = nullptr;
    for (const Proximity reach : proximities) {
        const std::vector<State *> near = candidates(service, reach, request, now);
        if (near.empty())
            continue;
        const bool isBilled = reach == Proximity::OtherRegion && fallback != nullptr;
        if (isBilled && (!isOverloaded(*fallback, now) || !maySpill(&service, request)))
            break;
        State *chosen = choose(near, service, request.operation, now);
        const bool isWorse = fallback != nullptr
                             && score(*fallback, service, request.operation, now)
                                        <= score(*chosen, service, request.operation, now);
        if (!isWorse)
            fallback = chosen;
        if (!hasQueue(*fallback, now))
            break;
    }
    if (fallback == nullptr)
        fallback = lastResort(service, request);
    if (fallback == nullptr)
        return Error::NoTarget;
    return Pick{fallback->target.peer, fallback->proximity};
}

} // namespace buckthornford
