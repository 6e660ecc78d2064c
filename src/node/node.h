#pragma once

/// A node: the process beside one upstream instance. Connects the tasks and the servers.

#include "core/core.h"
#include "settings/settings.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornford {

struct NodeSettings
{
    InstanceId instance;
    ZoneName zone;
    RegionName region;
    Endpoint callersListenEndpoint;   ///< listens for callers
    Endpoint upstreamListenEndpoint;  ///< listens for this node's upstream, on loopback
    Endpoint operatorsListenEndpoint; ///< listens for operators and metrics scrapes
    Endpoint peersListenEndpoint;     ///< listens for other nodes
    /// IP:PORT at which other nodes reach this one; empty if it is peersListenEndpoint.
    std::string advertisedPeerAddress;
    std::vector<std::string> seeds; ///< peer addresses of a few other nodes
    /// Address to dial, by advertised peer address.
    std::map<std::string, std::string> dialOverrides;
    std::string tableAddress;             ///< IP:PORT of the platform's table service; may be empty
    std::string policy = "buckthornford"; ///< a row of the policy table
    int callerThreads = 64;               ///< connections served at once
    int upstreamThreads = 64;             ///< connections served at once
    Bytes maxBody{1U << 20U};             ///< of a request
    Duration keyLife{std::chrono::seconds(30)}; ///< of an idempotency key
    /// Time within which a change is expected to reach all nodes.
    Duration propagationDelay{std::chrono::milliseconds(1500)};
    double sampledShare = 0.01; ///< of the traces that start at this node
    std::uint64_t seed = 1;
};

/// Returns whether \a name is a row of the policy table.
bool isPolicyName(std::string_view name);

class Node
{
public:
    /// Starts the tasks and opens all listening sockets. Error::BindFailed if an endpoint can't be
    /// used.
    static Result<std::unique_ptr<Node>> start(const NodeSettings &settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Drains the node, waits until the idempotency keys it owns have expired and announces that
    /// it has left. Returns when the process may end.
    void leave();

private:
    struct Private;
    explicit Node(std::unique_ptr<Private> d);
    std::unique_ptr<Private> m_d;
};

} // namespace buckthornford
