#pragma once

/// Load balancing: the entry node picks the instance of a service that a request is sent to.

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

/// An instance of a service that requests can be sent to.
struct Target
{
    PeerRef peer;
    ServiceName service;
    ZoneName zone;
    RegionName region;
    Slots slots;
    bool suspected = false; ///< by gossip; picked only if there is no other target
};

/// The node that picks, and where it runs.
struct NodeLocation
{
    InstanceId instance;
    ZoneName zone;
    RegionName region;
};

/// How near a target is to the node that picks it.
enum class Proximity { SameZone, SameRegion, OtherRegion };

/// A picked target.
struct Pick
{
    PeerRef peer;
    Proximity proximity = Proximity::SameZone;
};

/// The request that a target is picked for.
struct PickRequest
{
    ServiceName service;
    OperationName operation;
    Rank rank;
    std::vector<InstanceId> exclude; ///< targets that got an attempt of this request already
    double spillShare = 0.0;         ///< share of requests that may leave the region
};

/// How an attempt ended, as the entry node saw it.
struct AttemptResult
{
    enum class End {
        Succeeded,        ///< the upstream completed the request
        Failed,           ///< the upstream failed the request, or the attempt was lost
        Refused,          ///< by the target's node or the upstream; no measure of its speed
        DeadlineExceeded, ///< no answer came before the deadline
        Cancelled,        ///< the call no longer needed an answer
    };

    OperationName operation;
    TimePoint sent;
    Duration latency{0};     ///< from sending to the end, as the entry node measured it
    Duration serviceTime{0}; ///< queueing and work at the target; 0 if not known
    End end = End::Succeeded;
};

/// Picks targets. The node's own measurements decide; load reports expire and can only make a
/// target look worse.
class LoadBalancer
{
public:
    virtual ~LoadBalancer() = default;

    /// Replaces the set of targets that are serving.
    virtual void setTargets(const std::vector<Target> &targets, TimePoint now) = 0;

    /// Returns Error::UnknownService if no target of the service was ever known, Error::NoTarget if
    /// none can take the request now.
    virtual Result<Pick> pick(const PickRequest &request, TimePoint now) = 0;

    virtual void onAttemptSent(const InstanceId &target, TimePoint now) = 0;

    virtual void onAttemptEnded(const InstanceId &target, const AttemptResult &result,
                                TimePoint now)
            = 0;
    virtual void onLoadReport(const InstanceId &target, const LoadReport &report, TimePoint now)
            = 0;

    /// Excludes the target from picks for a while because it can't be reached.
    virtual void onUnreachable(const InstanceId &target, TimePoint now) = 0;

    /// Returns whether a target of \a service was ever known.
    virtual bool knowsService(const ServiceName &service) const = 0;

    /// Estimated 95th percentile of the latency of \a operation; 0 if none was measured.
    virtual Duration p95Latency(const ServiceName &service,
                                const OperationName &operation) const = 0;
};

enum class LoadBalancerKind { RoundRobin, TwoChoices, LeastCost };

/// Creates a load balancer for the node at \a location; \a seed makes its random choices
/// repeatable.
std::unique_ptr<LoadBalancer> createLoadBalancer(LoadBalancerKind kind,
                                                 const NodeLocation &location, std::uint64_t seed);

} // namespace buckthornford
