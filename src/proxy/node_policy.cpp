#include "proxy/node_policy_p.h"

namespace buckthornford {

namespace {

/// Share of the limit on repeats that dispatchers may use for retries and hedges. The limit also
/// counts calls that an upstream makes while it runs a repeated request. These can't be refused;
/// they are charged to the node that sends them and may exceed its share.
constexpr double dispatchRetryShare = 0.6;
/// Targets tried in place of one that refused a request unsent; few services have more targets
/// nearby.
constexpr std::uint32_t maxFreeReroutes = 4;
/// Earliest time for a hedge, as a share of the time that the caller gives; a repeat still fits
/// into the rest.
constexpr double hedgeDelayShare = 0.4;
/// Longest Retry-After. A caller is asked to wait at most a third of the time it has left.
constexpr Duration longestRetryAfter = std::chrono::milliseconds(400);
/// Share of a route's latency objective that a request may wait in the admission queue; the
/// platform's operators want a refusal by then.
constexpr double queueWaitShare = 0.125;
/// Shares of the drain timeout of a leaving upstream: until other nodes know that it leaves, and
/// until no queued request may start any more.
constexpr double drainPropagationShare = 0.3;
constexpr double queueDrainShare = 0.8;

} // namespace

ProxySettings makeProxySettings(const ServiceNodeSettings &settings, const PeerRef &self,
                                std::uint64_t seed)
{
    ProxySettings proxy;
    proxy.location = {settings.instance, settings.zone, settings.region};
    proxy.self = self;
    proxy.callerService = settings.callerService;
    proxy.dispatch.loadBalancer = LoadBalancerKind::LeastCost;
    proxy.dispatch.chooseRetry = chooseRetryWithoutKeys;
    proxy.dispatch.usesIdempotencyKeys = false;
    proxy.dispatch.freeReroutes = maxFreeReroutes;
    proxy.dispatch.retryRatioPerService = true;
    proxy.dispatch.propagatesContext = false;
    proxy.dispatch.limitsChainStarts = true;
    proxy.dispatch.cancelsCallsOfEndedExecutions = false;
    proxy.dispatch.minHedgeDelayShare = hedgeDelayShare;
    proxy.dispatch.maxRetryAfter = longestRetryAfter;
    proxy.admission.relaxesDeadlineCheckWhenQueueEmpty = true;
    proxy.admission.limiter = LimiterKind::Fixed;
    proxy.admission.deduplicatesKeys = false;
    proxy.admission.maxQueueWaitShare = queueWaitShare;
    proxy.retryRatio = settings.retryRatio * dispatchRetryShare;
    proxy.retrySlack = settings.retrySlack * dispatchRetryShare;
    proxy.queueDrainTimeout = scaled(settings.drainTimeout, queueDrainShare);
    proxy.drainPropagationDelay = scaled(settings.drainTimeout, drainPropagationShare);
    proxy.readsDeparture = settings.storeEndpoint && !settings.isBootstrap;
    proxy.seed = seed;
    return proxy;
}

} // namespace buckthornford
