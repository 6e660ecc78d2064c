#pragma once

/// A node as one event loop: the doors, the mesh, the store and the tasks that decide, put
/// together around the adapter of a platform.

#include "proxy/adapter.h"
#include "settings/settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornford {

struct ServiceNodeSettings
{
    InstanceId instance;
    ZoneName zone;
    RegionName region;
    Endpoint callersListenEndpoint;
    Endpoint announcementsListenEndpoint;
    Endpoint readinessListenEndpoint;
    Endpoint peersListenEndpoint;
    std::optional<Endpoint>
            advertisedPeerEndpoint; ///< peer door as others dial it, if a relay is before it
    Endpoint metricsListenEndpoint;
    std::optional<Endpoint> storeEndpoint;
    std::vector<std::string> seeds; ///< peer doors of a few other nodes
    ServiceName callerService;
    bool isBootstrap = false; ///< of the whole system, so that no node has been seen before
    double retryRatio = 0.2;  ///< repeats of a service per request to it, over the whole fleet
    double retrySlack = 20.0; ///< repeats beyond that, over the whole fleet
    Duration drainTimeout{std::chrono::milliseconds(2500)}; ///< from notice until no new work
    Duration stopGracePeriod{std::chrono::seconds(6)};      ///< from the stop signal until the kill
    std::string policy = "buckthornford";
};

/// Reads the settings anew; nothing if they can't be read now.
using SettingsReader = std::function<std::optional<ServiceNodeSettings>()>;

class ServiceNode
{
public:
    /// Opens all doors. Error::BindFailed if one can't be.
    static Result<std::unique_ptr<ServiceNode>>
    create(const ServiceNodeSettings &settings, const Adapter &adapter, SettingsReader reader);
    ~ServiceNode();

    /// Serves until SIGTERM or SIGINT, and then until nothing is in flight or the stop's bound is
    /// near.
    void run();

private:
    struct Private;
    explicit ServiceNode(std::unique_ptr<Private> d);
    std::unique_ptr<Private> m_d;
};

} // namespace buckthornford
