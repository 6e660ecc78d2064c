#pragma once

/// Which service a caller's request goes to, by host and path.

#include "core/core.h"

#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace buckthornford {

struct WeightedService
{
    ServiceName service;
    double weight = 1.0; ///< share of the route's requests, relative to the other services
};

/// What the operator says of the requests under one path of one host.
struct Route
{
    OperationName name;
    std::string host;   ///< lower case, without a port
    std::string prefix; ///< begins and ends with a slash
    std::vector<WeightedService> services;
    ClassName className;
    bool isIdempotent = false;
    Duration timeout{0}; ///< the longest that a caller is kept waiting
};

/// The routes of one configuration.
class RouteTable
{
public:
    RouteTable() = default;

    /// Error::BadDocument if two routes have the same host and prefix, or one has no service.
    static Result<RouteTable> create(std::vector<Route> routes);

    /// Returns the route of \a host with the longest prefix that begins \a path, or nullptr.
    const Route *find(std::string_view host, std::string_view path) const;

    std::size_t size() const { return m_routes.size(); }

private:
    static std::string keyOf(std::string_view host, std::string_view prefix);

    std::unordered_map<std::string, Route> m_routes; ///< by host and prefix
};

/// Spreads the requests of each route over its services in proportion to their weights, with
/// the least possible deviation at any time.
class ServiceChooser
{
public:
    /// \a seed sets where each route's sequence begins, so that nodes don't move in step.
    explicit ServiceChooser(std::uint64_t seed)
        : m_random(seed)
    {}

    const ServiceName &choose(const Route &route);

private:
    struct Share
    {
        ServiceName service;
        double weight = 0.0;
        double credit = 0.0;
    };
    std::vector<Share> &sharesOf(const Route &route);

    std::mt19937_64 m_random;
    std::unordered_map<OperationName, std::vector<Share>> m_shares;
};

} // namespace buckthornford
