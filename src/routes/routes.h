#pragma once

/// Routes: which service a request goes to, by its host and path.

#include "core/core.h"

#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace buckthornford {

/// One of the services that a route sends requests to.
struct WeightedService
{
    ServiceName service;
    double weight = 1.0; ///< share of the route's requests, relative to the other services
};

/// Rules for the requests to one host whose path begins with one prefix.
struct Route
{
    OperationName name;
    std::string host;   ///< lower case, without a port
    std::string prefix; ///< begins and ends with a slash
    std::vector<WeightedService> services;
    ClassName className;
    bool isIdempotent = false;
    Duration timeout{0}; ///< longest time that a caller waits for a response
};

/// The routes of one configuration.
class RouteTable
{
public:
    RouteTable() = default;

    /// Returns Error::BadDocument if two routes have the same host and prefix, or one has no
    /// service.
    static Result<RouteTable> create(std::vector<Route> routes);

    /// Returns the route of \a host with the longest prefix of \a path, or nullptr. Ignores the
    /// case and the port of \a host and the query string of \a path.
    const Route *find(std::string_view host, std::string_view path) const;

    std::size_t size() const { return m_routes.size(); }

private:
    static std::string keyOf(std::string_view host, std::string_view prefix);

    std::unordered_map<std::string, Route> m_routes; ///< by host and prefix
};

/// Spreads the requests of each route over its services by smooth weighted round robin: after any
/// number of requests each service is close to the share that its weight gives it.
class ServiceChooser
{
public:
    /// \a seed sets where the sequence of each route starts, so that nodes don't all pick the same
    /// service at once.
    explicit ServiceChooser(std::uint64_t seed)
        : m_random(seed)
    {}

    /// Returns the service for the next request of \a route.
    const ServiceName &choose(const Route &route);

private:
    struct Share
    {
        ServiceName service;
        double weight = 0.0;
        double portion = 0.0; ///< of the route's requests, from 0 to 1
        double credit = 0.0;  ///< requests due to the service; negative if it got too many
    };

    /// Returns the shares of \a route, reset if its services or weights have changed.
    std::vector<Share> &sharesOf(const Route &route);

    std::mt19937_64 m_random;
    std::unordered_map<OperationName, std::vector<Share>> m_shares; ///< by route name
};

} // namespace buckthornford
