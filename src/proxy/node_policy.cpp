#include "proxy/node_policy_p.h"

namespace buckthornford {

namespace {

/// Of the bound on repeats, what entries may spend. Calls that repeated runs make count too and
/// can't be held back; they are charged to the node that sends them, whose share they may exceed.
constexpr double ownRetryShare = 0.6;
/// Other targets tried for a request that no upstream has got yet; few services have more nearby.
constexpr std::uint32_t freePlacements = 4;
/// Of the time that a caller gives, before a second target is asked; a repeat still fits then.
constexpr double hedgeAfterShare = 0.4;
/// The longest Retry-After; callers wait a third of the time they have left at the most.
constexpr Duration returnWithin = std::chrono::milliseconds(400);
/// Of a route's objective, in a gate's queue; the platform's operators want refusals by then.
constexpr double patienceShare = 0.125;
/// Of the bound on a leaving upstream: until other nodes know, and until nothing waiting may start.
constexpr double drainSpreadShare = 0.3;
constexpr double drainLimitShare = 0.8;
/// Of the bound on a stop: callers are turned away for the rest, so that what is running ends.
constexpr double stopRefusalShare = 0.7;

} // namespace

ProxySettings proxySettingsOf(const ServiceNodeSettings &settings, const PeerRef &self,
                              std::uint64_t seed)
{
    ProxySettings proxy;
    proxy.location = {settings.instance, settings.zone, settings.region};
    proxy.self = self;
    proxy.callerService = settings.callerService;
    proxy.dispatch.loadBalancer = LoadBalancerKind::LeastCost;
    proxy.dispatch.chooseRetry = chooseRetryWithoutKeys;
    proxy.dispatch.usesIdempotencyKeys = false;
    proxy.dispatch.freeReroutes = freePlacements;
    proxy.dispatch.retryRatioPerService = true;
    proxy.dispatch.propagatesContext = false;
    proxy.dispatch.minHedgeDelayShare = hedgeAfterShare;
    proxy.dispatch.maxRetryAfter = returnWithin;
    proxy.admission.relaxesDeadlineCheckWhenQueueEmpty = true;
    proxy.admission.limiter = LimiterKind::Fixed;
    proxy.admission.deduplicatesKeys = false;
    proxy.admission.maxQueueWaitShare = patienceShare;
    proxy.retryRatio = settings.retryRatio * ownRetryShare;
    proxy.retrySlack = settings.retrySlack * ownRetryShare;
    proxy.queueDrainTimeout = scaled(settings.drainTimeout, drainLimitShare);
    proxy.drainPropagationDelay = scaled(settings.drainTimeout, drainSpreadShare);
    proxy.stopRefusalDelay = scaled(settings.stopGracePeriod, stopRefusalShare);
    proxy.seed = seed;
    return proxy;
}

} // namespace buckthornford
