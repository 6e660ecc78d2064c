#pragma once

#include "ctl/client.h"

#include <map>
#include <ostream>
#include <string>

namespace buckthornford {

/// The state of all nodes, read one after the other.
struct FleetView
{
    nlohmann::json members = nlohmann::json::array(); ///< not those that are dead or have left
    std::map<std::string, nlohmann::json> statuses;   ///< by instance; of the nodes that responded
};

/// Reads the members from \a client's node, and the status of each from its own node.
FleetView readFleet(const OperatorClient &client);

/// Prints \a current with the rates since \a previous, which is \a seconds older.
void printTop(std::ostream &out, const FleetView &previous, const FleetView &current,
              double seconds);

} // namespace buckthornford
