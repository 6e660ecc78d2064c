#pragma once

/// A node: the process beside one upstream instance, put together from the slices.

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
    Endpoint callersListenEndpoint;    ///< callers' door
    Endpoint upstreamListenEndpoint;   ///< door for this node's upstream, on loopback
    Endpoint operatorsListenEndpoint;  ///< operator and metrics door
    Endpoint peersListenEndpoint;      ///< other nodes' door
    std::string advertisedPeerAddress; ///< how others reach the peer door, if not as it listens
    std::vector<std::string> seeds;    ///< peer doors of a few other nodes
    std::map<std::string, std::string>
            dialOverrides;                ///< address to dial, by advertised peer address
    std::string tableAddress;             ///< IP:PORT of the table service; empty for none
    std::string policy = "buckthornford"; ///< a row of the policy table
    int callerThreads = 64;
    int upstreamThreads = 64;
    Bytes maxBody{1U << 20U};
    Duration keyLife{std::chrono::seconds(30)};
    Duration propagationDelay{std::chrono::milliseconds(1500)}; ///< for news to be everywhere
    double sampledShare = 0.01;                                 ///< of traces
    std::uint64_t seed = 1;
};

/// Returns whether \a name is a row of the policy table.
bool isPolicyName(std::string_view name);

class Node
{
public:
    /// Opens all doors. Error::BindFailed if one can't be.
    static Result<std::unique_ptr<Node>> start(const NodeSettings &settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Withdraws, serves what is in flight, and returns when the process may end.
    void leave();

private:
    struct Private;
    explicit Node(std::unique_ptr<Private> d);
    std::unique_ptr<Private> m_d;
};

} // namespace buckthornford
