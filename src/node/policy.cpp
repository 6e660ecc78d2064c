#include "node/policy_p.h"

#include "node/node.h"

#include <algorithm>
#include <array>

namespace buckthornford {

namespace {

constexpr Tokens naiveRetriesPerHop{2};

const std::array policies{
        Policy{"buckthornford", DispatchPolicy{}, AdmissionPolicy{}},
        // The baseline for experiments: round robin, a fixed number of retries at each hop, no
        // hedges, a fixed limit, no priority classes, no deduplication by idempotency key.
        Policy{"naive",
               DispatchPolicy{LoadBalancerKind::RoundRobin, chooseRetryNaively, naiveRetriesPerHop,
                              false, false},
               AdmissionPolicy{LimiterKind::Fixed, QueueOrder::FirstInFirstOut, false, false,
                               false}},
};

} // namespace

const Policy *findPolicy(std::string_view name)
{
    const auto found = std::find_if(policies.begin(), policies.end(),
                                    [name](const Policy &policy) { return policy.name == name; });
    return found == policies.end() ? nullptr : &*found;
}

bool isPolicyName(std::string_view name)
{
    return findPolicy(name) != nullptr;
}

} // namespace buckthornford
