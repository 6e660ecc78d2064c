#pragma once

#include "ctl/client.h"

#include <map>
#include <ostream>
#include <string>

namespace buckthornford {

/// The state of all nodes at one moment.
struct FleetView
{
    nlohmann::json members = nlohmann::json::array();
    std::map<std::string, nlohmann::json> statuses; ///< by instance; those that answered
};

FleetView readFleet(const OperatorClient &client);

/// Prints \a now; rates are those since \a before, \a seconds earlier.
void printTop(std::ostream &out, const FleetView &before, const FleetView &now, double seconds);

} // namespace buckthornford
