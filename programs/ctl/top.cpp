#include "ctl/top.h"

#include "settings/settings.h"

#include <iomanip>

namespace buckthornford {

namespace {

constexpr int nameWidth = 18;
constexpr int numberWidth = 11;
constexpr std::size_t maxReasons = 8;

/// Requests since the start of the nodes, by class and then by outcome or reason.
using Counts = std::map<std::string, std::map<std::string, std::uint64_t>>;

/// Adds up the counts of all nodes; \a kind is "outcomes" or "reasons".
Counts sumCounts(const FleetView &view, const char *kind)
{
    Counts counts;
    for (const auto &[instance, status] : view.statuses) {
        for (const auto &[name, row] : status["classes"].items()) {
            for (const auto &[key, value] : row[kind].items())
                counts[name][key] += value.get<std::uint64_t>();
        }
    }
    return counts;
}

/// Returns the requests per second since \a previous.
double rate(const Counts &previous, const std::string &name, const std::string &key,
            std::uint64_t count, double seconds)
{
    const auto row = previous.find(name);
    std::uint64_t previousCount = 0;
    if (row != previous.end() && row->second.contains(key))
        previousCount = row->second.at(key);
    // The sum falls when a node restarts, as it counts from 0 again.
    return count < previousCount ? 0.0 : static_cast<double>(count - previousCount) / seconds;
}

void printNodes(std::ostream &out, const FleetView &view)
{
    std::map<std::string, int> presets;
    for (const auto &[instance, status] : view.statuses)
        ++presets[status.value("preset", "") + ", revision " + status["revision"].dump()];
    out << "nodes: " << view.statuses.size() << " of " << view.members.size() << " answer\n";
    for (const auto &[preset, count] : presets)
        out << "preset " << preset << " is active at " << count << " nodes\n";
    for (const auto &member : view.members) {
        const std::string state = member.value("state", "");
        if (state != "serving")
            out << member.value("instance", "") << " is " << state << '\n';
    }
}

void printClasses(std::ostream &out, const FleetView &previous, const FleetView &current,
                  double seconds)
{
    const Counts previousOutcomes = sumCounts(previous, "outcomes");
    out << '\n' << std::left << std::setw(nameWidth) << "class, per second" << std::right;
    for (const char *title : {"completed", "failed", "not-run", "unknown"})
        out << std::setw(numberWidth) << title;
    out << '\n' << std::fixed << std::setprecision(1);
    for (const auto &[name, row] : sumCounts(current, "outcomes")) {
        out << std::left << std::setw(nameWidth) << name << std::right;
        for (const char *outcome : {"completed", "failed", "not-run", "unknown"}) {
            const auto found = row.find(outcome);
            const std::uint64_t count = found == row.end() ? 0 : found->second;
            out << std::setw(numberWidth) << rate(previousOutcomes, name, outcome, count, seconds);
        }
        out << '\n';
    }
    const Counts previousReasons = sumCounts(previous, "reasons");
    std::size_t printed = 0;
    for (const auto &[name, row] : sumCounts(current, "reasons")) {
        for (const auto &[reason, count] : row) {
            const double perSecond = rate(previousReasons, name, reason, count, seconds);
            if (perSecond > 0.0 && printed++ < maxReasons)
                out << "  " << name << ": " << reason << ' ' << perSecond << " per second\n";
        }
    }
}

void printServices(std::ostream &out, const FleetView &view)
{
    struct ServiceTotals
    {
        int instances = 0;
        std::uint64_t inFlight = 0;
        std::uint64_t limit = 0;
        std::uint64_t slots = 0;
        std::uint64_t queued = 0;
        std::string lowestLimitInstance;
        std::uint64_t lowestLimit = UINT64_MAX;
    };
    std::map<std::string, ServiceTotals> services;
    for (const auto &[instance, status] : view.statuses) {
        ServiceTotals &service = services[status.value("service", "")];
        const std::uint64_t limit = status["gate"].value("limit", 0U);
        ++service.instances;
        service.inFlight += status["gate"].value("inFlight", 0U);
        service.limit += limit;
        service.slots += status["upstream"].value("slots", 0U);
        service.queued += status["gate"].value("queued", 0U);
        if (limit < service.lowestLimit) {
            service.lowestLimit = limit;
            service.lowestLimitInstance = instance;
        }
    }
    out << '\n' << std::left << std::setw(nameWidth) << "service" << std::right;
    for (const char *title : {"instances", "running", "limit", "slots", "queued"})
        out << std::setw(numberWidth) << title;
    out << "  lowest limit\n";
    for (const auto &[name, service] : services) {
        out << std::left << std::setw(nameWidth) << name << std::right << std::setw(numberWidth)
            << service.instances << std::setw(numberWidth) << service.inFlight
            << std::setw(numberWidth) << service.limit << std::setw(numberWidth) << service.slots
            << std::setw(numberWidth) << service.queued << "  " << service.lowestLimitInstance
            << " (" << service.lowestLimit << ")\n";
    }
}

} // namespace

FleetView readFleet(const OperatorClient &client)
{
    FleetView view;
    const OperatorClient::Response members = client.get("/members");
    if (!members.body.is_object())
        return view;
    for (const auto &member : members.body["members"]) {
        const std::string state = member.value("state", "");
        if (state == "dead" || state == "left")
            continue;
        view.members.push_back(member);
        const Result<Endpoint> address = parseEndpoint(member.value("operators", ""));
        if (!address)
            continue;
        const OperatorClient::Response status = OperatorClient(address.value()).get("/status");
        if (status.body.is_object())
            view.statuses[member.value("instance", "")] = status.body;
    }
    return view;
}

void printTop(std::ostream &out, const FleetView &previous, const FleetView &current,
              double seconds)
{
    printNodes(out, current);
    printClasses(out, previous, current, seconds);
    printServices(out, current);
}

} // namespace buckthornford
