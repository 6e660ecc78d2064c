#include "node/policy_p.h"

#include "node/node.h"

#include <algorithm>
#include <array>

namespace buckthornford {

namespace {

constexpr Tokens naiveRetries{2};

const std::array policies{
        Policy{"buckthornford", DispatchPolicy{}, AdmissionPolicy{}},
        // The baseline: round robin, fixed retries at each hop, no classes, no record.
        Policy{"naive",
               DispatchPolicy{LoadBalancerKind::RoundRobin, chooseRetryNaively, naiveRetries, false,
                              false},
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
