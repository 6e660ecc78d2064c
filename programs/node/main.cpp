#include "node/node.h"
#include "telemetry/telemetry.h"

#include <gflags/gflags.h>

#include <array>

DEFINE_string(instance, "", "name of this instance, unique in the whole system");
DEFINE_string(zone, "", "availability zone of this instance");
DEFINE_string(region, "", "region of this instance");
DEFINE_string(callers, "127.0.0.1:7001", "address to listen on for callers");
DEFINE_string(upstream, "127.0.0.1:7002", "address to listen on for the upstream beside this node");
DEFINE_string(operators, "127.0.0.1:7003", "address to listen on for operators and metrics");
DEFINE_string(peers, "127.0.0.1:7004", "address to listen on for other nodes");
DEFINE_string(peer_address, "",
              "address at which other nodes reach this one; if empty, the one of --peers");
DEFINE_string(seeds, "", "peer addresses of a few other nodes, contacted to join the system");
DEFINE_string(
        dial, "",
        "addresses to dial in place of advertised peer addresses, as ADVERTISED=DIALLED, for NAT");
DEFINE_string(
        platform, "",
        "address of the platform's table service, which stores the configuration; empty for none");
DEFINE_string(policy, "buckthornford",
              "policy for handling requests; must be the same at all nodes");
DEFINE_string(caller_threads, "64", "largest number of connections from callers served at once");
DEFINE_string(upstream_threads, "64",
              "largest number of connections from the upstream served at once");
DEFINE_string(max_body, "1048576", "largest request body in bytes");
DEFINE_string(key_life_ms, "30000", "lifetime of idempotency keys in milliseconds");
DEFINE_string(spread_ms, "1500",
              "time in milliseconds within which a change is expected to reach all nodes");
DEFINE_string(sampled, "0.01",
              "share of the traces that start at this node whose spans are all kept");
DEFINE_string(seed, "1", "seed of random choices, combined with the instance's name");

using namespace buckthornford;

namespace {

/// A check for a comma-separated list of IP:PORT=IP:PORT, which may be empty.
bool isDialList(std::string_view text)
{
    for (const std::string &part : splitList(text, ',')) {
        const std::size_t equals = part.find('=');
        if (equals == std::string::npos || !isEndpoint(part.substr(0, equals))
            || !isEndpoint(part.substr(equals + 1)))
            return false;
    }
    return true;
}

constexpr std::array rules{
        SettingRule{"instance", isValidName, "1 to 64 letters, digits, - _ ."},
        SettingRule{"zone", isValidName, "1 to 64 letters, digits, - _ ."},
        SettingRule{"region", isValidName, "1 to 64 letters, digits, - _ ."},
        SettingRule{"callers", isEndpoint, "IP:PORT"},
        SettingRule{"upstream", isEndpoint, "IP:PORT"},
        SettingRule{"operators", isEndpoint, "IP:PORT"},
        SettingRule{"peers", isEndpoint, "IP:PORT"},
        SettingRule{"peer_address", isOptionalEndpoint, "IP:PORT or nothing"},
        SettingRule{"seeds", isEndpointList, "IP:PORT,IP:PORT,... or nothing"},
        SettingRule{"dial", isDialList, "IP:PORT=IP:PORT,... or nothing"},
        SettingRule{"platform", isOptionalEndpoint, "IP:PORT or nothing"},
        SettingRule{"policy", isPolicyName, "buckthornford or naive"},
        SettingRule{"caller_threads", isWholeNumberIn<1, 2000>, "a whole number from 1 to 2000"},
        SettingRule{"upstream_threads", isWholeNumberIn<1, 2000>, "a whole number from 1 to 2000"},
        SettingRule{"max_body", isWholeNumberIn<1024, 16777216>,
                    "a whole number from 1024 to 16777216"},
        SettingRule{"key_life_ms", isWholeNumberIn<100, 600000>,
                    "a whole number from 100 to 600000"},
        SettingRule{"spread_ms", isWholeNumberIn<0, 5000>, "a whole number from 0 to 5000"},
        SettingRule{"sampled", isFraction, "a number from 0 to 1"},
        SettingRule{"seed", isWholeNumberIn<0, INT64_MAX>, "a whole number from 0"},
};

/// Parses \a text, which the rules above have already checked.
Endpoint endpointOf(const std::string &text)
{
    return parseEndpoint(text).value();
}

NodeSettings settingsFromFlags()
{
    NodeSettings settings;
    settings.instance = InstanceId{FLAGS_instance};
    settings.zone = ZoneName{FLAGS_zone};
    settings.region = RegionName{FLAGS_region};
    settings.callersListenEndpoint = endpointOf(FLAGS_callers);
    settings.upstreamListenEndpoint = endpointOf(FLAGS_upstream);
    settings.operatorsListenEndpoint = endpointOf(FLAGS_operators);
    settings.peersListenEndpoint = endpointOf(FLAGS_peers);
    settings.advertisedPeerAddress = FLAGS_peer_address;
    settings.seeds = splitList(FLAGS_seeds, ',');
    for (const std::string &part : splitList(FLAGS_dial, ',')) {
        const std::size_t equals = part.find('=');
        settings.dialOverrides[part.substr(0, equals)] = part.substr(equals + 1);
    }
    settings.tableAddress = FLAGS_platform;
    settings.policy = FLAGS_policy;
    settings.callerThreads = std::stoi(FLAGS_caller_threads);
    settings.upstreamThreads = std::stoi(FLAGS_upstream_threads);
    settings.maxBody = Bytes{std::stoull(FLAGS_max_body)};
    settings.keyLife = std::chrono::milliseconds(std::stoll(FLAGS_key_life_ms));
    settings.propagationDelay = std::chrono::milliseconds(std::stoll(FLAGS_spread_ms));
    settings.sampledShare = std::stod(FLAGS_sampled);
    settings.seed = std::stoull(FLAGS_seed) ^ checksum(FLAGS_instance);
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramInfo program{
            "buckthornford-node",
            "the node beside one upstream: load balancing, retries and overload control", ""};
    if (const auto status = readSettings(&argc, &argv, program, rules))
        return *status;
    blockStopSignals();
    startLog(program.name);
    const NodeSettings settings = settingsFromFlags();
    const auto node = Node::start(settings);
    if (!node) {
        logEvent(LogLevel::Error, "start-failed", {{"error", node.error().message()}});
        return 1;
    }
    logEvent(LogLevel::Info, "started",
             {{"instance", FLAGS_instance}, {"callers", FLAGS_callers}, {"policy", FLAGS_policy}});
    waitForStopSignal();
    logEvent(LogLevel::Info, "leaving");
    node.value()->leave();
    logEvent(LogLevel::Info, "stopped");
    return 0;
}
