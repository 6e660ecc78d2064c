#include "telemetry/telemetry.h"
#include "upstream_stand_in/announcer.h"
#include "upstream_stand_in/service.h"

#include <gflags/gflags.h>

#include <array>

DEFINE_string(listen, "127.0.0.1:7010", "address on which the upstream listens");
DEFINE_string(node, "127.0.0.1:7002",
              "address of the own node's upstream listener; empty for none");
DEFINE_string(service, "service", "name of the service");
DEFINE_string(instance, "upstream", "name of this instance");
DEFINE_string(slots, "16", "executions at once; announced to the node");
DEFINE_string(knee, "0",
              "above so many executions at once, service times grow in proportion; 0 for as many "
              "as slots");
DEFINE_string(mean_ms, "5", "mean service time in milliseconds");
DEFINE_string(spread, "0.3", "relative standard deviation of the service time");
DEFINE_string(next, "", "service that each execution calls; empty for none");
DEFINE_string(fan_out, "1", "calls of each execution to the next service");
DEFINE_string(long_factor, "50",
              "factor on the service time of operations whose name starts with long");
DEFINE_string(report, "honest",
              "load that it reports to the node: honest (the true load), late (that of about 5 s "
              "ago), low (0), high (1000) or none (no report)");
DEFINE_string(cold_seconds, "0",
              "seconds of cold start, in which service times fall from 4 times the normal");
DEFINE_string(threads, "256", "connections served at once");
DEFINE_string(seed, "1", "seed of random service times");
DEFINE_bool(may_crash, false,
            "let a request with a true \"crash\" in its body, or crash=1 in its query, end the "
            "process");

using namespace buckthornford;

namespace {

bool isOptionalName(std::string_view text)
{
    return text.empty() || isValidName(text);
}

bool isMeanMs(std::string_view text)
{
    return isDecimal(text, 0.01, 60'000);
}

constexpr std::array rules{
        SettingRule{"listen", isEndpoint, "IP:PORT"},
        SettingRule{"node", isOptionalEndpoint, "IP:PORT, or leave it empty"},
        SettingRule{"service", isValidName, "1 to 64 letters, digits, - _ ."},
        SettingRule{"instance", isValidName, "1 to 64 letters, digits, - _ ."},
        SettingRule{"slots", isWholeNumberIn<1, 10000>, "1 to 10000"},
        SettingRule{"knee", isWholeNumberIn<0, 10000>, "0 to 10000"},
        SettingRule{"mean_ms", isMeanMs, "0.01 to 60000"},
        SettingRule{"spread", isFraction, "0 to 1"},
        SettingRule{"next", isOptionalName,
                    "a service name (1 to 64 letters, digits, - _ .), or leave it empty"},
        SettingRule{"fan_out", isWholeNumberIn<1, 100>, "1 to 100"},
        SettingRule{"long_factor", isWholeNumberIn<1, 1000>, "1 to 1000"},
        SettingRule{"report", isLoadReportName, "honest, late, low, high or none"},
        SettingRule{"cold_seconds", isWholeNumberIn<0, 3600>, "0 to 3600"},
        SettingRule{"threads", isWholeNumberIn<1, 2000>, "1 to 2000"},
        SettingRule{"seed", isWholeNumberIn<0, INT64_MAX>, "a whole number from 0"},
};

constexpr Duration leaveTimeout = std::chrono::seconds(60);

Behaviour behaviourFromFlags()
{
    Behaviour behaviour;
    behaviour.meanMs = std::stod(FLAGS_mean_ms);
    behaviour.spread = std::stod(FLAGS_spread);
    behaviour.slots = static_cast<std::uint32_t>(std::stoul(FLAGS_slots));
    behaviour.knee = static_cast<std::uint32_t>(std::stoul(FLAGS_knee));
    if (behaviour.knee == 0)
        behaviour.knee = behaviour.slots;
    behaviour.coldSeconds = std::stod(FLAGS_cold_seconds);
    return behaviour;
}

ServiceSettings serviceFromFlags()
{
    ServiceSettings settings;
    settings.service = FLAGS_service;
    settings.instance = FLAGS_instance;
    if (!FLAGS_node.empty())
        settings.node = parseEndpoint(FLAGS_node).value();
    settings.next = FLAGS_next;
    settings.fanOut = static_cast<std::uint32_t>(std::stoul(FLAGS_fan_out));
    settings.longFactor = std::stod(FLAGS_long_factor);
    settings.mayCrash = FLAGS_may_crash;
    return settings;
}

/// Announces the upstream to its node until a stop signal, then that it is leaving until the node
/// says that it is drained, for leaveTimeout at most. Without a node, waits for the signal only.
void announceUntilStopped(const Endpoint &self, Executor *executor)
{
    const bool hasNode = !FLAGS_node.empty();
    Announcer announcer({hasNode ? parseEndpoint(FLAGS_node).value() : Endpoint{}, self,
                         FLAGS_service, static_cast<std::uint32_t>(std::stoul(FLAGS_slots)),
                         FLAGS_report, executor});
    if (hasNode)
        announcer.start();
    waitForStopSignal();
    if (!hasNode)
        return;
    logEvent(LogLevel::Info, "leaving");
    auto drained = std::make_shared<ReplySlot<bool>>();
    announcer.post({drained});
    if (!drained->takeWithin(leaveTimeout))
        logEvent(LogLevel::Warning, "stopping-undrained");
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramInfo program{"buckthornford-upstream",
                              "a stand-in for an upstream, with a ledger of its executions", ""};
    if (const auto status = readSettings(&argc, &argv, program, rules))
        return *status;
    blockStopSignals();
    startLog(program.name);
    Executor executor(behaviourFromFlags(), std::stoull(FLAGS_seed));
    executor.start();
    Service service(serviceFromFlags(), &executor);
    HttpServerSettings http;
    http.endpoint = parseEndpoint(FLAGS_listen).value();
    http.threads = std::stoi(FLAGS_threads);
    const auto server = HttpServer::listen(
            http, [&service](const HttpRequest &request) { return service.handle(request); });
    if (!server) {
        logEvent(LogLevel::Error, "bind-failed", {{"endpoint", FLAGS_listen}});
        return 1;
    }
    logEvent(LogLevel::Info, "started", {{"listen", FLAGS_listen}, {"service", FLAGS_service}});
    announceUntilStopped(http.endpoint, &executor);
    logEvent(LogLevel::Info, "stopped");
    return 0;
}
