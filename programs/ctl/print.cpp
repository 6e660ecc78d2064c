#include "ctl/print.h"

#include <iomanip>

namespace buckthornford {

namespace {

constexpr int nameWidth = 18;
constexpr int numberWidth = 11;

} // namespace

void printStatus(std::ostream &out, const nlohmann::json &status)
{
    const auto text = [&status](const char *key) { return status.value(key, ""); };
    out << "instance     " << text("instance") << " (" << text("zone") << ", " << text("region")
        << ")\n"
        << "service      " << text("service") << ", " << text("state")
        << (status.value("drained", false) ? ", drained" : "") << '\n'
        << "preset       " << text("preset") << ", revision " << status["revision"] << '\n'
        << "nodes alive  " << status["liveNodes"] << '\n';
    const auto &admission = status["gate"];
    out << "gate         " << admission["inFlight"] << " running of " << admission["limit"] << ", "
        << admission["queued"] << " queued\n"
        << "idempotency  " << status["record"]["keys"] << " keys held, repeated requests "
        << status["record"]["resends"] << "\n\n"
        << std::left << std::setw(nameWidth) << "class" << std::right;
    for (const char *title : {"completed", "failed", "not-run", "unknown", "p50 ms", "p99 ms"})
        out << std::setw(numberWidth) << title;
    out << '\n' << std::fixed << std::setprecision(1);
    for (const auto &[name, row] : status["classes"].items()) {
        out << std::left << std::setw(nameWidth) << name << std::right;
        for (const char *outcome : {"completed", "failed", "not-run", "unknown"})
            out << std::setw(numberWidth) << row["outcomes"].value(outcome, 0);
        out << std::setw(numberWidth) << row["p50Ms"].get<double>() << std::setw(numberWidth)
            << row["p99Ms"].get<double>() << '\n';
    }
}

void printMembers(std::ostream &out, const nlohmann::json &body)
{
    out << std::left;
    for (const char *title : {"instance", "service", "zone", "state", "operators"})
        out << std::setw(nameWidth) << title;
    out << "slots\n";
    for (const auto &member : body["members"]) {
        for (const char *key : {"instance", "service", "zone", "state", "operators"})
            out << std::setw(nameWidth) << member.value(key, "");
        out << member["slots"] << '\n';
    }
}

void printPresets(std::ostream &out, const nlohmann::json &configuration)
{
    out << "revision " << configuration["revision"] << '\n';
    if (!configuration.contains("document"))
        return;
    const auto &document = configuration["document"];
    for (const auto &[name, preset] : document["presets"].items()) {
        const bool isActive = document["inForce"] == name;
        out << (isActive ? "* " : "  ") << std::left << std::setw(nameWidth) << name
            << preset["ruling"]["order"].get<std::string>() << "; ";
        const char *separator = "";
        for (const auto &requestClass : preset["classes"]) {
            out << separator << requestClass["name"].get<std::string>() << '='
                << requestClass["rank"];
            separator = ", ";
        }
        out << '\n';
    }
}

void printPoison(std::ostream &out, const nlohmann::json &body)
{
    out << std::left << std::setw(nameWidth) << "content" << std::setw(numberWidth) << "crashes"
        << "refused\n";
    for (const auto &row : body["contents"])
        out << std::setw(nameWidth) << row.value("content", "") << std::setw(numberWidth)
            << row["crashes"] << (row.value("refused", false) ? "yes" : "no") << '\n';
}

void printError(std::ostream &out, const OperatorClient::Response &response)
{
    if (!response.body.is_object()) {
        out << response.text << '\n';
        return;
    }
    out << "refused: " << response.body.value("message", "");
    if (response.body.contains("field"))
        out << " (" << response.body.value("field", "") << ' ' << response.body.value("detail", "")
            << ')';
    out << '\n';
    if (response.body.contains("winner"))
        out << "change " << response.body.value("winner", "") << " won as revision "
            << response.body["revision"] << "; your change was not applied, nothing of it\n";
}

} // namespace buckthornford
