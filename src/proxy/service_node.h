#pragma once

/// A node on one event loop: HTTP servers, mesh, store client and deciding tasks, connected with
/// each other and with the adapter of a platform.

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
    /// Address at which other nodes connect to this one, if a relay stands before its peer
    /// listener.
    std::optional<Endpoint> advertisedPeerEndpoint;
    Endpoint metricsListenEndpoint;
    std::optional<Endpoint> storeEndpoint;
    std::vector<std::string> seeds; ///< peer addresses of a few other nodes
    ServiceName callerService;
    /// The whole system starts for the first time, so that no node has been seen before.
    bool isBootstrap = false;
    double retryRatio = 0.2;  ///< repeats of a service per request to it, over the whole fleet
    double retrySlack = 20.0; ///< repeats beyond the ratio, over the whole fleet
    Duration drainTimeout{std::chrono::milliseconds(2500)}; ///< from notice until no new work
    Duration stopGracePeriod{std::chrono::seconds(6)};      ///< from the stop signal until the kill
    std::string policy = "buckthornford";
    Bytes requestMemory{128U << 20U}; ///< for the bodies of all requests that the node holds
};

/// Reads the settings again. Returns nothing if they can't be read now.
using SettingsReader = std::function<std::optional<ServiceNodeSettings>()>;

class ServiceNode
{
public:
    /// Opens all listeners and starts the tasks. Returns Error::BindFailed if a listener can't be
    /// opened.
    static Result<std::unique_ptr<ServiceNode>>
    create(const ServiceNodeSettings &settings, const Adapter &adapter, SettingsReader reader);
    ~ServiceNode();

    /// Serves until SIGTERM or SIGINT, then until no request is in flight or the stop's grace
    /// period is nearly over.
    void run();

private:
    struct Private;
    explicit ServiceNode(std::unique_ptr<Private> d);
    std::unique_ptr<Private> m_d;
};

} // namespace buckthornford
