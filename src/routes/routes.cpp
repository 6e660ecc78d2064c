#include "routes/routes.h"

#include <algorithm>
#include <cctype>

namespace buckthornford {

namespace {

std::string toLowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

} // namespace

std::string RouteTable::keyOf(std::string_view host, std::string_view prefix)
{
    return toLowerCase(host.substr(0, host.find(':'))).append(1, ' ').append(prefix);
}

Result<RouteTable> RouteTable::create(std::vector<Route> routes)
{
    RouteTable table;
    for (Route &route : routes) {
        if (route.services.empty())
            return Error::BadDocument;
        const std::string key = keyOf(route.host, route.prefix);
        if (!table.m_routes.emplace(key, std::move(route)).second)
            return Error::BadDocument;
    }
    return table;
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    // Prefixes end with a slash, so try the path up to each slash, the longest first.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = m_routes.find(keyOf(host, path.substr(0, end + 1)));
        if (found != m_routes.end())
            return &found->second;
    }
    return nullptr;
}

std::vector<ServiceChooser::Share> &ServiceChooser::sharesOf(const Route &route)
{
    std::vector<Share> &shares = m_shares[route.name];
    const bool isUnchanged = std::equal(
            shares.begin(), shares.end(), route.services.begin(), route.services.end(),
            [](const Share &share, const WeightedService &service) {
                return share.service == service.service && share.weight == service.weight;
            });
    if (isUnchanged)
        return shares;
    shares.clear();
    double largest = 0.0;
    for (const WeightedService &service : route.services)
        largest = std::max(largest, service.weight);
    double total = 0.0; // Relative to the largest weight, so that the sum is finite.
    for (const WeightedService &service : route.services)
        total += largest > 0.0 ? service.weight / largest : 1.0;
    std::uniform_real_distribution<double> start(0.0, 1.0);
    for (const WeightedService &service : route.services) {
        const double relative = largest > 0.0 ? service.weight / largest : 1.0;
        shares.push_back({service.service, service.weight, relative / total, start(m_random)});
    }
    return shares;
}

const ServiceName &ServiceChooser::choose(const Route &route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    std::vector<Share> &shares = sharesOf(route);
    for (Share &share : shares)
        share.credit += share.portion;
    const auto mostDue
            = std::max_element(shares.begin(), shares.end(),
                               [](const Share &a, const Share &b) { return a.credit < b.credit; });
    mostDue->credit -= 1.0;
    return mostDue->service;
}

} // namespace buckthornford
