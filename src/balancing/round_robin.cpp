#include "balancing/round_robin_p.h"

#include "balancing/least_cost_p.h"
#include "balancing/two_choices_p.h"

#include <algorithm>
#include <array>

namespace buckthornford {

void RoundRobinBalancer::setTargets(const std::vector<Target> &targets, TimePoint)
{
    for (auto &[name, list] : m_targets)
        list.clear();
    for (const Target &target : targets)
        m_targets[target.service].push_back(target);
    for (auto &[name, list] : m_targets) {
        std::sort(list.begin(), list.end(), [](const Target &a, const Target &b) {
            return a.peer.instance < b.peer.instance;
        });
    }
}

Result<Pick> RoundRobinBalancer::pick(const PickRequest &request, TimePoint)
{
    const auto found = m_targets.find(request.service);
    if (found == m_targets.end())
        return Error::UnknownService;
    if (found->second.empty())
        return Error::NoTarget;
    const std::size_t index = m_next[request.service]++ % found->second.size();
    return Pick{found->second[index].peer, Proximity::OtherRegion};
}

bool RoundRobinBalancer::knowsService(const ServiceName &service) const
{
    return m_targets.contains(service);
}

namespace {

using CreateFunction
        = std::unique_ptr<LoadBalancer> (*)(const NodeLocation &location, std::uint64_t seed);

/// In the order of LoadBalancerKind.
constexpr std::array<CreateFunction, 3> createFunctions{
        [](const NodeLocation &, std::uint64_t) -> std::unique_ptr<LoadBalancer> {
            return std::make_unique<RoundRobinBalancer>();
        },
        [](const NodeLocation &location, std::uint64_t seed) -> std::unique_ptr<LoadBalancer> {
            return std::make_unique<TwoChoicesBalancer>(location, seed);
        },
        [](const NodeLocation &location, std::uint64_t seed) -> std::unique_ptr<LoadBalancer> {
            return std::make_unique<LeastCostBalancer>(location, seed);
        }};

} // namespace

std::unique_ptr<LoadBalancer> createLoadBalancer(LoadBalancerKind kind,
                                                 const NodeLocation &location, std::uint64_t seed)
{
    return createFunctions[static_cast<std::size_t>(kind)](location, seed);
}

} // namespace buckthornford
