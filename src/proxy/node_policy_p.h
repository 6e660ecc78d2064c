#pragma once

#include "proxy/proxy_task.h"
#include "proxy/service_node.h"

namespace buckthornford {

/// How a node decides on the users' platform, from its settings.
ProxySettings proxySettingsOf(const ServiceNodeSettings &settings, const PeerRef &self,
                              std::uint64_t seed);

} // namespace buckthornford
