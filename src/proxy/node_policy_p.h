#pragma once

#include "proxy/proxy_task.h"
#include "proxy/service_node.h"

namespace buckthornford {

/// Returns the policy of a node on the users' platform, derived from the node's \a settings.
ProxySettings makeProxySettings(const ServiceNodeSettings &settings, const PeerRef &self,
                                std::uint64_t seed);

} // namespace buckthornford
