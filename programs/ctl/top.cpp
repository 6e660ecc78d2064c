#include "ctl/top.h"

#include "settings/settings.h"

#include <iomanip>

namespace buckthornford {

namespace {

constexpr int nameWidth = 18;
constexpr int numberWidth = 11;
constexpr std::size_t maxReasons = 8;

/// Counts by class and then by outcome or reason.
using Counts = std::map<std::string, std::map<std::string, std::uint64_t>>;

Counts sumUp(const FleetView &view, const char *kind)
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

double rate(const Counts &before, const std::string &name, const std::string &key,
            std::uint64_t now, double seconds)
{
    const auto row = before.find(name);
    std::uint64_t old = 0;
    if (row != before.end() && row->second.contains(key))
        old = row->second.at(key);
    // A node that has started anew counts from 0 again.
    return now < old ? 0.0 : static_cast<double>(now - old) / seconds;
}

void printHead(std::ostream &out, const FleetView &view)
{
    std::map<std::string, int> presets;
    for (const auto &[instance, status] : view.statuses)
        ++presets[status.value("preset", "") + ", revision " + status["revision"].dump()];
    out << "nodes " << view.statuses.size() << " of " << view.members.size() << " answer\n";
    for (const auto &[preset, count] : presets)
        out << "preset " << preset << " at " << count << " nodes\n";
    for (const auto &member : view.members) {
        const std::string state = member.value("state", "");
        if (state != "serving")
            out << member.value("instance", "") << " is " << state << '\n';
    }
}

void printClasses(std::ostream &out, const FleetView &before, const FleetView &now, double seconds)
{
    const Counts old = sumUp(before, "outcomes");
    out << '\n' << std::left << std::setw(nameWidth) << "class, a second" << std::right;
    for (const char *title : {"completed", "failed", "not-run", "unknown"})
        out << std::setw(numberWidth) << title;
    out << '\n' << std::fixed << std::setprecision(1);
    for (const auto &[name, row] : sumUp(now, "outcomes")) {
        out << std::left << std::setw(nameWidth) << name << std::right;
        for (const char *outcome : {"completed", "failed", "not-run", "unknown"}) {
            const auto found = row.find(outcome);
            const std::uint64_t count = found == row.end() ? 0 : found->second;
            out << std::setw(numberWidth) << rate(old, name, outcome, count, seconds);
        }
        out << '\n';
    }
    const Counts oldReasons = sumUp(before, "reasons");
    std::size_t printed = 0;
    for (const auto &[name, row] : sumUp(now, "reasons")) {
        for (const auto &[reason, count] : row) {
            const double perSecond = rate(oldReasons, name, reason, count, seconds);
            if (perSecond > 0.0 && printed++ < maxReasons)
                out << "  " << name << ": " << reason << ' ' << perSecond << " a second\n";
        }
    }
}

void printGates(std::ostream &out, const FleetView &view)
{
    struct Service
    {
        int instances = 0;
        std::uint64_t inFlight = 0;
        std::uint64_t limit = 0;
        std::uint64_t slots = 0;
        std::uint64_t queued = 0;
        std::string slowest;
        std::uint64_t lowest = UINT64_MAX;
    };
    std::map<std::string, Service> services;
    for (const auto &[instance, status] : view.statuses) {
        Service &service = services[status.value("service", "")];
        const std::uint64_t limit = status["gate"].value("limit", 0U);
        ++service.instances;
        service.inFlight += status["gate"].value("inFlight", 0U);
        service.limit += limit;
        service.slots += status["upstream"].value("slots", 0U);
        service.queued += status["gate"].value("queued", 0U);
        if (limit < service.lowest) {
            service.lowest = limit;
            service.slowest = instance;
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
            << std::setw(numberWidth) << service.queued << "  " << service.slowest << " ("
            << service.lowest << ")\n";
    }
}

} // namespace

FleetView readFleet(const OperatorClient &client)
{
    FleetView view;
    const OperatorClient::Reply members = client.read("/members");
    if (!members.body.is_object())
        return view;
    for (const auto &member : members.body["members"]) {
        const std::string state = member.value("state", "");
        if (state == "dead" || state == "left")
            continue;
        view.members.push_back(member);
        const Result<Endpoint> door = parseEndpoint(member.value("operators", ""));
        if (!door)
            continue;
        const OperatorClient::Reply status = OperatorClient(door.value()).read("/status");
        if (status.body.is_object())
            view.statuses[member.value("instance", "")] = status.body;
    }
    return view;
}

void printTop(std::ostream &out, const FleetView &before, const FleetView &now, double seconds)
{
    printHead(out, now);
    printClasses(out, before, now, seconds);
    printGates(out, now);
}

} // namespace buckthornford
