#pragma once

/// Which target a request goes to, from the entry node's own view.

#include "call/call.h"
#include "core/core.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace buckthornford {

/// A target that can be picked.
struct Target
{
    PeerRef peer;
    ServiceName service;
    ZoneName zone;
    RegionName region;
    Slots slots;
    bool suspected = false; ///< picked only where there is no other
};

/// Where the picking node is.
struct NodeLocation
{
    InstanceId instance;
    ZoneName zone;
    RegionName region;
};

/// How far a pick went from home.
enum class Proximity { SameZone, SameRegion, OtherRegion };

struct Pick
{
    PeerRef peer;
    Proximity proximity = Proximity::SameZone;
};

/// What a pick is for.
struct PickRequest
{
    ServiceName service;
    OperationName operation;
    Rank rank;
    std::vector<InstanceId> exclude; ///< tried already
    double spillShare = 0.0;         ///< of requests that may leave the region
};

/// How an attempt at a target went, as the entry saw it.
struct AttemptResult
{
    enum class End {
        Succeeded,        ///< by the upstream, with success
        Failed,           ///< by the upstream, or lost on the way
        Refused,          ///< by the target's node or the upstream; says nothing of its speed
        DeadlineExceeded, ///< given up at the deadline
        Cancelled,        ///< not needed any more
    };

    OperationName operation;
    TimePoint sent;
    Duration latency{0};
    Duration serviceTime{0}; ///< queueing and work at the target; 0 if not known
    End end = End::Succeeded;
};

/// Chooses targets. Own measurements come first; reports of others age and only ever make a
/// target look worse.
class LoadBalancer
{
public:
    virtual ~LoadBalancer() = default;

    /// Replaces the targets that are known to serve.
    virtual void setTargets(const std::vector<Target> &targets, TimePoint now) = 0;

    /// Error::UnknownService if no target of the service was ever known, Error::NoTarget if none
    /// can take the request now.
    virtual Result<Pick> pick(const PickRequest &request, TimePoint now) = 0;

    virtual void onAttemptSent(const InstanceId &target, TimePoint now) = 0;

    virtual void onAttemptEnded(const InstanceId &target, const AttemptResult &report,
                                TimePoint now)
            = 0;
    virtual void onLoadReport(const InstanceId &target, const LoadReport &report, TimePoint now)
            = 0;

    /// The target can't be reached; it is left out for a while.
    virtual void onUnreachable(const InstanceId &target, TimePoint now) = 0;

    virtual bool knowsService(const ServiceName &service) const = 0;

    /// Latency below which 95 in 100 of the operation's answers came; 0 where nothing is known.
    virtual Duration p95Latency(const ServiceName &service,
                                const OperationName &operation) const = 0;
};

enum class LoadBalancerKind { RoundRobin, TwoChoices, LeastCost };

/// Creates a router; \a seed makes its random choices repeatable.
std::unique_ptr<LoadBalancer> createLoadBalancer(LoadBalancerKind kind, const NodeLocation &place,
                                                 std::uint64_t seed);

} // namespace buckthornford
